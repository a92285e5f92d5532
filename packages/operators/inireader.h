#pragma once

#include "core/finding.h"
#include "operators/inisection.h"

#include <QByteArray>
#include <QList>
#include <QString>

namespace Rattanpick
{

/// Parses INI text into sections. Used for the document and for settings files.
///
/// A line is "[KIND]", "[KIND NAME]", "KEY = VALUE", blank, or a comment that starts with "#" or ";". A comment after a
/// value starts with " ;". Lines that do not parse and duplicate sections and keys are reported as findings.
class IniReader
{
public:
    /// Creates a reader; @p file is the file name in its findings.
    explicit IniReader(const QString &file);

    /// The sections in the order of the text. Of duplicate sections or keys, only the first is returned.
    QList<IniSection> read(const QByteArray &text);

    /// All findings of the last read(), ordered by line.
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
