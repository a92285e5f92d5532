#pragma once

#include "core/finding.h"
#include "operators/daemonsettings.h"

#include <QByteArray>
#include <QString>

#include <optional>

namespace Rattanpick
{

/// Reads the settings file of a daemon, one section [daemon], and checks it as a whole.
class DaemonSettingsReader
{
public:
    /// Builds a reader that names @p file in its findings.
    explicit DaemonSettingsReader(const QString &file);

    /// The settings, or nothing; then findings() tells everything that is wrong.
    std::optional<DaemonSettings> read(const QByteArray &text);

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
