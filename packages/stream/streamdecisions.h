#pragma once

#include "stream/balancingsettings.h"
#include "stream/directorychange.h"
#include "stream/streamaction.h"

#include <QByteArray>

namespace Rattanpick
{

/// Common interface of the decision objects of both roles, as used by the worker thread that runs them.
class StreamDecisions
{
public:
    virtual ~StreamDecisions() = default;

    /// Applies a change of targets, data centres or routes.
    virtual void onDirectoryChange(TimePoint now, const DirectoryChange &change, StreamActions &actions) = 0;

    /// The settings for uneven and scarce load were changed.
    virtual void onSettings(const BalancingSettings &settings) = 0;

    /// Processes a packet of a caller (balancers) or of the local target (agents).
    virtual void onPacket(TimePoint now, const QByteArray &packet, StreamActions &actions) = 0;

    /// Processes a message of another process of the system.
    virtual void onMessage(TimePoint now, const StreamMessage &message, StreamActions &actions) = 0;

    /// Runs everything that is due.
    virtual void onTick(TimePoint now, StreamActions &actions) = 0;

    /// When onTick() has something to do next; the worker also calls it once a second.
    virtual TimePoint nextDeadline() const = 0;

    /// Processes the result of a connection probe: whether the process of the target is alive.
    virtual void onTargetProbed(TimePoint now, bool isProcessAlive, StreamActions &actions) = 0;

    /// The process was paused, and the packets that were queued in its sockets have been discarded.
    virtual void onPause(TimePoint now) = 0;

    /// A planned stop begins.
    virtual void beginStop(TimePoint now, StreamActions &actions) = 0;

    /// The network has seen often enough that this process is not ready; it sends no more callers here.
    virtual void onWithdrawn(TimePoint now) = 0;

    /// Whether the planned stop may end.
    virtual bool isStopped(TimePoint now) const = 0;

    /// The directory has reached a newer position; processes that depend on this one are notified.
    virtual void onNewPosition(TimePoint now, StreamActions &actions) = 0;

    /// The directory has not been verified for some time; peers are queried.
    virtual void onStaleDirectory(TimePoint now, StreamActions &actions) = 0;

    /// Whether this process watches the directory source on behalf of others.
    virtual bool isReader() = 0;

    /// Whether there is no agent that could be queried.
    virtual bool isIsolated() const = 0;

    /// Whether callers may be sent to this process.
    virtual bool isReady() const = 0;
};

}
