#pragma once

#include <chrono>

namespace Rattanpick
{

/// The monotonic clock; decisions never read it, they are given the time.
using Clock = std::chrono::steady_clock;

/// A point in monotonic time, in nanoseconds; the form in which deadlines are stored.
using TimePoint = Clock::time_point;

/// A span of time, in nanoseconds; used in settings and to compute deadlines.
using Duration = Clock::duration;

using namespace std::chrono_literals;

}
