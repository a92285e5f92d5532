#include "caller/answerassembler.h"

#include "core/assertion.h"

namespace Rattanpick
{

AnswerAssembler::AnswerAssembler(quint64 nonce, quint64 number)
    : m_nonce(nonce)
    , m_number(number)
{
}

AnswerAssembler::Result AnswerAssembler::add(const AnswerPart &part)
{
    if (part.nonce != m_nonce || part.number != m_number) {
        return Result::Foreign;
    }
    if (part.parts == 0 || part.parts > AnswerPart::maximumParts || part.part >= part.parts) {
        return Result::Inconsistent;
    }
    if (!m_parts.empty() && m_parts.size() != part.parts) {
        return Result::Inconsistent;
    }
    const quint64 bit = quint64{1} << part.part;
    if ((m_received & bit) != 0) {
        return m_parts[part.part] == part.body ? Result::Repeated : Result::Inconsistent;
    }
    m_parts.resize(part.parts);
    m_parts[part.part] = part.body;
    m_received |= bit;
    return isComplete() ? Result::Completed : Result::Added;
}

bool AnswerAssembler::isComplete() const
{
    return !m_parts.empty() && m_received == fullMask(static_cast<quint16>(m_parts.size()));
}

std::optional<QByteArray> AnswerAssembler::body() const
{
    if (!isComplete()) {
        return std::nullopt;
    }
    QByteArray whole;
    for (const QByteArray &part : m_parts) {
        whole += part;
    }
    return whole;
}

quint64 AnswerAssembler::fullMask(quint16 parts)
{
    RP_ASSERT(parts >= 1 && parts <= AnswerPart::maximumParts);
    return ~quint64{0} >> (AnswerPart::maximumParts - parts);
}

}
