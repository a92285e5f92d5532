#pragma once

#include "core/finding.h"
#include "operators/inisection.h"

#include <QByteArray>
#include <QList>
#include <QString>

namespace Rattanpick
{

/// Splits an INI text into sections; serves the document and the settings files.
///
/// Lines are "[KIND]", "[KIND NAME]", "KEY = VALUE", blank, or comments after "#" or ";". A comment after a value
/// starts with " ;". Findings are lines that do not parse, and sections and keys that occur twice.
class IniReader
{
public:
    /// Builds a reader that names @p file in its findings.
    explicit IniReader(const QString &file);

    /// The sections of the text in its order; of sections or keys that occur twice, the first.
    QList<IniSection> read(const QByteArray &text);

    /// All findings of the latest read(), in the order of their lines.
    const Findings &findings() const
    {
        return m_findings;
    }

private:
    QString m_file;
    Findings m_findings;
};

/// The text with "\r\n" and "\r" replaced by "\n".
QByteArray withNormalisedLineEnds(const QByteArray &text);

}
