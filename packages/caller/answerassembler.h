#pragma once

#include "caller/callermessage.h"

#include <QByteArray>

#include <optional>
#include <vector>

namespace Rattanpick
{

/// Puts the answer to one request together from parts that come in any order, repeated or late.
class AnswerAssembler
{
public:
    /// What became of a part.
    enum class Result : quint8 {
        /// The part is new; others are missing.
        Added,
        /// The part is new and was the last one missing.
        Completed,
        /// The part has come before.
        Repeated,
        /// The part belongs to another flow or request.
        Foreign,
        /// The part contradicts those that came before, or itself.
        Inconsistent,
    };

    /// Builds an assembler for the answer to one request of one flow.
    AnswerAssembler(quint64 nonce, quint64 number);

    /// Takes a part; only new parts of this answer change anything.
    Result add(const AnswerPart &part);

    /// Bit i is set if part i has come.
    quint64 receivedMask() const
    {
        return m_received;
    }

    /// Whether every part has come.
    bool isComplete() const;

    /// The whole answer; nothing while parts are missing.
    std::optional<QByteArray> body() const;

    /// The mask that acknowledges an answer of @p parts parts (1 to 64) as a whole.
    static quint64 fullMask(quint16 parts);

private:
    quint64 m_nonce;
    quint64 m_number;
    quint64 m_received = 0;
    std::vector<QByteArray> m_parts;
};

}
