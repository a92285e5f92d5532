#pragma once

#include <QByteArrayView>
#include <QString>

#include <optional>

namespace Rattanpick
{

/// The heading of an INI section: "[KIND]" or "[KIND NAME]".
struct IniHeading
{
    QString kind;
    /// The name, or empty if the heading has none.
    QString name;

    bool operator==(const IniHeading &) const = default;

    /// The title "KIND" or "KIND NAME", with a single space.
    QString title() const;

    /// Whether the text is a valid NAME: at most 63 letters, digits, '.', '_' and '-', starting with a letter or digit.
    static bool isName(const QString &text);

    /// Whether the trimmed line is a heading, which may be malformed.
    static bool isHeadingLine(QByteArrayView trimmedLine);

    /// Parses a trimmed line. Returns nothing if it is not a well-formed heading.
    static std::optional<IniHeading> fromLine(QByteArrayView trimmedLine);
};

}
