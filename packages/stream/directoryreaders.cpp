#include "stream/directoryreaders.h"

#include "configservice/readerelection.h"

#include <algorithm>
#include <set>

namespace Rattanpick::DirectoryReaders
{

namespace
{

InstanceList agentsOf(const TargetDirectory &directory)
{
    InstanceList agents;
    for (const auto &[id, entry] : directory.entries()) {
        if (!entry.isPresent()) {
            continue;
        }
        agents.append({entry.target.name, InstanceRole::Agent, entry.target.dataCentre, entry.agent, {}, id, entry.target.isDraining});
    }
    return agents;
}

void appendReaders(const InstanceList &agents, const QString &dataCentre, std::vector<Endpoint> &readers)
{
    const QStringList names = ReaderElection(readersPerDataCentre).readers(agents, dataCentre);
    for (const Instance &agent : agents) {
        if (names.contains(agent.name)) {
            readers.push_back(agent.tunnel);
        }
    }
}

}

std::vector<Endpoint> ofDataCentre(const TargetDirectory &directory, const QString &dataCentre)
{
    std::vector<Endpoint> readers;
    appendReaders(agentsOf(directory), dataCentre, readers);
    return readers;
}

std::vector<Endpoint> ofAll(const TargetDirectory &directory, const QString &firstDataCentre)
{
    const InstanceList agents = agentsOf(directory);
    std::set<QString> others;
    for (const Instance &agent : agents) {
        others.insert(agent.dataCentre);
    }
    others.erase(firstDataCentre);
    std::vector<Endpoint> readers;
    appendReaders(agents, firstDataCentre, readers);
    for (const QString &dataCentre : others) {
        appendReaders(agents, dataCentre, readers);
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
