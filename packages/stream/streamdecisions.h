#pragma once

#include "stream/directorychange.h"
#include "stream/streamaction.h"

#include <QByteArray>

namespace Rattanpick
{

/// What the decision objects of both roles have in common, as the duty that drives them sees it.
class StreamDecisions
{
public:
    virtual ~StreamDecisions() = default;

    /// Takes in a change of targets, data centres or routes.
    virtual void onDirectoryChange(TimePoint now, const DirectoryChange &change, StreamActions &actions) = 0;

    /// A packet of a caller (balancers) or of the target beside this process (agents).
    virtual void onPacket(TimePoint now, const QByteArray &packet, StreamActions &actions) = 0;

    /// A message of another process of the system.
    virtual void onMessage(TimePoint now, const StreamMessage &message, StreamActions &actions) = 0;

    /// Does what is due.
    virtual void onTick(TimePoint now, StreamActions &actions) = 0;

    /// When onTick() has something to do next; the duty calls it once a second besides.
    virtual TimePoint nextDeadline() const = 0;

    /// A connection to the target was tried: whether its process is there.
    virtual void onTargetProbed(TimePoint now, bool isProcessAlive, StreamActions &actions) = 0;

    /// The process was paused: what waited in its sockets has been thrown away.
    virtual void onPause(TimePoint now) = 0;

    /// A planned stop begins.
    virtual void beginStop(TimePoint now, StreamActions &actions) = 0;

    /// The network has been told often enough that this process takes no callers: it sends no more of them.
    virtual void onWithdrawn(TimePoint now) = 0;

    /// Whether the planned stop may end.
    virtual bool isStopped(TimePoint now) const = 0;

    /// The directory has reached a later revision: those who rely on this process are told.
    virtual void onNewRevision(TimePoint now, StreamActions &actions) = 0;

    /// The directory has not been verified for a while: others are asked.
    virtual void onStaleDirectory(TimePoint now, StreamActions &actions) = 0;

    /// Whether this process watches the directory source for others.
    virtual bool isReader() = 0;

    /// Whether no agent is known that could be asked.
    virtual bool isIsolated() const = 0;

    /// Whether callers may be sent here.
    virtual bool isReady() const = 0;
};

}
