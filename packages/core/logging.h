#pragma once

#include "core/event.h"

namespace Rattanpick
{

/// Where log lines go.
enum class LogStream : quint8 {
    StandardOutput,
    StandardError,
};

/// Sends all log lines of at least @p level to the stream; call once at the start of a program.
///
/// Lines of events are plain JSON, so that a saved log can be read as a file of events; other lines start with
/// time, level and logger.
void setUpLogging(EventLevel level, LogStream stream = LogStream::StandardOutput);

/// Changes the level from which on lines are written.
void setLogLevel(EventLevel level);

}
