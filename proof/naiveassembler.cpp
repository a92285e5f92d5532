#include "proof/naiveassembler.h"

namespace Rattanpick::Proof
{

std::optional<QByteArray> NaiveAssembler::add(const AnswerPart &part)
{
    m_parts[part.part] = part.body;
    if (m_parts.size() < part.parts) {
        return std::nullopt;
    }
    QByteArray answer;
    for (const auto &[place, body] : m_parts) {
        answer += body;
    }
    m_parts.clear();
    return answer;
}

}
