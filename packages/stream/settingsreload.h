#pragma once

#include "core/finding.h"
#include "stream/streamprocesssettings.h"

#include <QByteArray>
#include <QString>
#include <QStringList>

#include <optional>

namespace Rattanpick
{

/// The effect of a changed settings file on a running process.
struct ReloadedSettings
{
    /// The settings in force from now on; members that need a restart keep their old values.
    StreamProcessSettings settings;
    /// Names of the values that were applied.
    QStringList applied;
    /// Names of the values that need a restart.
    QStringList pendingRestart;

    bool operator==(const ReloadedSettings &) const = default;
};

/// Compares a settings file with the settings in force. A file with findings changes nothing.
class SettingsReload
{
public:
    /// Builds a comparison for a process that runs with the settings, which were read from @p text of @p file.
    SettingsReload(const QString &file, const StreamProcessSettings &settings, const QByteArray &text);

    /// Evaluates the text of the file; nothing if it has not changed since the latest call, or if it has findings.
    std::optional<ReloadedSettings> offer(const QByteArray &text);

    /// The findings of the latest offer() that had any.
    const Findings &findings() const
    {
        return m_findings;
    }

private:
    QString m_file;
    StreamProcessSettings m_settings;
    QByteArray m_text;
    Findings m_findings;
};

}
