#pragma once

#include "stream/segment.h"

#include <optional>

namespace Rattanpick
{

/// The sequence numbers that both directions of a flow have reached.
///
/// Both ends of a flow choose their first sequence numbers at random. The position thus tells a flow from an earlier one
/// between the same two endpoints, which a target may still remember.
class FlowPosition
{
public:
    /// A position that fits every flow.
    FlowPosition() = default;

    /// The position that a segment of the caller shows.
    static FlowPosition fromCaller(const Segment &segment);

    /// The position that a segment of the target shows.
    static FlowPosition fromTarget(const Segment &segment);

    /// Whether both positions may belong to one flow. A direction that either does not know fits.
    bool fits(const FlowPosition &other) const;

    bool operator==(const FlowPosition &) const = default;

private:
    FlowPosition(std::optional<quint32> caller, std::optional<quint32> target);

    /// Next sequence number of the caller, to within the data in flight.
    std::optional<quint32> m_caller;
    /// The same of the target; unknown until it has answered.
    std::optional<quint32> m_target;
};

}
