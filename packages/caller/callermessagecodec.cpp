#include "caller/callermessagecodec.h"

#include "core/assertion.h"

#include <QDataStream>
#include <QIODevice>

#include <array>
#include <type_traits>
#include <utility>

namespace Rattanpick
{

namespace
{

constexpr quint8 lastRefusalReason = static_cast<quint8>(RefusalReason::DataCentreOut);
constexpr quint8 firstOutcome = static_cast<quint8>(Outcome::NotOpened);
constexpr quint8 lastOutcome = static_cast<quint8>(Outcome::OutcomeUnknown);

/// Writes the fields of a message in the order of the calls.
class FieldWriter
{
public:
    explicit FieldWriter(QDataStream &stream)
        : m_stream(stream)
    {
    }

    bool nonZeroNumber(quint64 value)
    {
        m_stream << value;
        return true;
    }

    bool anyNumber(quint64 value)
    {
        m_stream << value;
        return true;
    }

    bool mask(quint64 value)
    {
        return anyNumber(value);
    }

    bool nonZeroIncarnation(Incarnation value)
    {
        m_stream << static_cast<quint64>(value);
        return true;
    }

    bool anyIncarnation(Incarnation value)
    {
        return nonZeroIncarnation(value);
    }

    bool flag(bool value)
    {
        m_stream << static_cast<quint8>(value ? 1 : 0);
        return true;
    }

    bool milliseconds(quint32 value)
    {
        m_stream << value;
        return true;
    }

    bool partOf(quint16 part, quint16 parts)
    {
        m_stream << part << parts;
        return true;
    }

    bool reason(RefusalReason value)
    {
        m_stream << static_cast<quint8>(value);
        return true;
    }

    bool outcome(Outcome value)
    {
        m_stream << static_cast<quint8>(value);
        return true;
    }

    bool bytes(const QByteArray &value)
    {
        RP_ASSERT(value.size() <= maximumCallerMessageSize);
        m_stream << static_cast<quint16>(value.size());
        m_stream.writeRawData(value.constData(), static_cast<int>(value.size()));
        return true;
    }

private:
    QDataStream &m_stream;
};

/// Reads the fields of a message; each call returns false if the field is missing or its value is not allowed.
class FieldReader
{
public:
    FieldReader(QDataStream &stream, QByteArrayView payload)
        : m_stream(stream)
        , m_payload(payload)
    {
    }

    bool nonZeroNumber(quint64 &value)
    {
        return anyNumber(value) && value != 0;
    }

    bool anyNumber(quint64 &value)
    {
        m_stream >> value;
        return isOk();
    }

    bool mask(quint64 &value)
    {
        return anyNumber(value);
    }

    bool nonZeroIncarnation(Incarnation &value)
    {
        return anyIncarnation(value) && value != Incarnation{};
    }

    bool anyIncarnation(Incarnation &value)
    {
        quint64 number = 0;
        m_stream >> number;
        value = Incarnation{number};
        return isOk();
    }

    bool flag(bool &value)
    {
        quint8 byte = 0;
        m_stream >> byte;
        value = byte == 1;
        return isOk() && byte <= 1;
    }

    bool milliseconds(quint32 &value)
    {
        m_stream >> value;
        return isOk();
    }

    bool partOf(quint16 &part, quint16 &parts)
    {
        m_stream >> part >> parts;
        return isOk() && parts <= AnswerPart::maximumParts && part < parts;
    }

    bool reason(RefusalReason &value)
    {
        quint8 byte = 0;
        m_stream >> byte;
        value = static_cast<RefusalReason>(byte);
        return isOk() && byte <= lastRefusalReason;
    }

    bool outcome(Outcome &value)
    {
        quint8 byte = 0;
        m_stream >> byte;
        value = static_cast<Outcome>(byte);
        return isOk() && byte >= firstOutcome && byte <= lastOutcome;
    }

    // The length is checked against the remaining bytes before allocation, so that a forged length allocates nothing.
    bool bytes(QByteArray &value)
    {
        quint16 size = 0;
        m_stream >> size;
        const qsizetype position = m_stream.device()->pos();
        if (!isOk() || size > m_payload.size() - position) {
            return false;
        }
        value = m_payload.sliced(position, size).toByteArray();
        return m_stream.skipRawData(size) == size;
    }

private:
    bool isOk() const
    {
        return m_stream.status() == QDataStream::Ok;
    }

    QDataStream &m_stream;
    QByteArrayView m_payload;
};

// Field layout of each message, shared by encoder and decoder. Decoding stops at the first rejected field.

template <typename Message, typename Fields>
bool visitFields(Message &message, Fields &fields)
{
    using Plain = std::remove_const_t<Message>;
    if (!fields.nonZeroNumber(message.nonce)) {
        return false;
    }
    if constexpr (std::is_same_v<Plain, Opened> || std::is_same_v<Plain, Rebound>) {
        return fields.nonZeroIncarnation(message.flowIncarnation);
    } else if constexpr (std::is_same_v<Plain, Data>) {
        return fields.nonZeroNumber(message.sequence) && fields.bytes(message.payload);
    } else if constexpr (std::is_same_v<Plain, DataAck>) {
        return fields.nonZeroNumber(message.sequence);
    } else if constexpr (std::is_same_v<Plain, Request>) {
        return fields.nonZeroNumber(message.number) && fields.flag(message.isIdempotent) && fields.milliseconds(message.remainingMilliseconds)
               && fields.anyIncarnation(message.flowIncarnation) && fields.bytes(message.body);
    } else if constexpr (std::is_same_v<Plain, AnswerPart>) {
        return fields.nonZeroNumber(message.number) && fields.partOf(message.part, message.parts) && fields.bytes(message.body);
    } else if constexpr (std::is_same_v<Plain, AnswerAck>) {
        return fields.nonZeroNumber(message.number) && fields.mask(message.receivedMask);
    } else if constexpr (std::is_same_v<Plain, Cancel>) {
        return fields.nonZeroNumber(message.number);
    } else if constexpr (std::is_same_v<Plain, Refused>) {
        return fields.anyNumber(message.number) && fields.reason(message.reason) && fields.outcome(message.outcome);
    } else if constexpr (std::is_same_v<Plain, Reset>) {
        return fields.reason(message.reason);
    } else {
        static_assert(std::is_same_v<Plain, Open> || std::is_same_v<Plain, Close> || std::is_same_v<Plain, Closed> || std::is_same_v<Plain, KeepAlive>);
        return true;
    }
}

template <std::size_t Kind>
std::optional<CallerMessage> decodeBody(FieldReader &fields)
{
    std::variant_alternative_t<Kind, CallerMessage> message;
    if (!visitFields(message, fields)) {
        return std::nullopt;
    }
    return CallerMessage{std::move(message)};
}

using BodyDecoder = std::optional<CallerMessage> (*)(FieldReader &);

template <std::size_t... Kinds>
constexpr std::array<BodyDecoder, sizeof...(Kinds)> bodyDecoders(std::index_sequence<Kinds...>)
{
    return {&decodeBody<Kinds>...};
}

// The kind byte is the index of the message in CallerMessage plus 1, so that an all-zero datagram is rejected.
constexpr auto decoders = bodyDecoders(std::make_index_sequence<std::variant_size_v<CallerMessage>>{});

}

QByteArray encodeCallerMessage(const CallerMessage &message)
{
    QByteArray payload;
    payload.reserve(maximumCallerMessageSize);
    QDataStream stream(&payload, QIODevice::WriteOnly);
    stream.setVersion(QDataStream::Qt_6_4);
    stream << static_cast<quint8>(message.index() + 1);
    FieldWriter fields(stream);
    std::visit([&fields](const auto &body) { visitFields(body, fields); }, message);
    RP_ASSERT(payload.size() <= maximumCallerMessageSize);
    return payload;
}

std::optional<CallerMessage> decodeCallerMessage(QByteArrayView payload)
{
    if (payload.isEmpty() || payload.size() > maximumCallerMessageSize) {
        return std::nullopt;
    }
    const QByteArray bytes = QByteArray::fromRawData(payload.data(), payload.size());
    QDataStream stream(bytes);
    stream.setVersion(QDataStream::Qt_6_4);
    quint8 kind = 0;
    stream >> kind;
    if (kind == 0 || kind > decoders.size()) {
        return std::nullopt;
    }
    FieldReader fields(stream, payload);
    auto message = decoders[kind - 1](fields);
    if (!message || !stream.atEnd()) {
        return std::nullopt;
    }
    return message;
}

}
