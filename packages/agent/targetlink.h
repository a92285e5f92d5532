#pragma once

#include "agent/agentconditions.h"
#include "agent/agentcontext.h"
#include "agent/ownedflows.h"
#include "agent/packetpath.h"

#include <deque>

namespace Rattanpick
{

/// Handles the messages of the target and detects a replaced target process by its incarnation.
class TargetLink
{
public:
    /// Number of replaced target incarnations on record, whose late replies are ignored.
    static constexpr std::size_t retiredIncarnationLimit = 8;

    /// Builds a link; the references must outlive it.
    TargetLink(AgentContext &context, AgentConditions &conditions, OwnedFlows &flows, PacketPath &path);

    /// Handles a message from the target.
    void onReply(TimePoint now, const TargetReply &reply, AgentActions &actions);

private:
    void onReplaced(TimePoint now, Incarnation incarnation, AgentActions &actions);

    // One handler for each kind of body.
    void handle(TimePoint now, const TargetStatus &status, AgentActions &actions);
    void handle(TimePoint now, const TargetFlowState &state, AgentActions &actions);
    void handle(TimePoint now, const TargetData &data, AgentActions &actions);
    void handle(TimePoint now, const TargetDataAck &ack, AgentActions &actions);
    void handle(TimePoint now, const TargetAnswerPart &part, AgentActions &actions);
    void handle(TimePoint now, const TargetShed &shed, AgentActions &actions);
    void handle(TimePoint now, const TargetCancelled &cancelled, AgentActions &actions);

    AgentContext &m_context;
    AgentConditions &m_conditions;
    OwnedFlows &m_flows;
    PacketPath &m_path;
    Incarnation m_incarnation{};
    std::deque<Incarnation> m_retired;
};

}
