#pragma once

#include "stream/segment.h"

#include <QByteArray>
#include <QByteArrayView>

#include <optional>

namespace Rattanpick
{

/// How segments are written on the wire. The format belongs to the network that the system runs in.
class SegmentFormat
{
public:
    virtual ~SegmentFormat() = default;

    /// The head of a packet; nothing if it is too short or its length is wrong.
    virtual std::optional<Segment> decode(QByteArrayView packet) const = 0;

    /// The packet with the tag set and the bounce mark cleared; every other byte stays as its sender wrote it.
    virtual QByteArray forTarget(const QByteArray &packet, quint32 tag) const = 0;

    /// A reset of the flow towards its caller; @p sequence must lie near the caller's latest acknowledgement.
    virtual QByteArray reset(const FlowKey &flow, quint32 sequence) const = 0;
};

}
