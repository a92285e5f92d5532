#pragma once

#include "rattanpickd/messages/decisionworker.h"

#include "balancer/router.h"

#include <vector>

namespace Rattanpick
{

/// Decision worker of a balancer: forwards packets of the fabric to the agents that the Router selects.
class BalancerWorker : public DecisionWorker
{
public:
    /// Creates a worker without a configuration.
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
    std::vector<Suspicion> m_activeSuspicions;
    TimePoint m_refuteDeadline;
    TimePoint m_stopDeadline;
    quint64 m_pauses = 0;
    Counter &m_forwarded;
};

}
