#pragma once

#include "core/finding.h"
#include "operators/daemonsettings.h"

#include <QByteArray>
#include <QString>

#include <optional>

namespace Rattanpick
{

/// Parses and validates the settings file of a daemon, which has one section [daemon].
class DaemonSettingsReader
{
public:
    /// Creates a reader; @p file is the file name in its findings.
    explicit DaemonSettingsReader(const QString &file);

    /// Returns the settings, or nothing if the file is invalid; findings() then lists all errors.
    std::optional<DaemonSettings> read(const QByteArray &text);

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
