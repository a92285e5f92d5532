#pragma once

#include "caller/callermessage.h"

#include <QByteArray>

#include <map>
#include <optional>

namespace Rattanpick::Proof
{

/// Baseline: puts parts of answers together by their place alone, whatever request they answer.
class NaiveAssembler
{
public:
    /// The answer if the part was the last missing one.
    std::optional<QByteArray> add(const AnswerPart &part);

private:
    std::map<quint16, QByteArray> m_parts;
};

}
