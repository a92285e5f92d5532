#include "operators/iniheading.h"

#include <QRegularExpression>

namespace Rattanpick
{

QString IniHeading::title() const
{
    return name.isEmpty() ? kind : kind + QLatin1Char(' ') + name;
}

bool IniHeading::isName(const QString &text)
{
    static const QRegularExpression name(QStringLiteral(R"(\A[A-Za-z0-9][A-Za-z0-9._-]{0,62}\z)"));
    return name.match(text).hasMatch();
}

bool IniHeading::isHeadingLine(QByteArrayView trimmedLine)
{
    return trimmedLine.startsWith('[');
}

std::optional<IniHeading> IniHeading::fromLine(QByteArrayView trimmedLine)
{
    // Names are used in log lines, URLs of the admin interface and on the command line, so they are restricted to
    // characters that need no quoting.
    static const QRegularExpression heading(
        QStringLiteral(R"(\A\[\s*([A-Za-z][A-Za-z-]{0,31})(?:\s+([A-Za-z0-9][A-Za-z0-9._-]{0,62}))?\s*\]\s*(?:[;#].*)?\z)"));
    if (!isHeadingLine(trimmedLine)) {
        return std::nullopt;
    }
    const QRegularExpressionMatch match = heading.match(QString::fromUtf8(trimmedLine));
    if (!match.hasMatch()) {
        return std::nullopt;
    }
    return IniHeading{match.captured(1), match.captured(2)};
}

}
