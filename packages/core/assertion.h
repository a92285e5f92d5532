#pragma once

namespace Rattanpick
{

/// Prints the broken invariant with its place and aborts. Used by RP_ASSERT only.
[[noreturn]] void assertionFailed(const char *condition, const char *file, int line);

}

/// Checks an invariant in every build type; a process that broke one must not go on forwarding.
#define RP_ASSERT(condition) ((condition) ? static_cast<void>(0) : ::Rattanpick::assertionFailed(#condition, __FILE__, __LINE__))
