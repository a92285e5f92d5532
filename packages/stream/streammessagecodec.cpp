#include "stream/streammessagecodec.h"

#include "core/assertion.h"
#include "fabric/wireformat.h"

namespace Rattanpick
{

namespace
{

/// Distinguish these messages from others that may arrive at the port.
constexpr quint8 magicWithoutEra = 0x5b;
constexpr quint8 magicWithEra = 0x5c;
/// Set in the hop count of messages without a segment, which have not been forwarded: the sender reads eras.
constexpr quint8 readsErasFlag = 0x80;
/// A header with candidates and a flow takes 108 bytes, the largest packet 1,232.
constexpr qsizetype expectedSize = 1400;

bool carriesSegment(StreamMessageKind kind)
{
    return kind <= StreamMessageKind::Probe;
}

bool namesFlow(StreamMessageKind kind)
{
    return kind == StreamMessageKind::Held || kind == StreamMessageKind::NotHeld || kind == StreamMessageKind::Ended || kind == StreamMessageKind::Waiting;
}

bool carriesLoad(StreamMessageKind kind)
{
    return kind == StreamMessageKind::Held || kind == StreamMessageKind::Load || kind == StreamMessageKind::Waiting;
}

bool namesAddress(StreamMessageKind kind)
{
    return kind == StreamMessageKind::UnlistedTarget || kind == StreamMessageKind::TargetEnded;
}

QDataStream &operator<<(QDataStream &stream, const LoadReport &load)
{
    return stream << load.requestsInProgress << load.meanInProgressHundredths << load.flows << load.serviceMicroseconds << load.failurePermille
                  << load.answerBytes << quint8{load.isClosed};
}

void readLoad(QDataStream &stream, LoadReport &load)
{
    stream >> load.requestsInProgress >> load.meanInProgressHundredths >> load.flows >> load.serviceMicroseconds >> load.failurePermille >> load.answerBytes;
    readWireBool(stream, load.isClosed);
}

void writeHistory(QDataStream &stream, const StreamMessage &message)
{
    stream << message.partCount << message.followedMilliseconds << static_cast<quint8>(message.formerServices.size());
    for (const FormerServiceReport &report : message.formerServices) {
        stream << report.route << report.service << report.remainingMilliseconds;
    }
}

void readHistory(QDataStream &stream, StreamMessage &message)
{
    quint8 count = 0;
    stream >> message.partCount >> message.followedMilliseconds >> count;
    requireWire(stream, count <= maximumFormerServices);
    for (quint8 index = 0; index < count && stream.status() == QDataStream::Ok; ++index) {
        FormerServiceReport report;
        stream >> report.route >> report.service >> report.remainingMilliseconds;
        message.formerServices.push_back(report);
    }
}

void readCandidates(QDataStream &stream, std::vector<TargetId> &candidates)
{
    quint8 count = 0;
    stream >> count;
    requireWire(stream, count <= maximumCandidates);
    for (quint8 index = 0; index < count && stream.status() == QDataStream::Ok; ++index) {
        TargetId candidate{};
        stream >> candidate;
        candidates.push_back(candidate);
    }
}

}

QByteArray encodeStreamMessage(const StreamMessage &message, bool namesEra)
{
    RP_ASSERT(message.candidates.size() <= maximumCandidates);
    RP_ASSERT(message.formerServices.size() <= maximumFormerServices);
    QByteArray datagram;
    datagram.reserve(expectedSize);
    QDataStream stream(&datagram, QIODevice::WriteOnly);
    stream.setVersion(wireVersion);
    stream << (namesEra ? magicWithEra : magicWithoutEra) << message.kind;
    if (namesEra) {
        stream << message.directoryPosition.era;
    }
    const bool showsFlag = !namesEra && message.readsEras && !carriesSegment(message.kind);
    stream << static_cast<quint8>(showsFlag ? message.hopCount | readsErasFlag : message.hopCount) << message.configurationVersion
           << message.directoryPosition.revision << message.verification << message.lamport << message.sender << message.balancer << message.service
           << message.target << message.incarnation;
    if (namesFlow(message.kind)) {
        stream << message.flow;
    }
    if (message.kind == StreamMessageKind::NotHeld) {
        stream << quint8{message.isUnsettled} << quint8{message.knowsAllTargets} << quint8{message.isUncertain};
    }
    if (carriesLoad(message.kind)) {
        stream << message.load;
    }
    if (namesAddress(message.kind)) {
        stream << message.targetAddress;
    }
    if (message.kind == StreamMessageKind::RouteHistory) {
        writeHistory(stream, message);
    }
    if (message.kind == StreamMessageKind::Probe) {
        stream << quint8{message.isServiceAllowed};
    }
    if (carriesSegment(message.kind)) {
        stream << static_cast<quint8>(message.candidates.size());
        for (const TargetId candidate : message.candidates) {
            stream << candidate;
        }
        stream.writeRawData(message.packet.constData(), static_cast<int>(message.packet.size()));
    }
    return datagram;
}

std::optional<StreamMessage> decodeStreamMessage(QByteArrayView datagram)
{
    const QByteArray bytes = QByteArray::fromRawData(datagram.data(), datagram.size());
    QDataStream stream(bytes);
    stream.setVersion(wireVersion);
    quint8 receivedMagic = 0;
    StreamMessage message;
    stream >> receivedMagic >> message.kind;
    const bool namesEra = receivedMagic == magicWithEra;
    if (namesEra) {
        stream >> message.directoryPosition.era;
    }
    stream >> message.hopCount >> message.configurationVersion >> message.directoryPosition.revision >> message.verification >> message.lamport
        >> message.sender >> message.balancer >> message.service >> message.target >> message.incarnation;
    message.readsEras = namesEra || (!carriesSegment(message.kind) && (message.hopCount & readsErasFlag) != 0);
    if (!namesEra && !carriesSegment(message.kind)) {
        message.hopCount = static_cast<quint8>(message.hopCount & ~readsErasFlag);
    }
    const bool isMagicKnown = namesEra || receivedMagic == magicWithoutEra;
    requireWire(stream, isMagicKnown && message.kind >= StreamMessageKind::Opening && message.kind <= StreamMessageKind::TargetEnded);
    if (namesFlow(message.kind)) {
        stream >> message.flow;
    }
    if (message.kind == StreamMessageKind::NotHeld) {
        readWireBool(stream, message.isUnsettled);
        readWireBool(stream, message.knowsAllTargets);
        readWireBool(stream, message.isUncertain);
    }
    if (carriesLoad(message.kind)) {
        readLoad(stream, message.load);
    }
    if (namesAddress(message.kind)) {
        stream >> message.targetAddress;
    }
    if (message.kind == StreamMessageKind::RouteHistory) {
        readHistory(stream, message);
    }
    if (message.kind == StreamMessageKind::Probe) {
        readWireBool(stream, message.isServiceAllowed);
    }
    if (carriesSegment(message.kind)) {
        readCandidates(stream, message.candidates);
        message.packet = QByteArray(datagram.data() + stream.device()->pos(), datagram.size() - stream.device()->pos());
        requireWire(stream, !message.packet.isEmpty());
    } else {
        requireWire(stream, stream.atEnd());
    }
    return stream.status() == QDataStream::Ok ? std::optional(std::move(message)) : std::nullopt;
}

}
