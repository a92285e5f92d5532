#pragma once

#include "core/flowkey.h"
#include "stream/targetdirectory.h"

#include <vector>

namespace Rattanpick
{

/// Chooses targets for openings that balancers send by an outdated configuration.
///
/// A new version may take the service of all candidates off the route. The caller of such an opening is served by the services
/// that the route uses now.
namespace OpeningRedirection
{

/// At most @p limit targets that may take the flow by the active routes, those in the data centre first; empty if the route
/// does not exist.
std::vector<TargetId> candidates(const TargetDirectory &directory, const QString &dataCentre, const FlowKey &flow, std::size_t limit);

}

}
