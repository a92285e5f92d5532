#pragma once

#include <chrono>

namespace Rattanpick
{

/// The monotonic clock. Decision code never reads it but receives the current time as an argument.
using Clock = std::chrono::steady_clock;

/// A point in monotonic time, in nanoseconds. Deadlines are stored in this form.
using TimePoint = Clock::time_point;

/// A time span in nanoseconds, used in settings and to compute deadlines.
using Duration = Clock::duration;

using namespace std::chrono_literals;

}
