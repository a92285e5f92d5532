#include "fabric/peermessagecodec.h"

#include "core/assertion.h"
#include "fabric/wireformat.h"

#include <sodium.h>

#include <QtEndian>

#include <algorithm>
#include <utility>

namespace Rattanpick
{

namespace
{

/// "RPK1"; the last character changes with the layout.
constexpr quint32 magic = 0x52504b31;
constexpr qsizetype magicSize = sizeof(quint32);
/// Size of magic, kind and size fields, which are read before the tag has been verified.
constexpr qsizetype prefixSize = magicSize + sizeof(quint8) + sizeof(quint16);
constexpr qsizetype sizeOffset = magicSize + sizeof(quint8);
constexpr qsizetype tagSize = crypto_shorthash_BYTES;
/// Bytes reserved for header, hop list and tag in addition to a payload, which avoids reallocation for most messages.
constexpr qsizetype typicalOverhead = 256;

static_assert(std::tuple_size_v<PeerMessageCodec::Key> == crypto_shorthash_KEYBYTES);

std::array<unsigned char, tagSize> tagOf(const char *bytes, qsizetype size, const PeerMessageCodec::Key &key)
{
    std::array<unsigned char, tagSize> tag{};
    crypto_shorthash(tag.data(), reinterpret_cast<const unsigned char *>(bytes), static_cast<unsigned long long>(size), key.data());
    return tag;
}

// Parts of bodies

void write(QDataStream &stream, const Hop &hop)
{
    stream << hop.target << hop.endpoint;
}

void read(QDataStream &stream, Hop &hop)
{
    stream >> hop.target >> hop.endpoint;
}

void write(QDataStream &stream, const HopList &hops)
{
    stream << static_cast<quint8>(hops.size()) << hops.visitedMask();
    for (std::size_t index = 0; index < hops.size(); ++index) {
        write(stream, hops.at(index));
    }
}

void read(QDataStream &stream, HopList &hops)
{
    quint8 size = 0;
    quint8 visited = 0;
    stream >> size >> visited;
    requireWire(stream, size <= HopList::maximumSize);
    hops = HopList();
    for (quint8 index = 0; index < size && stream.status() == QDataStream::Ok; ++index) {
        Hop hop;
        read(stream, hop);
        hops.append(hop);
    }
    hops.setVisitedMask(visited);
    // A duplicate target or a visited bit without a hop is meaningless and would not survive a round trip.
    requireWire(stream, hops.size() == size && hops.visitedMask() == visited);
}

void read(QDataStream &stream, RefusalReason &reason)
{
    stream >> reason;
    requireWire(stream, reason <= RefusalReason::DataCentreOut);
}

void write(QDataStream &stream, const DirectoryEntry &entry)
{
    stream << entry.flow << entry.nonce;
    write(stream, entry.owner);
    stream << entry.flowIncarnation;
}

void read(QDataStream &stream, DirectoryEntry &entry)
{
    stream >> entry.flow >> entry.nonce;
    read(stream, entry.owner);
    stream >> entry.flowIncarnation;
}

// Header

void write(QDataStream &stream, const TunnelHeader &header)
{
    stream << header.version.number << header.version.digest << header.service << header.destination << header.destinationIncarnation << header.sender
           << header.senderEndpoint << header.senderIncarnation << header.lamport << header.loadPermille << header.hopCount << header.flags;
}

void read(QDataStream &stream, TunnelHeader &header)
{
    stream >> header.version.number >> header.version.digest >> header.service >> header.destination >> header.destinationIncarnation >> header.sender
        >> header.senderEndpoint >> header.senderIncarnation >> header.lamport >> header.loadPermille >> header.hopCount >> header.flags;
}

// Bodies

void write(QDataStream &stream, const Forward &body)
{
    write(stream, body.hops);
    stream << body.flow;
    writeWireBytes(stream, body.payload);
}

void read(QDataStream &stream, Forward &body)
{
    read(stream, body.hops);
    stream >> body.flow;
    readWireBytes(stream, body.payload);
}

void write(QDataStream &stream, const Offer &body)
{
    stream << body.flow << body.nonce;
}

void read(QDataStream &stream, Offer &body)
{
    stream >> body.flow >> body.nonce;
}

void write(QDataStream &stream, const Accepted &body)
{
    stream << body.flow << body.nonce << body.flowIncarnation;
}

void read(QDataStream &stream, Accepted &body)
{
    stream >> body.flow >> body.nonce >> body.flowIncarnation;
}

void write(QDataStream &stream, const Declined &body)
{
    stream << body.flow << body.nonce << body.reason;
}

void read(QDataStream &stream, Declined &body)
{
    stream >> body.flow >> body.nonce;
    read(stream, body.reason);
}

void write(QDataStream &stream, const Withdraw &body)
{
    stream << body.flow << body.nonce;
}

void read(QDataStream &stream, Withdraw &body)
{
    stream >> body.flow >> body.nonce;
}

void write(QDataStream &stream, const FlowQuery &body)
{
    stream << body.flow << body.nonce;
}

void read(QDataStream &stream, FlowQuery &body)
{
    stream >> body.flow >> body.nonce;
}

void write(QDataStream &stream, const FlowReply &body)
{
    stream << body.isKnown;
    write(stream, body.entry);
}

void read(QDataStream &stream, FlowReply &body)
{
    readWireBool(stream, body.isKnown);
    read(stream, body.entry);
}

void write(QDataStream &stream, const Register &body)
{
    RP_ASSERT(body.entries.size() <= Register::maximumEntries);
    stream << body.batch << static_cast<quint8>(body.entries.size());
    for (const DirectoryEntry &entry : body.entries) {
        write(stream, entry);
    }
}

void read(QDataStream &stream, Register &body)
{
    quint8 count = 0;
    stream >> body.batch >> count;
    requireWire(stream, count <= Register::maximumEntries);
    if (stream.status() != QDataStream::Ok) {
        return;
    }
    body.entries.resize(count);
    for (DirectoryEntry &entry : body.entries) {
        read(stream, entry);
    }
}

void write(QDataStream &stream, const Registered &body)
{
    stream << body.batch;
}

void read(QDataStream &stream, Registered &body)
{
    stream >> body.batch;
}

void write(QDataStream &stream, const Release &body)
{
    stream << body.flow << body.nonce;
}

void read(QDataStream &stream, Release &body)
{
    stream >> body.flow >> body.nonce;
}

void write(QDataStream &stream, const DirectoryDigest &body)
{
    stream << body.count << body.digest;
}

void read(QDataStream &stream, DirectoryDigest &body)
{
    stream >> body.count >> body.digest;
}

void write(QDataStream &, const DirectoryPull &)
{
}

void read(QDataStream &, DirectoryPull &)
{
}

void write(QDataStream &stream, const VersionNotice &body)
{
    stream << body.adminEndpoint << body.wantsAnswer;
}

void read(QDataStream &stream, VersionNotice &body)
{
    stream >> body.adminEndpoint;
    readWireBool(stream, body.wantsAnswer);
}

void write(QDataStream &stream, const Heartbeat &body)
{
    stream << body.isDraining << body.sequence;
}

void read(QDataStream &stream, Heartbeat &body)
{
    readWireBool(stream, body.isDraining);
    stream >> body.sequence;
}

void write(QDataStream &stream, const Suspicion &body)
{
    write(stream, body.suspect);
    stream << body.suspectIncarnation << body.isRefuted << body.reporter;
}

void read(QDataStream &stream, Suspicion &body)
{
    read(stream, body.suspect);
    stream >> body.suspectIncarnation;
    readWireBool(stream, body.isRefuted);
    stream >> body.reporter;
}

void write(QDataStream &stream, const Retry &body)
{
    stream << body.flow;
    writeWireBytes(stream, body.payload);
}

void read(QDataStream &stream, Retry &body)
{
    stream >> body.flow;
    readWireBytes(stream, body.payload);
}

// Kinds

using BodyReader = void (*)(QDataStream &, PeerBody &);

template <std::size_t Index>
void readBody(QDataStream &stream, PeerBody &body)
{
    read(stream, body.emplace<Index>());
}

template <std::size_t... Indices>
constexpr std::array<BodyReader, sizeof...(Indices)> bodyReaders(std::index_sequence<Indices...>)
{
    return {readBody<Indices>...};
}

/// Indexed by kind - 1. The kind is the index of the body in PeerBody plus 1, so that zeroed bytes are not a valid
/// message.
constexpr auto readers = bodyReaders(std::make_index_sequence<std::variant_size_v<PeerBody>>{});

}

const char *dropReasonName(DropReason reason)
{
    static constexpr std::array names{"none",
                                      "truncated",
                                      "malformed",
                                      "oversized",
                                      "forged",
                                      "unknown-service",
                                      "unknown-destination",
                                      "no-candidate",
                                      "no-configuration",
                                      "holding-after-pause",
                                      "hop-limit",
                                      "data-centre-out",
                                      "queue-full",
                                      "not-placed",
                                      "unknown-flow",
                                      "ring-full"};
    static_assert(names.size() == static_cast<std::size_t>(DropReason::Count));
    RP_ASSERT(reason < DropReason::Count);
    return names[static_cast<std::size_t>(reason)];
}

PeerMessageCodec::PeerMessageCodec(const Key &key)
    : m_key(key)
{
}

QByteArray PeerMessageCodec::encode(const PeerMessage &message) const
{
    QByteArray datagram;
    const auto *forward = std::get_if<Forward>(&message.body);
    datagram.reserve(typicalOverhead + (forward != nullptr ? forward->payload.size() : 0));
    {
        QDataStream stream(&datagram, QIODevice::WriteOnly);
        stream.setVersion(wireVersion);
        stream << magic << static_cast<quint8>(message.body.index() + 1) << quint16{0};
        write(stream, message.header);
        std::visit([&stream](const auto &body) { write(stream, body); }, message.body);
    }
    const qsizetype size = datagram.size() + tagSize;
    RP_ASSERT(size <= maximumSize);
    qToBigEndian(static_cast<quint16>(size), datagram.data() + sizeOffset);
    const auto tag = tagOf(datagram.constData(), datagram.size(), m_key);
    datagram.append(reinterpret_cast<const char *>(tag.data()), tagSize);
    return datagram;
}

std::optional<PeerMessage> PeerMessageCodec::decode(QByteArrayView datagram) const
{
    const auto refuse = [this](DropReason reason) {
        m_lastDrop = reason;
        return std::nullopt;
    };
    if (datagram.size() > maximumSize) {
        return refuse(DropReason::Oversized);
    }
    if (datagram.size() < prefixSize + tagSize) {
        return refuse(DropReason::Truncated);
    }
    if (qFromBigEndian<quint32>(datagram.data()) != magic) {
        return refuse(DropReason::Malformed);
    }
    // The size is checked before the tag to distinguish a datagram truncated in transit from a forged one.
    const qsizetype size = qFromBigEndian<quint16>(datagram.data() + sizeOffset);
    if (datagram.size() != size) {
        return refuse(datagram.size() < size ? DropReason::Truncated : DropReason::Malformed);
    }
    const qsizetype signedSize = size - tagSize;
    const auto tag = tagOf(datagram.data(), signedSize, m_key);
    if (sodium_memcmp(tag.data(), datagram.data() + signedSize, tagSize) != 0) {
        return refuse(DropReason::Forged);
    }
    const auto kind = static_cast<quint8>(datagram[magicSize]);
    if (kind == 0 || kind > readers.size()) {
        return refuse(DropReason::Malformed);
    }

    const QByteArray content = QByteArray::fromRawData(datagram.data() + prefixSize, signedSize - prefixSize);
    QDataStream stream(content);
    stream.setVersion(wireVersion);
    PeerMessage message;
    read(stream, message.header);
    readers[kind - 1U](stream, message.body);
    if (stream.status() == QDataStream::ReadPastEnd) {
        return refuse(DropReason::Truncated);
    }
    if (stream.status() != QDataStream::Ok || !stream.atEnd()) {
        return refuse(DropReason::Malformed);
    }
    m_lastDrop = DropReason::None;
    return message;
}

}
