#pragma once

#include "agent/agentcontext.h"
#include "agent/directoryrecovery.h"
#include "agent/failuredetector.h"
#include "agent/openingplacer.h"
#include "agent/ownedflows.h"
#include "agent/packetpath.h"

#include <map>
#include <optional>

namespace Rattanpick
{

/// Dispatches messages from balancers and other agents to the parts of an agent.
class PeerMessageHandler
{
public:
    /// Builds a handler; the references must outlive it.
    PeerMessageHandler(AgentContext &context,
                       AgentConditions &conditions,
                       DirectoryRecovery &recovery,
                       OwnedFlows &flows,
                       OpeningPlacer &placer,
                       FailureDetector &detector,
                       PacketPath &path);

    /// Processes the header and the body, unless the message is for another service or target.
    void onMessage(TimePoint now, const PeerMessage &message, AgentActions &actions);

private:
    void processHeader(TimePoint now, const PeerMessage &message, AgentActions &actions);

    // One handler for each kind of body. Every header already updates version, load and liveness of its sender, so that
    // notices need no further handling.
    void handle(TimePoint now, const PeerMessage &message, const Forward &forward, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Offer &offer, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Accepted &accepted, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Declined &declined, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Withdraw &withdraw, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const FlowQuery &query, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const FlowReply &reply, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Register &registration, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Registered &registered, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Release &release, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const DirectoryDigest &digest, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const DirectoryPull &pull, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const VersionNotice &notice, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Heartbeat &heartbeat, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Suspicion &suspicion, AgentActions &actions);
    void handle(TimePoint now, const PeerMessage &message, const Retry &retry, AgentActions &actions);

    AgentContext &m_context;
    AgentConditions &m_conditions;
    DirectoryRecovery &m_recovery;
    OwnedFlows &m_flows;
    OpeningPlacer &m_placer;
    FailureDetector &m_detector;
    PacketPath &m_path;
    /// When each owner whose digest differed was asked for its entries.
    std::map<TargetId, TimePoint> m_pullTimes;
    /// When a later configuration may be requested again.
    std::optional<TimePoint> m_fetchDeadline;
};

}
