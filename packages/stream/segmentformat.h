#pragma once

#include "stream/segment.h"

#include <QByteArray>
#include <QByteArrayView>

#include <optional>

namespace Rattanpick
{

/// Wire format of segments. The format is given by the network that the system runs in.
class SegmentFormat
{
public:
    virtual ~SegmentFormat() = default;

    /// Decodes the header of a packet; nothing if the packet is too short or its length is wrong.
    virtual std::optional<Segment> decode(QByteArrayView packet) const = 0;

    /// The packet with the tag set and the bounce flag cleared; all other bytes are unchanged.
    virtual QByteArray forTarget(const QByteArray &packet, quint32 tag) const = 0;

    /// Builds a reset of the flow for its caller; @p sequence must be near the caller's latest acknowledgement number.
    virtual QByteArray reset(const FlowKey &flow, quint32 sequence) const = 0;
};

}
