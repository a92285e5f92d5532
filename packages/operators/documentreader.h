#pragma once

#include "core/finding.h"
#include "operators/configuration.h"

#include <QByteArray>
#include <QString>

namespace Rattanpick
{

/// Reads the operators' document and checks it as a whole.
///
/// The result depends on the text alone. The same code serves the daemons and `rattanpickctl check`.
class DocumentReader
{
public:
    /// Builds a reader that names @p file in its findings.
    explicit DocumentReader(const QString &file);

    /// The configuration of the document, or null; then findings() tells everything that is wrong.
    ConfigurationPointer read(const QByteArray &text);

    /// All findings of the latest read(), in the order of their lines.
    const Findings &findings() const
    {
        return m_findings;
    }

private:
    QString m_file;
    Findings m_findings;
};

}
