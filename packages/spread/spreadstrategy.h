#pragma once

#include "configservice/readerelection.h"
#include "spread/configurationstore.h"
#include "spread/instancesnapshot.h"
#include "spread/spreadnodesettings.h"

#include <memory>

namespace Rattanpick
{

/// Decides whether a node reads and watches the platform, given the instance list.
using ReadRule = bool (*)(const InstanceList &instances, const SpreadNodeSettings &settings);

/// The production rule: only the elected readers of each data centre.
bool electedNodesRead(const InstanceList &instances, const SpreadNodeSettings &settings);

/// Baseline for measurements: every node reads the platform.
bool everyNodeReads(const InstanceList &instances, const SpreadNodeSettings &settings);

/// The mechanisms of a SpreadNode that tests and measurements can replace.
struct SpreadStrategy
{
    DocumentParser parser{};
    AcceptanceRule accepts = acceptsHigherVersion;
    ReadRule reads = electedNodesRead;
    /// Whether the node sends notices to peers and pulls from them; false is the baseline without peer distribution.
    bool usesPeers = true;
    std::shared_ptr<InstanceSnapshotFactory> snapshots = std::make_shared<InstanceSnapshotFactory>();
};

}
