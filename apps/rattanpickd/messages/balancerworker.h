#pragma once

#include "rattanpickd/messages/decisionworker.h"

#include "balancer/router.h"

#include <vector>

namespace Rattanpick
{

/// The decisions of a balancer: packets of the fabric go to the agents that the Router names.
class BalancerWorker : public DecisionWorker
{
public:
    /// Builds the duty without a configuration.
    explicit BalancerWorker(DaemonContext &context);

protected:
    void onUpdate(TimePoint now, const ConfigurationUpdate &update) override;
    void onReceived(TimePoint now, Received &received) override;
    void onTick(TimePoint now) override;
    void onStop(TimePoint now) override;
    bool hasStopped(TimePoint now) const override;
    QJsonObject describe(TimePoint now) const override;

private:
    void forward(TimePoint now, InnerPacket &packet);
    void onPeerMessage(const Received &received, TimePoint now, const PeerMessage &message);
    void refuteExpired(TimePoint now);
    ConfigurationVersion version() const;
    TunnelHeader header() const;

    Router m_router;
    std::vector<Suspicion> m_told;
    TimePoint m_refuteDeadline;
    TimePoint m_stopDeadline;
    quint64 m_pauses = 0;
    Counter &m_forwarded;
};

}
