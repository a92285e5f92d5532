#pragma once

#include "stream/streamagentsettings.h"
#include "stream/streammessage.h"
#include "stream/targetdirectory.h"

#include <optional>
#include <unordered_map>

namespace Rattanpick
{

/// Decides when an agent asks which peer for the former services of the routes.
///
/// An agent does not see the versions from before its start, nor those that were replaced before it read them. It asks until its
/// record is complete; a missing answer or an expired time-out does not make it complete.
class RouteHistoryQueries
{
public:
    /// Builds an object without a query; both references must outlive it.
    RouteHistoryQueries(const StreamAgentSettings &settings, TargetDirectory &directory);

    /// The routes or a full read of the directory have been applied.
    void onRoutes(TimePoint now);

    /// The peer to query now, if a query is due.
    std::optional<Endpoint> takeReceiver(TimePoint now);

    /// Takes over the part of an answer.
    void onAnswer(TimePoint now, const StreamMessage &answer);

    /// The messages of an answer, each made from @p answer. They tell for how long the record of this process is continuous.
    static std::vector<StreamMessage> parts(TimePoint now, const RouteHistory &history, const StreamMessage &answer);

    /// The query to the peer, for logs.
    QString describeQuery(TimePoint now, const Endpoint &peer) const;

    /// The answer and what it has led to, for logs.
    QString describeAnswer(TimePoint now, const StreamMessage &answer) const;

    /// When the next query is due.
    TimePoint nextDeadline() const
    {
        return m_deadline;
    }

private:
    /// The peers in the order in which they are asked.
    std::vector<Endpoint> receivers() const;

    const StreamAgentSettings &m_settings;
    TargetDirectory &m_directory;
    std::optional<quint64> m_version;
    /// Era of the directory in which that version was read.
    quint64 m_era = 0;
    /// Queries since the version came into force.
    std::size_t m_attempts = 0;
    TimePoint m_deadline = TimePoint::max();
    /// Parts that each peer has sent since it was queried.
    std::unordered_map<Endpoint, quint16> m_parts;
};

}
