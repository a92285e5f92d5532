#include "stream/targetwatch.h"

#include <algorithm>

namespace Rattanpick
{

TargetWatch::TargetWatch(const StreamAgentSettings &settings, const LoadMeter &meter)
    : m_settings(settings)
    , m_meter(meter)
{
}

void TargetWatch::onSent(TimePoint now)
{
    m_unansweredSince = m_unansweredSince.value_or(now);
}

bool TargetWatch::onReceived()
{
    m_unansweredSince.reset();
    m_hasReceivedSinceProbe = true;
    if (m_state != State::Ended) {
        return false;
    }
    m_state = State::PortClosed;
    return true;
}

void TargetWatch::onProbeBegun(TimePoint now)
{
    m_probeDeadline = now + m_settings.probeInterval;
    m_hasReceivedSinceProbe = false;
}

TargetWatch::Outcome TargetWatch::onProbed(TimePoint now, bool isAccepted, bool isLeaving)
{
    if (isAccepted) {
        const bool isOtherProcess = m_state != State::Running;
        m_state = State::Running;
        // The target is alive; its response time counts from the next packet.
        m_unansweredSince.reset();
        return isOtherProcess ? Outcome::Started : Outcome::None;
    }
    if (m_state == State::Ended || (m_state == State::PortClosed && !isSilent(now))) {
        return Outcome::None;
    }
    if (isLeaving || (m_state == State::Running && m_hasReceivedSinceProbe)) {
        m_state = State::PortClosed;
        return Outcome::None;
    }
    m_state = State::Ended;
    return Outcome::Ended;
}

bool TargetWatch::takeDueProbe(TimePoint now)
{
    if (now < probeDeadline()) {
        return false;
    }
    onProbeBegun(now);
    return true;
}

TimePoint TargetWatch::probeDeadline() const
{
    // Also probes at the start: a target that is not there yet cannot hold a flow, so that its agent need not ask it about
    // flows.
    if (m_state != State::Running || m_probeDeadline == TimePoint{}) {
        return m_probeDeadline;
    }
    return m_unansweredSince ? std::max(*m_unansweredSince + silenceLimit(), m_probeDeadline) : TimePoint::max();
}

Duration TargetWatch::silenceLimit() const
{
    const auto serviceTimeLimit = std::chrono::duration_cast<Duration>(m_meter.serviceTime() * m_settings.silenceServiceTimes);
    return std::max(serviceTimeLimit, m_settings.silenceMinimum);
}

bool TargetWatch::isSilent(TimePoint now) const
{
    return m_unansweredSince && now >= *m_unansweredSince + silenceLimit();
}

}
