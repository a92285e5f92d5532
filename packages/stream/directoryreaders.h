#pragma once

#include "stream/targetdirectory.h"

#include <vector>

namespace Rattanpick
{

/// Elects the agents that watch the directory source on behalf of the others. The directory alone determines the
/// result.
namespace DirectoryReaders
{

/// Readers in each data centre. One is enough: while it is down, the other processes verify their position themselves.
inline constexpr int readersPerDataCentre = 1;

/// Endpoints of the agents that are readers of the data centre.
std::vector<Endpoint> ofDataCentre(const TargetDirectory &directory, const QString &dataCentre);

/// Endpoints of the readers of all data centres, those of @p firstDataCentre first.
std::vector<Endpoint> ofAll(const TargetDirectory &directory, const QString &firstDataCentre);

/// Endpoints to query for the directory position: the readers of the data centre and one other agent, picked by @p
/// choice.
std::vector<Endpoint> peersToQuery(const TargetDirectory &directory, const QString &dataCentre, quint64 choice);

}

}
