#include "stream/routehistoryqueries.h"

#include "stream/directoryreaders.h"
#include "stream/streammessagecodec.h"

#include <algorithm>
#include <limits>

namespace Rattanpick
{

RouteHistoryQueries::RouteHistoryQueries(const StreamAgentSettings &settings, TargetDirectory &directory)
    : m_settings(settings)
    , m_directory(directory)
{
}

void RouteHistoryQueries::onRoutes(TimePoint now)
{
    const RouteTablePointer &routes = m_directory.routes();
    if (routes == nullptr || !m_directory.isComplete() || (m_version == routes->version() && m_era == m_directory.era())) {
        return;
    }
    m_version = routes->version();
    m_era = m_directory.era();
    m_attempts = 0;
    m_deadline = m_directory.routeHistory().isComplete(now) ? TimePoint::max() : now;
}

std::optional<Endpoint> RouteHistoryQueries::takeReceiver(TimePoint now)
{
    if (now < m_deadline) {
        return std::nullopt;
    }
    if (m_directory.routeHistory().isComplete(now)) {
        m_deadline = TimePoint::max();
        return std::nullopt;
    }
    const std::vector<Endpoint> peers = receivers();
    const std::size_t attempt = m_attempts++;
    m_deadline = now + (m_attempts < m_settings.historyQueryAttempts ? m_settings.historyQueryInterval : m_settings.historyQueryLateInterval);
    m_parts.clear();
    return peers.empty() ? std::nullopt : std::optional(peers.at(attempt % peers.size()));
}

std::vector<Endpoint> RouteHistoryQueries::receivers() const
{
    // Readers see every version while the source serves them. The reader of the own data centre may have skipped the same versions,
    // then those of the others are asked, and then all other agents; processes begin with different ones.
    std::vector<Endpoint> peers = DirectoryReaders::ofAll(m_directory, m_settings.dataCentre);
    std::vector<Endpoint> others;
    for (const auto &[id, entry] : m_directory.entries()) {
        if (entry.isPresent() && std::ranges::find(peers, entry.agent) == peers.end()) {
            others.push_back(entry.agent);
        }
    }
    if (!others.empty()) {
        std::rotate(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(m_settings.endpoint.address % others.size()), others.end());
    }
    peers.insert(peers.end(), others.begin(), others.end());
    std::erase(peers, m_settings.endpoint);
    return peers;
}

void RouteHistoryQueries::onAnswer(TimePoint now, const StreamMessage &answer)
{
    if (!m_version) {
        return;
    }
    RouteHistory &history = m_directory.routeHistory();
    history.merge(now, answer.formerServices);
    // What an earlier version allows may have become former since, and versions of an earlier era may have been lost unseen.
    const bool isOutdated = answer.configurationVersion < *m_version || answer.directoryPosition.era < m_era;
    if (isOutdated || ++m_parts[answer.sender] < answer.partCount) {
        return;
    }
    history.onMerged(now - std::chrono::milliseconds(answer.followedMilliseconds));
    if (history.isComplete(now)) {
        m_deadline = TimePoint::max();
    }
}

QString RouteHistoryQueries::describeQuery(TimePoint now, const Endpoint &peer) const
{
    const auto followed = std::chrono::duration_cast<std::chrono::milliseconds>(m_directory.routeHistory().followedFor(now));
    return QStringLiteral("peer=%1 version=%2 followed-ms=%3").arg(peer.toString()).arg(*m_version).arg(followed.count());
}

QString RouteHistoryQueries::describeAnswer(TimePoint now, const StreamMessage &answer) const
{
    return QStringLiteral("peer=%1 version=%2 followed-ms=%3 former-services=%4 complete=%5")
        .arg(answer.sender.toString())
        .arg(answer.configurationVersion)
        .arg(answer.followedMilliseconds)
        .arg(answer.formerServices.size())
        .arg(m_directory.routeHistory().isComplete(now) ? 1 : 0);
}

std::vector<StreamMessage> RouteHistoryQueries::parts(TimePoint now, const RouteHistory &history, const StreamMessage &answer)
{
    const std::vector<FormerServiceReport> reports = history.reports(now);
    const auto followed = std::chrono::duration_cast<std::chrono::milliseconds>(history.followedFor(now)).count();
    std::vector<StreamMessage> parts;
    const std::size_t count = std::max<std::size_t>(1, (reports.size() + maximumFormerServices - 1) / maximumFormerServices);
    for (std::size_t index = 0; index < count; ++index) {
        const auto begin = reports.begin() + static_cast<std::ptrdiff_t>(index * maximumFormerServices);
        const auto end = reports.begin() + static_cast<std::ptrdiff_t>(std::min(reports.size(), (index + 1) * maximumFormerServices));
        StreamMessage part = answer;
        part.formerServices.assign(begin, end);
        part.partCount = static_cast<quint16>(count);
        part.followedMilliseconds = static_cast<quint32>(std::min<qint64>(followed, std::numeric_limits<quint32>::max()));
        parts.push_back(std::move(part));
    }
    return parts;
}

}
