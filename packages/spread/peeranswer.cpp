#include "spread/peeranswer.h"

#include "core/identifiers.h"

#include <QDataStream>
#include <QIODevice>

namespace Rattanpick
{

namespace
{

/// First bytes of an answer; the last two hex digits are the format version, which rises with each change.
constexpr quint32 magic = 0x52505301;

}

QByteArray PeerAnswer::toBytes() const
{
    QByteArray bytes;
    QDataStream stream(&bytes, QIODevice::WriteOnly);
    stream.setVersion(QDataStream::Qt_6_4);
    stream << magic << static_cast<quint8>(kind) << from.number << from.digest << to.number << to.digest << body << instances;
    stream << hashBytes(bytes);
    return bytes;
}

std::optional<PeerAnswer> PeerAnswer::fromBytes(const QByteArray &bytes)
{
    QDataStream stream(bytes);
    stream.setVersion(QDataStream::Qt_6_4);
    PeerAnswer answer;
    quint32 receivedMagic = 0;
    quint8 kind = 0;
    stream >> receivedMagic >> kind >> answer.from.number >> answer.from.digest >> answer.to.number >> answer.to.digest;
    stream >> answer.body >> answer.instances;
    quint64 digest = 0;
    stream >> digest;
    if (stream.status() != QDataStream::Ok || !stream.atEnd() || receivedMagic != magic || kind > static_cast<quint8>(PeerAnswerKind::Whole)) {
        return std::nullopt;
    }
    if (digest != hashBytes(QByteArrayView(bytes).chopped(sizeof(digest)))) {
        return std::nullopt;
    }
    answer.kind = static_cast<PeerAnswerKind>(kind);
    return answer;
}

}
