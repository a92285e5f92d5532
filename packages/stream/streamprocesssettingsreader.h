#pragma once

#include "core/finding.h"
#include "stream/streamprocesssettings.h"

#include <QByteArray>
#include <QString>

#include <optional>

namespace Rattanpick
{

/// Reads the settings file of a process that forwards byte-stream flows and checks it as a whole.
class StreamProcessSettingsReader
{
public:
    /// Builds a reader that names @p file in its findings.
    explicit StreamProcessSettingsReader(const QString &file);

    /// The settings, or nothing; then findings() tells everything that is wrong.
    std::optional<StreamProcessSettings> read(const QByteArray &text);

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
