#include "fabric/wireformat.h"

#include "core/assertion.h"

namespace Rattanpick
{

void requireWire(QDataStream &stream, bool condition)
{
    if (!condition && stream.status() == QDataStream::Ok) {
        stream.setStatus(QDataStream::ReadCorruptData);
    }
}

void readWireBool(QDataStream &stream, bool &value)
{
    quint8 number = 0;
    stream >> number;
    requireWire(stream, number <= 1);
    value = number == 1;
}

void writeWireBytes(QDataStream &stream, const QByteArray &bytes)
{
    RP_ASSERT(bytes.size() <= maximumWireBytes);
    stream << static_cast<quint16>(bytes.size());
    stream.writeRawData(bytes.constData(), static_cast<int>(bytes.size()));
}

void readWireBytes(QDataStream &stream, QByteArray &bytes)
{
    quint16 size = 0;
    stream >> size;
    bytes.resize(size);
    if (stream.readRawData(bytes.data(), size) != size && stream.status() == QDataStream::Ok) {
        stream.setStatus(QDataStream::ReadPastEnd);
    }
}

QDataStream &operator<<(QDataStream &stream, const Endpoint &endpoint)
{
    return stream << endpoint.address << endpoint.port;
}

QDataStream &operator>>(QDataStream &stream, Endpoint &endpoint)
{
    return stream >> endpoint.address >> endpoint.port;
}

QDataStream &operator<<(QDataStream &stream, const FlowKey &flow)
{
    return stream << flow.caller << flow.service << flow.protocol;
}

QDataStream &operator>>(QDataStream &stream, FlowKey &flow)
{
    return stream >> flow.caller >> flow.service >> flow.protocol;
}

}
