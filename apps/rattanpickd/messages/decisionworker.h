#pragma once

#include "rattanpickd/messages/daemoncontext.h"

#include "spread/suspicionlist.h"

#include <QJsonObject>

#include <mutex>

namespace Rattanpick
{

/// Drives the decision logic of a daemon; a subclass for each role handles the events.
class DecisionWorker
{
public:
    virtual ~DecisionWorker() = default;

    DecisionWorker(const DecisionWorker &) = delete;
    DecisionWorker &operator=(const DecisionWorker &) = delete;

    /// Works until the context ends.
    void run();

    /// Whether a planned stop is complete. Thread-safe.
    bool isStopped() const
    {
        return m_isStopped;
    }

    /// State for operators. Thread-safe.
    QJsonObject status() const;

protected:
    explicit DecisionWorker(DaemonContext &context);

    /// Called when a configuration or instance list comes into force.
    virtual void onUpdate(TimePoint now, const ConfigurationUpdate &update) = 0;
    /// Called for each message or packet received.
    virtual void onReceived(TimePoint now, Received &received) = 0;
    /// Called at each tick.
    virtual void onTick(TimePoint now) = 0;
    /// Called once when a planned stop begins.
    virtual void onStop(TimePoint now) = 0;
    /// Whether the planned stop is complete.
    virtual bool hasStopped(TimePoint now) const = 0;
    /// State of the role, for operators.
    virtual QJsonObject describe(TimePoint now) const = 0;

    /// Passes a message to the send worker.
    void send(const Endpoint &to, std::variant<PeerMessage, SendToCaller, TargetCommand> content);

    /// Reports a peer's version to the configuration worker, unless it equals @p own and the message is no notice.
    void reportPeerVersion(const PeerMessage &message, const ConfigurationVersion &own);

    /// Forwards a suspicion to peers that have not seen it.
    void spreadSuspicion(TimePoint now, const Suspicion &suspicion, quint8 hopCount, const TunnelHeader &header);

    DaemonContext &m_context;
    InstanceList m_instances;
    SuspicionList m_suspicions;

private:
    bool step();

    bool m_isStopNoticed = false;
    std::atomic<bool> m_isStopped = false;
    TimePoint m_tickDeadline;
    TimePoint m_statusDeadline;
    mutable std::mutex m_statusMutex;
    QJsonObject m_status;
};

}
