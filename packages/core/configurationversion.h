#pragma once

#include <QString>
#include <QtGlobal>

#include <compare>

namespace Rattanpick
{

/// The version of an accepted document: ordered by the number in the document, then by the digest of its text.
///
/// The digest makes the order total, so that all nodes choose the same document when two different
/// documents carry the same number.
struct ConfigurationVersion
{
    quint64 number = 0;
    quint64 digest = 0;

    auto operator<=>(const ConfigurationVersion &) const = default;

    /// Formats the version as number and hexadecimal digest, such as "17/0123456789abcdef".
    QString toString() const
    {
        return QStringLiteral("%1/%2").arg(number).arg(digest, 16, 16, QLatin1Char('0'));
    }
};

}
