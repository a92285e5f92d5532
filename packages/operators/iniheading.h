#pragma once

#include <QByteArrayView>
#include <QString>

#include <optional>

namespace Rattanpick
{

/// The heading of a section: "[KIND]" or "[KIND NAME]".
struct IniHeading
{
    QString kind;
    /// Empty if the heading has none.
    QString name;

    bool operator==(const IniHeading &) const = default;

    /// "KIND" or "KIND NAME", with single spaces.
    QString title() const;

    /// Whether the text has the form of a NAME: at most 63 letters, digits, '.', '_' and '-'.
    static bool isName(const QString &text);

    /// Whether the trimmed line opens a heading, well formed or not.
    static bool isHeadingLine(QByteArrayView trimmedLine);

    /// Parses a trimmed line; nothing if it is no well formed heading.
    static std::optional<IniHeading> fromLine(QByteArrayView trimmedLine);
};

}
