#pragma once

#include "caller/callermessage.h"

#include <QByteArray>

#include <optional>
#include <vector>

namespace Rattanpick
{

/// Reassembles the answer to one request from parts that arrive in any order, repeated or late.
class AnswerAssembler
{
public:
    /// Result of adding a part.
    enum class Result : quint8 {
        /// The part is new; other parts are still missing.
        Added,
        /// The part is new and was the last missing one.
        Completed,
        /// The part has arrived before, with the same content.
        Repeated,
        /// The part belongs to another flow or request.
        Foreign,
        /// The part has an invalid number, or contradicts the parts that arrived before.
        Inconsistent,
    };

    /// Creates an assembler for the answer to request @p number of the flow with @p nonce.
    AnswerAssembler(quint64 nonce, quint64 number);

    /// Adds a part. Only the results Added and Completed change the assembler.
    Result add(const AnswerPart &part);

    /// Bit i is set if part i has arrived.
    quint64 receivedMask() const
    {
        return m_received;
    }

    /// Whether every part has arrived.
    bool isComplete() const;

    /// The complete answer; nothing while parts are missing.
    std::optional<QByteArray> body() const;

    /// The mask that acknowledges all parts of an answer of @p parts parts (1 to 64).
    static quint64 fullMask(quint16 parts);

private:
    quint64 m_nonce;
    quint64 m_number;
    quint64 m_received = 0;
    std::vector<QByteArray> m_parts;
};

}
