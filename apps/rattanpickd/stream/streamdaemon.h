#pragma once

#include <QString>

#include "operators/daemonsettings.h"
#include "stream/streamagentsettings.h"

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
    /// Changes what an agent is built with; a proof replaces one of its mechanisms by the baseline.
    void (*adjustAgent)(StreamAgentSettings &settings) = nullptr;
};

/// Runs a process that forwards byte-stream flows on the platform until SIGTERM or SIGINT; the exit code of the process.
int runStreamDaemon(const StreamDaemonOptions &options);

}
