#pragma once

#include <caller/callermessagecodec.h>

#include <rapidcheck.h>

namespace Rattanpick
{

inline rc::Gen<QByteArray> genBytes(qsizetype maximumSize)
{
    return rc::gen::mapcat(rc::gen::weightedElement<int>({{6, 40}, {1, static_cast<int>(maximumSize)}}), [](int limit) {
        return rc::gen::map(
            rc::gen::mapcat(rc::gen::inRange(0, limit + 1), [](int size) { return rc::gen::container<std::string>(size, rc::gen::arbitrary<char>()); }),
            [](const std::string &text) { return QByteArray::fromStdString(text); });
    });
}

/// An arbitrary valid message.
inline CallerMessage anyMessage()
{
    const auto id = [] {
        return *rc::gen::nonZero<quint64>();
    };
    const auto reason = [] {
        return static_cast<RefusalReason>(*rc::gen::inRange<int>(0, 15));
    };
    const quint64 nonce = id();
    switch (*rc::gen::inRange<int>(0, std::variant_size_v<CallerMessage>)) {
    case 0:
        return Open{nonce};
    case 1:
        return Opened{nonce, Incarnation{id()}};
    case 2:
        return Data{nonce, id(), *genBytes(maximumDataPayloadSize)};
    case 3:
        return DataAck{nonce, id()};
    case 4:
        return Request{nonce,
                       id(),
                       *rc::gen::arbitrary<bool>(),
                       *rc::gen::arbitrary<quint32>(),
                       Incarnation{*rc::gen::arbitrary<quint64>()},
                       *genBytes(maximumRequestBodySize)};
    case 5: {
        const auto parts = static_cast<quint16>(*rc::gen::inRange(1, AnswerPart::maximumParts + 1));
        return AnswerPart{nonce, id(), static_cast<quint16>(*rc::gen::inRange<int>(0, parts)), parts, *genBytes(maximumAnswerBodySize)};
    }
    case 6:
        return AnswerAck{nonce, id(), *rc::gen::arbitrary<quint64>()};
    case 7:
        return Cancel{nonce, id()};
    case 8:
        return Refused{nonce, *rc::gen::arbitrary<quint64>(), reason(), static_cast<Outcome>(*rc::gen::inRange(1, 4))};
    case 9:
        return Close{nonce};
    case 10:
        return Closed{nonce};
    case 11:
        return Reset{nonce, reason()};
    case 12:
        return Rebound{nonce, Incarnation{id()}};
    default:
        return KeepAlive{nonce};
    }
}

}
