#pragma once

#include <QString>

#include "operators/daemonsettings.h"

namespace Rattanpick
{

/// Runs a process that forwards byte-stream flows on the platform until SIGTERM or SIGINT; the exit code of the process.
///
/// @p settingsFile is an INI file for the role.
int runStreamDaemon(const QString &settingsFile, DaemonRole role);

}
