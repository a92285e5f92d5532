#pragma once

#include "operators/daemonsettings.h"

#include <QByteArray>

namespace Rattanpick
{

/// Runs a daemon until its graceful stop after SIGTERM or SIGINT; returns the exit code of the process.
///
/// @p startDocument, if not empty, is used until the platform or a peer delivers a later document.
int runDaemon(const DaemonSettings &settings, const QByteArray &startDocument);

}
