#pragma once

#include "core/flowkey.h"

#include <QtGlobal>

namespace Rattanpick
{

/// The flags of a segment; a segment may carry several.
enum SegmentFlag : quint8 {
    /// Opens a flow.
    SynFlag = 1,
    /// The acknowledgement number is valid.
    AckFlag = 2,
    /// The sender has no more data.
    FinFlag = 4,
    /// The flow is over.
    RstFlag = 8,
    /// A target has returned the segment, since it does not hold the flow or cannot accept it.
    BouncedFlag = 16,
};

/// The head of one packet of a byte-stream flow. Its data is never read.
struct Segment
{
    /// The end that wrote the segment.
    Endpoint source;
    Endpoint destination;
    /// A combination of SegmentFlag.
    quint8 flags = 0;
    quint32 sequence = 0;
    quint32 acknowledgement = 0;
    /// Bytes of data behind the head.
    quint16 dataLength = 0;
    /// Number that a target returns unchanged in a bounced segment; the ends of the flow do not read it.
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

    /// The flow of a segment that its caller wrote.
    FlowKey flowFromCaller() const
    {
        return {source, destination};
    }

    /// The flow of a segment that its target wrote.
    FlowKey flowFromTarget() const
    {
        return {destination, source};
    }
};

}
