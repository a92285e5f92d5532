#pragma once

#include "agent/agentconditions.h"
#include "agent/agentcontext.h"
#include "agent/directoryrecovery.h"
#include "agent/directoryregistrar.h"
#include "agent/flowadmission.h"
#include "agent/flowdirectory.h"
#include "agent/flowtable.h"
#include "agent/placementhost.h"
#include "agent/requesttable.h"

#include <QString>

#include <cstddef>

namespace Rattanpick
{

/// Manages the flows that one agent owns, with their requests, directory entries and admission.
class OwnedFlows : public PlacementHost
{
public:
    /// Builds an empty set of flows; the references must outlive it.
    OwnedFlows(AgentContext &context, AgentConditions &conditions, const DirectoryRecovery &recovery);

    // PlacementHost
    RefusalReason admissionRefusal(TimePoint now) const override;
    void acceptFlow(TimePoint now, const FlowKey &flow, quint64 nonce, AgentActions &actions) override;
    void confirmOwner(TimePoint now, const DirectoryEntry &entry, AgentActions &actions) override;
    void recordOwner(TimePoint now, const DirectoryEntry &entry) override;

    // Parts

    /// The flows that are open here.
    FlowTable &table()
    {
        return m_table;
    }

    /// The directory of flows that other agents own.
    FlowDirectory &directory()
    {
        return m_directory;
    }

    /// The directory of flows that other agents own.
    const FlowDirectory &directory() const
    {
        return m_directory;
    }

    /// The registration of the flows at their home agents.
    DirectoryRegistrar &registrar()
    {
        return m_registrar;
    }

    /// The requests of the flows.
    RequestTable &requests()
    {
        return m_requests;
    }

    /// The requests of the flows.
    const RequestTable &requests() const
    {
        return m_requests;
    }

    // Lifetime of a flow

    /// Makes this agent the owner of the flow; with @p isRecovered the target already has it open.
    OwnedFlow &own(TimePoint now, const FlowKey &flow, quint64 nonce, bool isRecovered, AgentActions &actions);

    /// A packet of the caller has arrived, which shows that the caller uses this owner; registers the flow at its home
    /// agents.
    void markUsed(TimePoint now, OwnedFlow &flow);

    /// Whether a flow that the target has open may be recovered: it has not ended and no other flow replaced it.
    bool canRecover(const FlowKey &flow, quint64 nonce);

    /// Makes this agent the owner of a flow that its target has open, and sends the new flow incarnation to the caller.
    void recover(TimePoint now, const FlowKey &flow, quint64 nonce, AgentActions &actions);

    /// Ends an open flow. The end of one that was never used is not recorded, since another agent may own the flow.
    void end(TimePoint now, const FlowKey &flow, EventNumber number, const QString &detail, AgentActions &actions);

    /// Ends an open flow and sends a reset to the caller.
    void breakFlow(TimePoint now, const FlowKey &flow, RefusalReason reason, const QString &detail, AgentActions &actions);

    /// Breaks all open flows.
    void breakAll(TimePoint now, RefusalReason reason, const QString &detail, AgentActions &actions);

    // Time

    /// Advances the requests and the registrar, repeats openings that the target has not confirmed, and ends idle
    /// flows.
    void onTick(TimePoint now, AgentActions &actions);

    /// The current input of the admission decision.
    FlowAdmission::State admissionState(TimePoint now) const;

    /// Updates the load and the flags in the headers of later messages.
    void refreshHeader(TimePoint now);

    /// Replaces each RetryElsewhere from index @p from on by a message to another candidate, or by a refusal.
    void sendRetries(TimePoint now, std::size_t from, AgentActions &actions);

private:
    AgentContext &m_context;
    AgentConditions &m_conditions;
    const DirectoryRecovery &m_recovery;
    FlowTable m_table;
    FlowDirectory m_directory;
    DirectoryRegistrar m_registrar;
    FlowAdmission m_admission;
    RequestTable m_requests;
    TimePoint m_checkDeadline;
};

}
