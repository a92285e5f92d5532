#include "stream/directorysource.h"

#include <array>

namespace Rattanpick
{

const char *eraProblemName(EraProblem problem)
{
    static constexpr std::array<const char *, static_cast<std::size_t>(EraProblem::Count)> names{"none", "missing", "malformed", "outdated", "implausible"};
    return names.at(static_cast<std::size_t>(problem));
}

}
