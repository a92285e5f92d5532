#include "configservice/readerelection.h"

#include "core/assertion.h"
#include "core/identifiers.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Rattanpick
{

ReaderElection::ReaderElection(int readersPerDataCentre)
    : m_readersPerDataCentre(readersPerDataCentre)
{
    RP_ASSERT(readersPerDataCentre > 0);
}

QStringList ReaderElection::readers(const InstanceList &instances, const QString &dataCentre) const
{
    const quint64 dataCentreHash = hashBytes(dataCentre.toUtf8());
    std::vector<std::pair<quint64, const Instance *>> best;
    const auto isBetter = [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second->name < b.second->name;
    };
    for (const Instance &instance : instances) {
        if (instance.isLeaving || instance.dataCentre != dataCentre) {
            continue;
        }
        const std::pair candidate{hashPair(dataCentreHash, hashBytes(instance.name.toUtf8())), &instance};
        best.insert(std::ranges::upper_bound(best, candidate, isBetter), candidate);
        if (std::ssize(best) > m_readersPerDataCentre) {
            best.pop_back();
        }
    }

    QStringList names;
    for (const auto &[hash, instance] : best) {
        names.append(instance->name);
    }
    return names;
}

bool ReaderElection::isReader(const InstanceList &instances, const QString &dataCentre, const QString &name) const
{
    return readers(instances, dataCentre).contains(name);
}

}
