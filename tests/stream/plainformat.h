#pragma once

#include <stream/segmentformat.h>

namespace Rattanpick
{

/// A packet format for tests: the members of a Segment, then its data.
class PlainFormat : public SegmentFormat
{
public:
    std::optional<Segment> decode(QByteArrayView packet) const override;
    QByteArray forTarget(const QByteArray &packet, quint32 tag) const override;
    QByteArray reset(const FlowKey &flow, quint32 sequence) const override;

    /// The packet of a segment; its data are zeros.
    static QByteArray encode(const Segment &segment);
};

}
