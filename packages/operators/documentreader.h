#pragma once

#include "core/finding.h"
#include "operators/configuration.h"

#include <QByteArray>
#include <QString>

namespace Rattanpick
{

/// Parses and validates the operators' document.
///
/// The result depends only on the text. The daemons and `rattanpickctl check` use the same code.
class DocumentReader
{
public:
    /// Creates a reader; @p file is the file name in its findings.
    explicit DocumentReader(const QString &file);

    /// Returns the configuration, or null if the document is invalid; findings() then lists all errors.
    ConfigurationPointer read(const QByteArray &text);

    /// All findings of the last read(), ordered by line.
    const Findings &findings() const
    {
        return m_findings;
    }

private:
    QString m_file;
    Findings m_findings;
};

}
