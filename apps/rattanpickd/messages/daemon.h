#pragma once

#include "operators/daemonsettings.h"

#include <QByteArray>

namespace Rattanpick
{

/// Runs a daemon until SIGTERM or SIGINT and its graceful stop; the exit code of the process.
///
/// @p startDocument, if not empty, is taken as the document until the platform or a peer gives a later one.
int runDaemon(const DaemonSettings &settings, const QByteArray &startDocument);

}
