#include "stream/flowretention.h"

#include <algorithm>

namespace Rattanpick
{

FlowRetention::FlowRetention(const FlowRetentionSettings &settings, const TargetDirectory &directory)
    : m_settings(settings)
    , m_directory(directory)
{
}

TimePoint FlowRetention::expiry(TimePoint latestActivity, bool isFinished) const
{
    return latestActivity + (isFinished ? m_settings.closedFlowRetention : idleRetention());
}

void FlowRetention::recordUnknown(TimePoint latestActivity)
{
    m_latestUnknownActivity = std::max(m_latestUnknownActivity, latestActivity);
}

void FlowRetention::forgetUnknown(TimePoint latestActivity)
{
    if (m_latestUnknownActivity <= latestActivity) {
        m_latestUnknownActivity = TimePoint::min();
    }
}

void FlowRetention::onTargetStarted()
{
    m_latestUnknownActivity = TimePoint::min();
}

bool FlowRetention::isComplete(TimePoint now) const
{
    if (m_latestUnknownActivity == TimePoint::min()) {
        return true;
    }
    // Any timeout may be in force while this process has no configuration.
    return m_directory.routes() != nullptr && now >= m_latestUnknownActivity + idleRetention();
}

Duration FlowRetention::idleRetention() const
{
    // A longer timeout may already be in force. A flow that was idle for longer than the present one when the change
    // was made need not be kept, so that the delay is enough.
    const RouteTablePointer &routes = m_directory.routes();
    return (routes != nullptr ? routes->idleTimeout() : m_settings.assumedIdleTimeout) + m_settings.configurationDelay;
}

}
