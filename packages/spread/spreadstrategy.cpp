#include "spread/spreadstrategy.h"

namespace Rattanpick
{

bool electedNodesRead(const InstanceList &instances, const SpreadNodeSettings &settings)
{
    return ReaderElection(settings.readersPerDataCentre).isReader(instances, settings.dataCentre, settings.name);
}

bool everyNodeReads(const InstanceList &, const SpreadNodeSettings &)
{
    return true;
}

}
