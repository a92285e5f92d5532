#include "fabric/innerpacket.h"

#include <tins/exceptions.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/udp.h>

#include <QtEndian>

namespace Rattanpick
{

namespace
{

constexpr quint8 udpProtocol = 17;
constexpr qsizetype udpHeaderSize = 8;
constexpr qsizetype minimumIpHeaderSize = 20;
/// The IPv4 header length field counts words of 4 bytes.
constexpr qsizetype headerWordSize = 4;
constexpr unsigned checksumAllOnes = 0xffff;

/// libtins keeps IPv4 addresses in network byte order.
Tins::IPv4Address toTins(quint32 address)
{
    return Tins::IPv4Address(qToBigEndian(address));
}

quint32 fromTins(const Tins::IPv4Address &address)
{
    return qFromBigEndian(static_cast<quint32>(address));
}

/// Source, destination and payload of an IPv4 UDP packet.
struct UdpPacket
{
    Endpoint source;
    Endpoint destination;
    QByteArray payload;
};

/// Verifies the IPv4 header checksum, which libtins does not; a flipped bit in an address could send the packet to
/// another service.
bool isHeaderIntact(const quint8 *bytes, qsizetype headerSize)
{
    unsigned sum = 0;
    for (qsizetype offset = 0; offset < headerSize; offset += 2) {
        sum += qFromBigEndian<quint16>(bytes + offset);
    }
    while ((sum >> 16) != 0) {
        sum = (sum & checksumAllOnes) + (sum >> 16);
    }
    return sum == checksumAllOnes;
}

std::optional<UdpPacket> parse(QByteArrayView bytes)
{
    const auto *data = reinterpret_cast<const quint8 *>(bytes.data());
    if (bytes.size() < minimumIpHeaderSize + udpHeaderSize) {
        return std::nullopt;
    }
    try {
        const Tins::IP ip(data, static_cast<quint32>(bytes.size()));
        const auto headerSize = qsizetype{ip.head_len()} * headerWordSize;
        if (ip.version() != 4 || ip.tot_len() != bytes.size() || ip.is_fragmented() || ip.protocol() != udpProtocol || !isHeaderIntact(data, headerSize)) {
            return std::nullopt;
        }
        const auto *udp = ip.find_pdu<Tins::UDP>();
        if (udp == nullptr || udp->length() != bytes.size() - headerSize) {
            return std::nullopt;
        }
        return UdpPacket{
            {fromTins(ip.src_addr()), udp->sport()}, {fromTins(ip.dst_addr()), udp->dport()}, bytes.sliced(headerSize + udpHeaderSize).toByteArray()};
    } catch (const Tins::exception_base &) {
        return std::nullopt;
    }
}

}

QByteArray InnerPacket::encode() const
{
    const Endpoint &source = isTowardsCaller ? flow.service : flow.caller;
    const Endpoint &destination = isTowardsCaller ? flow.caller : flow.service;
    Tins::IP packet = Tins::IP(toTins(destination.address), toTins(source.address)) / Tins::UDP(destination.port, source.port)
                      / Tins::RawPDU(reinterpret_cast<const quint8 *>(payload.constData()), static_cast<quint32>(payload.size()));
    packet.ttl(64);
    const Tins::PDU::serialization_type bytes = packet.serialize();
    return {reinterpret_cast<const char *>(bytes.data()), static_cast<qsizetype>(bytes.size())};
}

std::optional<InnerPacket> InnerPacket::fromCaller(QByteArrayView bytes)
{
    std::optional<UdpPacket> packet = parse(bytes);
    if (!packet) {
        return std::nullopt;
    }
    return InnerPacket{FlowKey{packet->source, packet->destination, udpProtocol}, false, std::move(packet->payload)};
}

std::optional<InnerPacket> InnerPacket::toCaller(QByteArrayView bytes)
{
    std::optional<UdpPacket> packet = parse(bytes);
    if (!packet) {
        return std::nullopt;
    }
    return InnerPacket{FlowKey{packet->destination, packet->source, udpProtocol}, true, std::move(packet->payload)};
}

}
