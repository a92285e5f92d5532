#pragma once

#include "core/finding.h"
#include "stream/streamprocesssettings.h"

#include <QByteArray>
#include <QString>

#include <optional>

namespace Rattanpick
{

/// Reads the settings file of a process that forwards byte-stream flows and validates it as a whole.
class StreamProcessSettingsReader
{
public:
    /// Builds a reader that reports @p file in its findings.
    explicit StreamProcessSettingsReader(const QString &file);

    /// Returns the settings, or nothing; then findings() has all errors.
    std::optional<StreamProcessSettings> read(const QByteArray &text);

    /// All findings of the latest read(), ordered by line.
    const Findings &findings() const
    {
        return m_findings;
    }

private:
    QString m_file;
    Findings m_findings;
};

}
