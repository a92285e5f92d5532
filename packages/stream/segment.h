#pragma once

#include "core/flowkey.h"

#include <QtGlobal>

namespace Rattanpick
{

/// Flags of a segment; may be combined.
enum SegmentFlag : quint8 {
    /// Opens a flow.
    SynFlag = 1,
    /// The acknowledgement number is valid.
    AckFlag = 2,
    /// The sender has no more data.
    FinFlag = 4,
    /// The flow is over.
    RstFlag = 8,
    /// The segment was returned by a target that does not hold the flow or cannot accept it.
    BouncedFlag = 16,
};

/// The header of one packet of a byte-stream flow. The payload is never read.
struct Segment
{
    /// The endpoint that sent the segment.
    Endpoint source;
    Endpoint destination;
    /// A combination of SegmentFlag.
    quint8 flags = 0;
    quint32 sequence = 0;
    quint32 acknowledgement = 0;
    /// Bytes of payload after the header.
    quint16 dataLength = 0;
    /// Number that a target returns unchanged in a bounced segment; neither endpoint of the flow reads it.
    quint32 tag = 0;

    bool operator==(const Segment &) const = default;

    /// Whether the flag is set.
    bool has(SegmentFlag flag) const
    {
        return (flags & flag) != 0;
    }

    /// Whether the segment opens a flow.
    bool isOpening() const
    {
        return has(SynFlag) && !has(AckFlag);
    }

    /// The flow of a segment that was sent by the caller.
    FlowKey flowFromCaller() const
    {
        return {source, destination};
    }

    /// The flow of a segment that was sent by the target.
    FlowKey flowFromTarget() const
    {
        return {destination, source};
    }
};

}
