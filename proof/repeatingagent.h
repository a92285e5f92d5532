#pragma once

#include "proof/designagent.h"

#include <set>
#include <utility>

namespace Rattanpick::Proof
{

/// Baseline: an agent without duplicate suppression, which delivers every copy of a request to its target.
class RepeatingAgent : public DesignAgent
{
public:
    using DesignAgent::DesignAgent;

    void onPeerMessage(TimePoint now, const PeerMessage &message, AgentActions &actions) override;
    void onTargetReply(TimePoint now, const TargetReply &reply, AgentActions &actions) override;
    void onTick(TimePoint now, AgentActions &actions) override;

private:
    bool recordDeliveries(const AgentActions &actions, std::size_t from);

    /// Nonce and number of each request that was delivered at least once.
    std::set<std::pair<quint64, quint64>> m_delivered;
};

}
