#include "stream/verificationage.h"

#include "core/assertion.h"

#include <algorithm>
#include <limits>

namespace Rattanpick
{

namespace
{

constexpr quint16 hopCountMask = 3;
constexpr std::int64_t maximumMilliseconds = std::numeric_limits<quint16>::max() & ~hopCountMask;

}

VerificationAge VerificationAge::fromWire(quint16 bits)
{
    return {std::chrono::milliseconds(bits & ~hopCountMask), static_cast<quint8>(bits & hopCountMask)};
}

quint16 VerificationAge::toWire() const
{
    RP_ASSERT(hopCount <= hopCountMask);
    const std::int64_t milliseconds = std::chrono::ceil<std::chrono::milliseconds>(std::clamp<Duration>(age, Duration::zero(), std::chrono::hours(1))).count();
    const std::int64_t rounded = (milliseconds + hopCountMask) & ~std::int64_t{hopCountMask};
    return static_cast<quint16>(std::min(rounded, maximumMilliseconds) | hopCount);
}

}
