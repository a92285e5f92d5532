#pragma once

#include "caller/callermessage.h"

#include <QByteArray>

#include <map>
#include <optional>

namespace Rattanpick::Proof
{

/// Baseline: assembles answers by part number alone and ignores the request that a part belongs to.
class NaiveAssembler
{
public:
    /// Adds a part; returns the answer if the part was the last missing one.
    std::optional<QByteArray> add(const AnswerPart &part);

private:
    std::map<quint16, QByteArray> m_parts;
};

}
