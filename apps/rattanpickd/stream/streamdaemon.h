#pragma once

#include <QString>

#include "operators/daemonsettings.h"
#include "stream/streamagentsettings.h"

namespace Rattanpick
{

/// Start options of a process that forwards byte-stream flows.
struct StreamDaemonOptions
{
    /// INI file with the settings of the role.
    QString settingsFile;
    DaemonRole role = DaemonRole::Balancer;
    /// Check the settings and exit.
    bool isCheckOnly = false;
    /// Adjusts the settings of an agent; test programs use it to replace a mechanism by a baseline.
    void (*adjustAgent)(StreamAgentSettings &settings) = nullptr;
};

/// Runs a process that forwards byte-stream flows on the platform until SIGTERM or SIGINT; returns its exit code.
int runStreamDaemon(const StreamDaemonOptions &options);

}
