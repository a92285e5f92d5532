#pragma once

#include "core/finding.h"
#include "stream/streamprocesssettings.h"

#include <QByteArray>
#include <QString>
#include <QStringList>

#include <optional>

namespace Rattanpick
{

/// What a changed settings file means to a running process.
struct ReloadedSettings
{
    /// The settings in force from now on; members that need a restart keep their earlier values.
    StreamProcessSettings settings;
    /// Names of the values that were taken over.
    QStringList applied;
    /// Names of the values that need a restart.
    QStringList pendingRestart;

    bool operator==(const ReloadedSettings &) const = default;
};

/// Compares a settings file with what is in force. A file with findings changes nothing.
class SettingsReload
{
public:
    /// Builds a comparison for a process with the settings, read from @p text of @p file.
    SettingsReload(const QString &file, const StreamProcessSettings &settings, const QByteArray &text);

    /// What a file's text means; nothing if it has not changed since the latest call, or if it has findings.
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
