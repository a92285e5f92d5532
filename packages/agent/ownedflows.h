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

/// The flows of one agent from opening to end, with their requests, directory entries and admission.
class OwnedFlows : public PlacementHost
{
public:
    /// Builds an agent's flows; the references must outlive it.
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

    /// What this agent knows of the flows of others.
    FlowDirectory &directory()
    {
        return m_directory;
    }

    /// What this agent knows of the flows of others.
    const FlowDirectory &directory() const
    {
        return m_directory;
    }

    /// What the home agents of the flows are told.
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

    // Life of a flow

    /// Makes this agent the owner; @p isRecovered tells that the target held the flow before.
    OwnedFlow &own(TimePoint now, const FlowKey &flow, quint64 nonce, bool isRecovered, AgentActions &actions);

    /// A packet of the caller has come: the flow is told to its home agents, since now it is certain that the caller knows this owner.
    void markUsed(TimePoint now, OwnedFlow &flow);

    /// Whether a flow that the target holds may be taken back: it has not ended and nothing replaced it.
    bool canRecover(const FlowKey &flow, quint64 nonce);

    /// Makes this agent the owner of a flow that its target holds and tells the caller the new flow incarnation.
    void recover(TimePoint now, const FlowKey &flow, quint64 nonce, AgentActions &actions);

    /// Ends an open flow. One that was never used is forgotten, since another agent may own it.
    void end(TimePoint now, const FlowKey &flow, EventNumber number, const QString &detail, AgentActions &actions);

    /// Ends an open flow and tells the caller that it is broken.
    void breakFlow(TimePoint now, const FlowKey &flow, RefusalReason reason, const QString &detail, AgentActions &actions);

    /// Breaks all open flows.
    void breakAll(TimePoint now, RefusalReason reason, const QString &detail, AgentActions &actions);

    // Time

    /// Repeats openings that the target has not confirmed and ends flows that are idle.
    void onTick(TimePoint now, AgentActions &actions);

    /// What admission depends on now.
    FlowAdmission::State admissionState(TimePoint now) const;

    /// Puts load and flags into the headers of later messages.
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
