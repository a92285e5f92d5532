#include "stream/openingfence.h"

#include <array>

namespace Rattanpick
{

namespace
{

/// How long openings still reach a draining target that is the last of its service. A drain may be acknowledged shortly
/// before it reaches this process, and balancers learn of it at different times. Well below any drain time.
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
        "unproven",
        "stopping",
        "target-ended",
        "outdated",
    };
    return names.at(static_cast<std::size_t>(refusal));
}

OpeningFence::OpeningFence(const StreamAgentSettings &settings, const TargetDirectory &directory, TimePoint now)
    : m_settings(settings)
    , m_directory(directory)
    , m_coldTarget(settings, directory, now)
{
}

void OpeningFence::onTargetEnded()
{
    m_hasTargetEnded = true;
    identity().onEnded();
}

void OpeningFence::onTargetStarted(TimePoint now)
{
    m_hasTargetEnded = false;
    identity().onStarted(now);
}

void OpeningFence::onDirectoryRead(bool isFromSource)
{
    m_suspensionDeadline = {};
    m_coldTarget.onDirectoryRead(isFromSource);
}

OpeningRefusal OpeningFence::admit(TimePoint now, const StreamMessage &message, const Endpoint &route)
{
    // 1. The address may have been used by a target of another service before. Another target of the same service may
    // replace the one that the balancer chose.
    if (message.service != m_settings.service) {
        return OpeningRefusal::WrongService;
    }

    // 2. Only the newer version of the routes counts, be it the balancer's or the local one.
    const RouteTablePointer &routes = m_directory.routes();
    if (routes != nullptr && routes->version() >= message.configurationVersion && !routes->allows(route, m_settings.service)) {
        return OpeningRefusal::NoRoute;
    }

    // 3. Conditions that keep new flows away from this target for a longer time.
    const OpeningRefusal lasting = lastingRefusal(now, message);
    if (lasting != OpeningRefusal::None) {
        return lasting;
    }

    // 4. Rate limit of a cold target, over all balancers.
    if (m_directory.findAt(m_settings.target) != nullptr) {
        m_coldLimit.setLimit(m_coldTarget.limit(now));
        m_coldLimit.setSpentUntil(m_coldTarget.spentUntil(now));
    }
    if (m_coldLimit.admit(now)) {
        return OpeningRefusal::None;
    }
    return m_coldTarget.isListedCold(now) ? OpeningRefusal::Cold : OpeningRefusal::Unproven;
}

OpeningRefusal OpeningFence::lastingRefusal(TimePoint now) const
{
    if (m_hasTargetEnded) {
        return OpeningRefusal::TargetEnded;
    }
    if (now < m_suspensionDeadline) {
        return OpeningRefusal::Outdated;
    }
    if (m_directory.isOut(m_settings.dataCentre)) {
        return OpeningRefusal::DataCentreOut;
    }
    const TargetDirectory::Entry *own = m_directory.findAt(m_settings.target);
    if (own != nullptr && own->target.isDraining) {
        return OpeningRefusal::Draining;
    }
    return m_isStopping ? OpeningRefusal::Stopping : OpeningRefusal::None;
}

OpeningRefusal OpeningFence::lastingRefusal(TimePoint now, const StreamMessage &message) const
{
    const OpeningRefusal refusal = lastingRefusal(now);
    if (!message.candidates.empty()) {
        return refusal;
    }
    // The flow outlives the stop: the next agent of the target adopts it.
    if (refusal == OpeningRefusal::Stopping) {
        return OpeningRefusal::None;
    }
    const bool hasJustBegunToDrain = refusal == OpeningRefusal::Draining && now < *m_directory.findAt(m_settings.target)->drainingSince + drainingGrace;
    return hasJustBegunToDrain ? OpeningRefusal::None : refusal;
}

}
