#include "stream/directorychange.h"

namespace Rattanpick
{

DirectoryPosition positionOf(const DirectoryChange &change)
{
    return std::visit(
        [](const auto &part) -> DirectoryPosition {
            if constexpr (requires { part.position; }) {
                return part.position;
            } else {
                return {};
            }
        },
        change);
}

}
