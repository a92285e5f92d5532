#pragma once

#include <QString>

#include "operators/daemonsettings.h"

namespace Rattanpick
{

/// What a process that forwards byte-stream flows is started with.
struct StreamDaemonOptions
{
    /// An INI file for the role.
    QString settingsFile;
    DaemonRole role = DaemonRole::Balancer;
    /// Check the settings and stop.
    bool isCheckOnly = false;
};

/// Runs a process that forwards byte-stream flows on the platform until SIGTERM or SIGINT; the exit code of the process.
int runStreamDaemon(const StreamDaemonOptions &options);

}
