#include "stream/flowposition.h"

namespace Rattanpick
{

namespace
{

/// Bytes by which two segments of one flow may differ; well above the data in flight and the repeated segments.
constexpr quint32 window = 76'800;

bool isNear(std::optional<quint32> first, std::optional<quint32> second)
{
    return !first || !second || *first - *second + window <= 2 * window;
}

}

FlowPosition::FlowPosition(std::optional<quint32> caller, std::optional<quint32> target)
    : m_caller(caller)
    , m_target(target)
{
}

FlowPosition FlowPosition::fromCaller(const Segment &segment)
{
    return {segment.sequence, segment.has(AckFlag) ? std::optional(segment.acknowledgement) : std::nullopt};
}

FlowPosition FlowPosition::fromTarget(const Segment &segment)
{
    return {segment.has(AckFlag) ? std::optional(segment.acknowledgement) : std::nullopt, segment.sequence};
}

bool FlowPosition::fits(const FlowPosition &other) const
{
    return isNear(m_caller, other.m_caller) && isNear(m_target, other.m_target);
}

}
