#pragma once

#include "stream/loadmeter.h"
#include "stream/streamagentsettings.h"

#include <optional>

namespace Rattanpick
{

/// Decides from the packets of the local target and from connection probes whether its process runs.
///
/// A refused connection alone does not prove that the process has ended: a target that leaves may close its port before it
/// has served its flows, and its end is the removal of its entry. Only a connection that is accepted after a refusal shows
/// that another process has started.
class TargetWatch
{
public:
    /// What a connection probe has shown.
    enum class Outcome : quint8 {
        None,
        /// The process has ended.
        Ended,
        /// Another process has started since this one began to watch.
        Started,
    };

    /// Builds a watch that probes the target at once; both references must outlive it.
    TargetWatch(const StreamAgentSettings &settings, const LoadMeter &meter);

    /// A packet was sent to which the target should react.
    void onSent(TimePoint now);

    /// The target has sent a packet; returns whether it had counted as ended.
    bool onReceived();

    /// A connection probe has begun.
    void onProbeBegun(TimePoint now);

    /// A connection probe has ended. @p isLeaving: the target is draining and its entry is still there, or its entry has not
    /// been read yet.
    Outcome onProbed(TimePoint now, bool isAccepted, bool isLeaving);

    /// Whether a connection probe is due; if so, it counts as begun.
    bool takeDueProbe(TimePoint now);

    /// When takeDueProbe() has a result next.
    TimePoint probeDeadline() const;

    /// How long the target may take to react to a packet.
    Duration silenceLimit() const;

    /// Whether the process has ended.
    bool hasEnded() const
    {
        return m_state == State::Ended;
    }

private:
    enum class State : quint8 {
        Running,
        Ended,
        /// The target refuses connections, and may serve its flows.
        PortClosed,
    };

    bool isSilent(TimePoint now) const;

    const StreamAgentSettings &m_settings;
    const LoadMeter &m_meter;
    State m_state = State::Running;
    /// When the first packet was sent to the target that it has not reacted to; empty if there is none.
    std::optional<TimePoint> m_unansweredSince;
    bool m_hasReceivedSinceProbe = false;
    TimePoint m_probeDeadline{};
};

}
