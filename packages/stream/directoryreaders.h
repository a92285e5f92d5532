#pragma once

#include "stream/targetdirectory.h"

#include <vector>

namespace Rattanpick
{

/// Chooses the agents that watch the directory source for the others, from the directory alone.
namespace DirectoryReaders
{

/// Agents that watch the source in each data centre. One is enough: while it is away, the others verify by themselves.
inline constexpr int readersPerDataCentre = 1;

/// The agents of the readers of the data centre.
std::vector<Endpoint> ofDataCentre(const TargetDirectory &directory, const QString &dataCentre);

/// The agents to ask how fresh the directory is: the readers of the data centre, and an agent elsewhere by @p choice.
std::vector<Endpoint> toAsk(const TargetDirectory &directory, const QString &dataCentre, quint64 choice);

}

}
