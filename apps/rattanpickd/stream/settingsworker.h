#pragma once

#include "rattanpickd/stream/streamcontext.h"

#include "stream/settingsreload.h"

namespace Rattanpick
{

/// Looks at the settings file, once a second and when the process is told to, and takes over what has changed.
class SettingsWorker
{
public:
    /// Builds the duty for the file, whose text at the start was @p text; the context must outlive it.
    SettingsWorker(StreamContext &context, const QString &file, const QByteArray &text);

    /// Works until the context ends.
    void run();

private:
    void look();

    StreamContext &m_context;
    const QString m_file;
    SettingsReload m_reload;
};

}
