#pragma once

#include <QString>
#include <QtGlobal>

#include <compare>

namespace Rattanpick
{

/// Orders accepted documents: by the number in the document, then by the digest of its text.
///
/// The digest makes the order total, so that two different documents with one number
/// lead every node to the same choice.
struct ConfigurationVersion
{
    quint64 number = 0;
    quint64 digest = 0;

    auto operator<=>(const ConfigurationVersion &) const = default;

    /// "17/0123456789abcdef".
    QString toString() const
    {
        return QStringLiteral("%1/%2").arg(number).arg(digest, 16, 16, QLatin1Char('0'));
    }
};

}
