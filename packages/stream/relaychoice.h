#pragma once

#include "core/flowkey.h"
#include "stream/targetdirectory.h"

#include <functional>

namespace Rattanpick
{

/// Chooses the agent that passes a packet on if the balancer and the agent of the target cannot reach each other.
///
/// Load: two data centres are cut off from each other while a third one reaches both. The flows between them would stand still
/// until the cut ends or their callers give up.
namespace RelayChoice
{

/// An agent in a data centre that is in service and is neither that of the balancer nor that of the target; null if there is none
/// or @p target is not in the directory. The flow decides among several. @p isSilent: whether an agent's target is suspected.
const TargetDirectory::Entry *
choose(const TargetDirectory &directory, const QString &dataCentre, TargetId target, const FlowKey &flow, const std::function<bool(TargetId)> &isSilent);

}

}
