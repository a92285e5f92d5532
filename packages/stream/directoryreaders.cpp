#include "stream/directoryreaders.h"

#include "configservice/readerelection.h"

#include <algorithm>

namespace Rattanpick::DirectoryReaders
{

std::vector<Endpoint> ofDataCentre(const TargetDirectory &directory, const QString &dataCentre)
{
    InstanceList agents;
    for (const auto &[id, entry] : directory.entries()) {
        if (!entry.isPresent()) {
            continue;
        }
        agents.append({entry.target.name, InstanceRole::Agent, entry.target.dataCentre, entry.agent, {}, id, entry.target.isDraining});
    }
    const QStringList names = ReaderElection(readersPerDataCentre).readers(agents, dataCentre);
    std::vector<Endpoint> readers;
    for (const Instance &agent : agents) {
        if (names.contains(agent.name)) {
            readers.push_back(agent.tunnel);
        }
    }
    return readers;
}

std::vector<Endpoint> peersToQuery(const TargetDirectory &directory, const QString &dataCentre, quint64 choice)
{
    std::vector<Endpoint> peers = ofDataCentre(directory, dataCentre);
    std::vector<Endpoint> others;
    for (const auto &[id, entry] : directory.entries()) {
        if (entry.isPresent() && std::ranges::find(peers, entry.agent) == peers.end()) {
            others.push_back(entry.agent);
        }
    }
    if (!others.empty()) {
        peers.push_back(others.at(choice % others.size()));
    }
    return peers;
}

}
