#pragma once

#include "core/event.h"

namespace Rattanpick
{

/// The output stream for log lines.
enum class LogStream : quint8 {
    StandardOutput,
    StandardError,
};

/// Writes all log lines of at least @p level to the stream. Call once at program start.
///
/// Event lines are plain JSON, so that a saved log can be read as an event file. Other lines start with time, level
/// and logger.
void setUpLogging(EventLevel level, LogStream stream = LogStream::StandardOutput);

/// Sets the minimum level of written lines.
void setLogLevel(EventLevel level);

}
