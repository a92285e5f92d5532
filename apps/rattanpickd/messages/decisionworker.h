#pragma once

#include "rattanpickd/messages/daemoncontext.h"

#include "spread/suspicionlist.h"

#include <QJsonObject>

#include <mutex>

namespace Rattanpick
{

/// Runs the decision object of a daemon; a role says what its events mean to it.
class DecisionWorker
{
public:
    virtual ~DecisionWorker() = default;

    DecisionWorker(const DecisionWorker &) = delete;
    DecisionWorker &operator=(const DecisionWorker &) = delete;

    /// Works until the context ends.
    void run();

    /// Whether a planned stop has nothing left to finish; any thread may ask.
    bool isStopped() const
    {
        return m_isStopped;
    }

    /// State for operators; any thread may ask.
    QJsonObject status() const;

protected:
    /// Builds the duty.
    explicit DecisionWorker(DaemonContext &context);

    /// A configuration or instance list is in force.
    virtual void onUpdate(TimePoint now, const ConfigurationUpdate &update) = 0;
    /// Something was received.
    virtual void onReceived(TimePoint now, Received &received) = 0;
    /// Time has passed.
    virtual void onTick(TimePoint now) = 0;
    /// A planned stop begins.
    virtual void onStop(TimePoint now) = 0;
    /// Whether the planned stop has nothing left to finish.
    virtual bool hasStopped(TimePoint now) const = 0;
    /// State of the role for operators.
    virtual QJsonObject describe(TimePoint now) const = 0;

    /// Hands a message to the sending duty.
    void send(const Endpoint &to, std::variant<PeerMessage, SendToCaller, TargetCommand> content);

    /// Tells the configuration duty of a peer's version unless it is ours and no notice.
    void noteVersion(const PeerMessage &message, const ConfigurationVersion &own);

    /// Passes a suspicion on to peers that have not seen it.
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
