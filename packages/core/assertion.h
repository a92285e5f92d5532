#pragma once

namespace Rattanpick
{

/// Prints the failed condition with its source location and aborts. Called by RP_ASSERT only.
[[noreturn]] void assertionFailed(const char *condition, const char *file, int line);

}

/// Checks an invariant in every build type: a process with inconsistent state must not continue to forward packets.
#define RP_ASSERT(condition) ((condition) ? static_cast<void>(0) : ::Rattanpick::assertionFailed(#condition, __FILE__, __LINE__))
