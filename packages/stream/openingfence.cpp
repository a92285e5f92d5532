#include "stream/openingfence.h"

#include <array>
#include <cmath>

namespace Rattanpick
{

namespace
{

/// A drain may be acknowledged a little before it reaches this process, and balancers learn it at their own pace; within
/// this time openings still reach a target that is the last of its service. Well below any drain time.
constexpr Duration drainingGrace = 1s;

}

const char *openingRefusalName(OpeningRefusal refusal)
{
    static constexpr std::array<const char *, static_cast<std::size_t>(OpeningRefusal::Count)> names{
        "none",
        "wrong-service",
        "no-route",
        "draining",
        "data-centre-out",
        "cold",
        "stopping",
        "target-ended",
        "outdated",
    };
    return names.at(static_cast<std::size_t>(refusal));
}

OpeningFence::OpeningFence(const StreamAgentSettings &settings, const TargetDirectory &directory)
    : m_settings(settings)
    , m_directory(directory)
{
}

OpeningRefusal OpeningFence::admit(TimePoint now, const StreamMessage &message, const Endpoint &route)
{
    // 1. An address that was used before: the packet is for what was here then. Another target of the same service may
    //    take the place of the one that the balancer chose.
    if (message.service != m_settings.service) {
        return OpeningRefusal::WrongService;
    }
    const TargetDirectory::Entry *own = m_directory.findAt(m_settings.target);

    // 2. Routes: a balancer with later ones knows better, one with earlier ones does not.
    const RouteTablePointer &routes = m_directory.routes();
    if (routes != nullptr && routes->version() >= message.configurationVersion && !routes->allows(route, m_settings.service)) {
        return OpeningRefusal::NoRoute;
    }

    // 3. What keeps new flows away from this target for some time.
    const OpeningRefusal lasting = lastingRefusal(now);
    if (lasting != OpeningRefusal::None) {
        const bool isLastResort = lasting == OpeningRefusal::Draining && message.candidates.empty();
        if (!isLastResort || now >= *own->drainingSince + drainingGrace) {
            return lasting;
        }
    }

    // 4. A cold target bears a number of flows in each second, whoever sends them.
    if (own != nullptr) {
        updateColdLimit(now, *own);
    }
    return m_cold.admit(now) ? OpeningRefusal::None : OpeningRefusal::Cold;
}

OpeningRefusal OpeningFence::lastingRefusal(TimePoint now) const
{
    if (m_isStopping) {
        return OpeningRefusal::Stopping;
    }
    if (m_hasTargetEnded) {
        return OpeningRefusal::TargetEnded;
    }
    if (now < m_holdDeadline) {
        return OpeningRefusal::Outdated;
    }
    if (m_directory.isOut(m_settings.dataCentre)) {
        return OpeningRefusal::DataCentreOut;
    }
    const TargetDirectory::Entry *own = m_directory.findAt(m_settings.target);
    return own != nullptr && own->target.isDraining ? OpeningRefusal::Draining : OpeningRefusal::None;
}

void OpeningFence::updateColdLimit(TimePoint now, const TargetDirectory::Entry &own)
{
    const StreamService *service = m_directory.routes() != nullptr ? m_directory.routes()->findService(m_settings.service) : nullptr;
    const std::optional<TimePoint> returnedAt = m_directory.returnOf(m_settings.dataCentre);
    const Duration returnCold = service != nullptr ? std::max(service->coldTime, m_settings.returnColdTime) : m_settings.returnColdTime;
    const bool hasJustReturned = returnedAt && now < *returnedAt + returnCold;
    const bool isCold = now < own.target.coldDeadline || hasJustReturned;
    if (!isCold || service == nullptr || service->coldRequestsPerSecond <= 0) {
        m_cold.setLimit(0);
        return;
    }
    const double limit = std::floor(service->coldRequestsPerSecond * m_settings.coldFactor + m_settings.coldSlack);
    m_cold.setLimit(static_cast<std::size_t>(std::max(1.0, limit)));
}

}
