#include "agent/targetmessagecodec.h"

#include "core/assertion.h"
#include "fabric/wireformat.h"

#include <array>
#include <utility>

namespace Rattanpick
{

namespace
{

/// "RTC1" and "RTR1"; they differ so that a command which is reflected to its sender is not decoded as a reply.
constexpr quint32 commandMagic = 0x52544331;
constexpr quint32 replyMagic = 0x52545231;

template <typename Body>
void writeFlow(QDataStream &stream, const Body &body)
{
    stream << body.flow << body.nonce;
}

template <typename Body>
void readFlow(QDataStream &stream, Body &body)
{
    stream >> body.flow >> body.nonce;
}

// Commands

void write(QDataStream &stream, const TargetOpen &body)
{
    writeFlow(stream, body);
}

void read(QDataStream &stream, TargetOpen &body)
{
    readFlow(stream, body);
}

void write(QDataStream &stream, const TargetData &body)
{
    writeFlow(stream, body);
    stream << body.sequence;
    writeWireBytes(stream, body.payload);
}

void read(QDataStream &stream, TargetData &body)
{
    readFlow(stream, body);
    stream >> body.sequence;
    readWireBytes(stream, body.payload);
}

void write(QDataStream &stream, const TargetDataAck &body)
{
    writeFlow(stream, body);
    stream << body.sequence;
}

void read(QDataStream &stream, TargetDataAck &body)
{
    readFlow(stream, body);
    stream >> body.sequence;
}

void write(QDataStream &stream, const TargetClose &body)
{
    writeFlow(stream, body);
}

void read(QDataStream &stream, TargetClose &body)
{
    readFlow(stream, body);
}

void write(QDataStream &stream, const TargetProbe &body)
{
    writeFlow(stream, body);
}

void read(QDataStream &stream, TargetProbe &body)
{
    readFlow(stream, body);
}

void write(QDataStream &stream, const TargetRequest &body)
{
    writeFlow(stream, body);
    stream << body.number << body.remainingMilliseconds;
    writeWireBytes(stream, body.body);
}

void read(QDataStream &stream, TargetRequest &body)
{
    readFlow(stream, body);
    stream >> body.number >> body.remainingMilliseconds;
    readWireBytes(stream, body.body);
}

void write(QDataStream &stream, const TargetCancel &body)
{
    writeFlow(stream, body);
    stream << body.number;
}

void read(QDataStream &stream, TargetCancel &body)
{
    readFlow(stream, body);
    stream >> body.number;
}

// Replies

void write(QDataStream &stream, const TargetStatus &body)
{
    stream << body.isDraining << body.reportedLoadPermille;
}

void read(QDataStream &stream, TargetStatus &body)
{
    readWireBool(stream, body.isDraining);
    stream >> body.reportedLoadPermille;
}

void write(QDataStream &stream, const TargetFlowState &body)
{
    writeFlow(stream, body);
    stream << body.isKnown;
}

void read(QDataStream &stream, TargetFlowState &body)
{
    readFlow(stream, body);
    readWireBool(stream, body.isKnown);
}

void write(QDataStream &stream, const TargetAnswerPart &body)
{
    writeFlow(stream, body);
    stream << body.number << body.part << body.parts;
    writeWireBytes(stream, body.body);
}

void read(QDataStream &stream, TargetAnswerPart &body)
{
    readFlow(stream, body);
    stream >> body.number >> body.part >> body.parts;
    readWireBytes(stream, body.body);
}

void write(QDataStream &stream, const TargetShed &body)
{
    writeFlow(stream, body);
    stream << body.number;
}

void read(QDataStream &stream, TargetShed &body)
{
    readFlow(stream, body);
    stream >> body.number;
}

void write(QDataStream &stream, const TargetCancelled &body)
{
    writeFlow(stream, body);
    stream << body.number << body.hasRun;
}

void read(QDataStream &stream, TargetCancelled &body)
{
    readFlow(stream, body);
    stream >> body.number;
    readWireBool(stream, body.hasRun);
}

// Kinds

template <typename Variant>
using BodyReader = void (*)(QDataStream &, Variant &);

template <typename Variant, std::size_t Index>
void readBody(QDataStream &stream, Variant &body)
{
    read(stream, body.template emplace<Index>());
}

template <typename Variant, std::size_t... Indices>
constexpr std::array<BodyReader<Variant>, sizeof...(Indices)> bodyReaders(std::index_sequence<Indices...>)
{
    return {readBody<Variant, Indices>...};
}

/// Indexed by kind minus 1; a kind is the index of the body in its variant, counted from 1.
template <typename Variant>
constexpr auto readers = bodyReaders<Variant>(std::make_index_sequence<std::variant_size_v<Variant>>{});

template <typename Variant>
void writeVariant(QDataStream &stream, const Variant &body)
{
    stream << static_cast<quint8>(body.index() + 1);
    std::visit([&stream](const auto &alternative) { write(stream, alternative); }, body);
}

template <typename Variant>
void readVariant(QDataStream &stream, Variant &body)
{
    quint8 kind = 0;
    stream >> kind;
    requireWire(stream, kind > 0 && kind <= readers<Variant>.size());
    if (stream.status() == QDataStream::Ok) {
        readers<Variant>[kind - 1U](stream, body);
    }
}

void write(QDataStream &stream, const TargetCommand &command)
{
    writeVariant(stream, command);
}

void read(QDataStream &stream, TargetCommand &command)
{
    readVariant(stream, command);
}

void write(QDataStream &stream, const TargetReply &reply)
{
    stream << reply.targetIncarnation;
    writeVariant(stream, reply.body);
}

void read(QDataStream &stream, TargetReply &reply)
{
    stream >> reply.targetIncarnation;
    readVariant(stream, reply.body);
}

template <typename Message>
QByteArray encode(quint32 magic, const Message &message)
{
    QByteArray datagram;
    QDataStream stream(&datagram, QIODevice::WriteOnly);
    stream.setVersion(wireVersion);
    stream << magic;
    write(stream, message);
    RP_ASSERT(datagram.size() <= maximumTargetMessageSize);
    return datagram;
}

template <typename Message>
std::optional<Message> decode(quint32 magic, QByteArrayView datagram)
{
    if (datagram.size() > maximumTargetMessageSize) {
        return std::nullopt;
    }
    const QByteArray content = QByteArray::fromRawData(datagram.data(), datagram.size());
    QDataStream stream(content);
    stream.setVersion(wireVersion);
    quint32 found = 0;
    stream >> found;
    requireWire(stream, found == magic);
    Message message;
    read(stream, message);
    if (stream.status() != QDataStream::Ok || !stream.atEnd()) {
        return std::nullopt;
    }
    return message;
}

}

QByteArray encodeTargetCommand(const TargetCommand &command)
{
    return encode(commandMagic, command);
}

std::optional<TargetCommand> decodeTargetCommand(QByteArrayView datagram)
{
    return decode<TargetCommand>(commandMagic, datagram);
}

QByteArray encodeTargetReply(const TargetReply &reply)
{
    return encode(replyMagic, reply);
}

std::optional<TargetReply> decodeTargetReply(QByteArrayView datagram)
{
    return decode<TargetReply>(replyMagic, datagram);
}

}
