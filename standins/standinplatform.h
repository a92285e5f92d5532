#pragma once

#include <QStringList>

/// Runs the stand-in for the platform until SIGINT or SIGTERM. @p arguments excludes the program name. Returns the exit
/// status.
int runPlatformStandin(const QStringList &arguments);
