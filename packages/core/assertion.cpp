#include "core/assertion.h"

#include <cstdio>
#include <cstdlib>

namespace Rattanpick
{

void assertionFailed(const char *condition, const char *file, int line)
{
    std::fprintf(stderr, "%s:%d: invariant broken: %s\n", file, line, condition);
    std::abort();
}

}
