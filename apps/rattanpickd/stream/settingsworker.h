#pragma once

#include "rattanpickd/stream/streamcontext.h"

#include "stream/settingsreload.h"

namespace Rattanpick
{

/// Checks the settings file once a second and on SIGHUP, and applies changed settings.
class SettingsWorker
{
public:
    /// @p text is the content of @p file at the start of the process; @p context must outlive the worker.
    SettingsWorker(StreamContext &context, const QString &file, const QByteArray &text);

    /// Works until the context ends.
    void run();

private:
    void checkFile();

    StreamContext &m_context;
    const QString m_file;
    SettingsReload m_reload;
};

}
