#include "plainformat.h"

#include <fabric/wireformat.h>

namespace Rattanpick
{

std::optional<Segment> PlainFormat::decode(QByteArrayView packet) const
{
    const QByteArray bytes(packet.data(), packet.size());
    QDataStream stream(bytes);
    Segment segment;
    stream >> segment.source >> segment.destination >> segment.flags >> segment.sequence >> segment.acknowledgement >> segment.dataLength >> segment.tag;
    const bool isComplete = stream.status() == QDataStream::Ok && packet.size() - stream.device()->pos() == segment.dataLength;
    return isComplete ? std::optional(segment) : std::nullopt;
}

QByteArray PlainFormat::forTarget(const QByteArray &packet, quint32 tag) const
{
    Segment segment = *decode(packet);
    segment.tag = tag;
    segment.flags &= static_cast<quint8>(~BouncedFlag);
    return encode(segment);
}

QByteArray PlainFormat::reset(const FlowKey &flow, quint32 sequence) const
{
    Segment segment;
    segment.source = flow.service;
    segment.destination = flow.caller;
    segment.flags = RstFlag;
    segment.sequence = sequence;
    return encode(segment);
}

QByteArray PlainFormat::encode(const Segment &segment)
{
    QByteArray packet;
    QDataStream stream(&packet, QIODevice::WriteOnly);
    stream << segment.source << segment.destination << segment.flags << segment.sequence << segment.acknowledgement << segment.dataLength << segment.tag;
    return packet + QByteArray(segment.dataLength, '\0');
}

}
