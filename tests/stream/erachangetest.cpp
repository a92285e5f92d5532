#include "streamtestdata.h"

#include <stream/directoryimage.h>
#include <stream/directorywatcher.h>
#include <stream/freshnessmonitor.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

const QString dataCentre = QStringLiteral("dc1");

/// A source whose state may be replaced by a copy of an earlier one.
class ModelSource
{
public:
    ModelSource()
    {
        write(routesKey, RoutesPublished{0, routes(1)});
        for (int index = 0; index < 6; ++index) {
            write(target(index).name, TargetListed{0, target(index)});
        }
    }

    void write(const QString &key, DirectoryChange change)
    {
        ++m_position.revision;
        std::visit(
            [this](auto &part) {
                if constexpr (requires { part.position; }) {
                    part.position = m_position;
                }
            },
            change);
        m_items[key] = change;
        m_events.push_back(change);
        m_copies.emplace_back(m_position, m_items);
    }

    void publish(quint64 version)
    {
        write(routesKey, RoutesPublished{0, routes(version)});
    }

    void drain(int index)
    {
        write(target(index).name, TargetListed{0, target(index, 1, true)});
    }

    void switchDataCentre(bool isOut)
    {
        write(dataCentre, DataCentreSwitched{0, dataCentre, isOut});
    }

    /// Takes the copy from before the latest writes, in a new era.
    void restore(std::size_t lostWrites)
    {
        const auto [position, items] = m_copies.at(m_copies.size() - 1 - lostWrites);
        m_copies.resize(m_copies.size() - lostWrites);
        m_events.resize(m_events.size() - lostWrites);
        m_items = items;
        m_position = {m_position.era + 1, position.revision};
    }

    SourceAnswer readAll() const
    {
        SourceAnswer answer{SourceResult::Read, m_position, {}, {}};
        FullReadCompleted completed{m_position, {}, {}, true};
        for (auto [key, change] : m_items) {
            inEra(change);
            if (const auto *listed = std::get_if<TargetListed>(&change)) {
                completed.targets.insert(listed->target.name);
            } else if (const auto *switched = std::get_if<DataCentreSwitched>(&change)) {
                if (!switched->isOut) {
                    continue;
                }
                completed.dataCentresOut.insert(switched->name);
            }
            answer.changes.push_back(change);
        }
        answer.changes.emplace_back(completed);
        return answer;
    }

    /// Nothing while there is no event.
    std::optional<SourceAnswer> watch(const DirectoryPosition &after) const
    {
        if (after.revision > m_position.revision) {
            return SourceAnswer{SourceResult::HistoryCompacted, m_position, {}, {}};
        }
        SourceAnswer answer{SourceResult::Read, m_position, {}, {}};
        for (DirectoryChange change : m_events) {
            if (positionOf(change).revision > after.revision) {
                inEra(change);
                answer.changes.push_back(change);
            }
        }
        return answer.changes.empty() ? std::nullopt : std::optional(answer);
    }

    const DirectoryPosition &position() const
    {
        return m_position;
    }

    bool isUp = true;

private:
    static inline const QString routesKey = QStringLiteral("routes");

    /// All answers name the present era, also for what was written in earlier ones.
    void inEra(DirectoryChange &change) const
    {
        std::visit(
            [this](auto &part) {
                if constexpr (requires { part.position; }) {
                    part.position.era = m_position.era;
                }
            },
            change);
    }

    DirectoryPosition m_position{1, 0};
    std::map<QString, DirectoryChange> m_items;
    std::vector<DirectoryChange> m_events;
    std::vector<std::pair<DirectoryPosition, std::map<QString, DirectoryChange>>> m_copies;
};

/// A process without its threads: what its directory consists of.
struct Follower
{
    explicit Follower(quint64 seed, bool isReader)
        : watcher(DirectoryWatcherSettings{.seed = seed})
        , monitor(FreshnessMonitorSettings{.seed = seed}, start)
    {
        watcher.setReader(isReader);
        monitor.setReader(isReader);
        monitor.setIsolated(false);
    }

    DirectoryWatcher watcher;
    FreshnessMonitor monitor;
    DirectoryImage image;
    TargetDirectory directory{{.agentPort = agentPort}};
};

/// Processes that follow one source; the first three are readers.
class Fleet
{
public:
    Fleet(std::size_t size, quint64 seed)
        : m_random(seed)
    {
        for (std::size_t index = 0; index < size; ++index) {
            m_followers.emplace_back(seed * size + index, index < 3);
        }
    }

    /// Plays the time; the source cannot be read by the process at @p cutOff.
    void play(Duration time, std::optional<std::size_t> cutOff = std::nullopt)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += 10ms) {
            for (std::size_t index = 0; index < m_followers.size(); ++index) {
                step(m_followers[index], source.isUp && index != cutOff);
            }
        }
    }

    std::size_t countIf(const std::function<bool(const TargetDirectory &)> &predicate) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_followers, [&predicate](const Follower &follower) { return predicate(follower.directory); }));
    }

    /// The processes that serve the present configuration, send no flows to the drained target nor to the data centre that is out.
    std::size_t countCurrent(quint64 version) const
    {
        return countIf([version](const TargetDirectory &directory) {
            return directory.routes()->version() == version && !accepts(directory, 0) && !accepts(directory, 1) && accepts(directory, 2);
        });
    }

    static bool accepts(const TargetDirectory &directory, int index)
    {
        const TargetDirectory::Entry *entry = directory.findAt(targetAddress(index));
        return entry != nullptr && directory.acceptsFlows(*entry);
    }

    TimePoint now() const
    {
        return m_now;
    }

    ModelSource source;

private:
    void step(Follower &follower, bool isServed)
    {
        const SourceCall call = follower.watcher.next(m_now);
        if (call.kind == SourceCall::Kind::Pull) {
            const DirectoryBatch batch = m_followers.at(call.peer.address).image.since(call.after);
            const bool isAccepted = follower.watcher.accepts(batch.position);
            follower.watcher.onPulled(m_now, isAccepted ? std::optional(batch.position) : std::nullopt);
            if (isAccepted) {
                apply(follower, batch);
            }
        } else if (call.kind != SourceCall::Kind::Wait) {
            std::optional<SourceAnswer> answer = SourceAnswer{};
            if (isServed) {
                answer = call.kind == SourceCall::Kind::ReadAll ? source.readAll() : source.watch(call.after);
            }
            if (answer) {
                answer->result = follower.watcher.resultOf(call, *answer);
                follower.watcher.onAnswer(m_now, *answer);
                if (answer->result == SourceResult::Read) {
                    apply(follower, {answer->position, answer->changes, true});
                }
            }
        }
        follower.directory.onTick(m_now);
        if (follower.monitor.takeDueVerification(m_now)) {
            isServed ? follower.monitor.onVerified(m_now, m_now, source.position()) : follower.monitor.onVerificationFailed(m_now);
        }
        if (follower.monitor.takeDueFetch(m_now)) {
            if (!follower.monitor.updateSource().isNull()) {
                follower.watcher.requestPull(follower.monitor.updateSource());
            }
            if (follower.monitor.needsFullRead()) {
                follower.watcher.requestFullRead();
            }
        }
        // Each process hears of one random peer in each step.
        const std::size_t sender = std::uniform_int_distribution<std::size_t>(0, m_followers.size() - 1)(m_random);
        const FreshnessMonitor &peer = m_followers[sender].monitor;
        follower.monitor.onPeerPosition(m_now, {static_cast<quint32>(sender), agentPort}, peer.position(), peer.reportedVerification(m_now));
    }

    void apply(Follower &follower, const DirectoryBatch &batch)
    {
        follower.image.apply(batch);
        follower.monitor.onPosition(m_now, batch.position, batch.isFromSource);
        for (const DirectoryChange &change : batch.changes) {
            follower.directory.apply(m_now, change);
        }
    }

    std::mt19937_64 m_random;
    TimePoint m_now = start;
    std::deque<Follower> m_followers;
};

}

// Guards against processes that take a source restored from an older copy for an earlier state of the one that they know: they kept the
// routes, drains and data centres from before until the source had given out more revisions than before. The source may be
// restored twice within seconds, and one reader may be turned away.
RC_GTEST_PROP(EraChangeTest, AllProcessesFollowARestoredSource, ())
{
    constexpr std::size_t size = 14;
    Fleet fleet(size, *rc::gen::arbitrary<quint64>());
    ModelSource &source = fleet.source;
    fleet.play(3s);
    // Takes data centre 1 out of service, to which target 1 belongs, drains target 0 and publishes versions, in any order.
    quint64 version = 1;
    std::vector<int> writes{0, 1, 2, 2, 2, 2};
    std::ranges::shuffle(writes, std::mt19937_64(*rc::gen::arbitrary<quint64>()));
    for (const int write : writes) {
        write == 0 ? source.drain(0) : write == 1 ? source.switchDataCentre(true) : source.publish(++version);
        fleet.play(300ms);
    }
    fleet.play(2s);
    RC_ASSERT(fleet.countCurrent(version) == size);
    const int returns = *rc::gen::inRange(1, 3);
    const auto cutOff = *rc::gen::element(std::optional<std::size_t>(), std::optional<std::size_t>(0));
    for (int number = 0; number < returns; ++number) {
        source.isUp = false;
        fleet.play(std::chrono::milliseconds(*rc::gen::inRange(10, 1500)));
        source.restore(*rc::gen::inRange<std::size_t>(1, 7));
        source.isUp = true;
        fleet.play(std::chrono::milliseconds(*rc::gen::inRange(0, 900)), cutOff);
        source.publish(version);
        source.drain(0);
        source.switchDataCentre(true);
        // What was in force before the return stays so, as the writers have written it again in time.
        RC_ASSERT(fleet.countCurrent(version) == size);
        fleet.play(std::chrono::milliseconds(*rc::gen::inRange(0, 3000)), cutOff);
        RC_ASSERT(fleet.countCurrent(version) == size);
    }
    fleet.play(2500ms, cutOff);
    // Changes after the return are followed, also while their revisions are lower than those before.
    source.publish(++version);
    source.switchDataCentre(false);
    source.drain(2);
    fleet.play(2500ms, cutOff);
    RC_ASSERT(fleet.countIf([version](const TargetDirectory &directory) {
        return directory.routes()->version() == version && !Fleet::accepts(directory, 0) && Fleet::accepts(directory, 1) && !Fleet::accepts(directory, 2);
    }) == size);
}

// Guards against orders of an operator that stay in force after a restoration although nobody has written them again, and against
// targets that stay listed although they are gone.
TEST(EraChangeTest, WhatNobodyWritesAgainIsDropped)
{
    Fleet fleet(5, 1);
    fleet.play(1s);
    fleet.source.switchDataCentre(true);
    fleet.source.write(target(8).name, TargetListed{0, target(8)});
    fleet.play(2s);
    EXPECT_EQ(fleet.countIf([](const TargetDirectory &directory) { return directory.isOut(dataCentre) && Fleet::accepts(directory, 8); }), 5);
    fleet.source.restore(2);
    fleet.play(1500ms);
    EXPECT_EQ(fleet.countIf([](const TargetDirectory &directory) { return directory.isOut(dataCentre) && Fleet::accepts(directory, 8); }), 5);
    fleet.play(4s);
    EXPECT_EQ(fleet.countIf([](const TargetDirectory &directory) { return directory.isOut(dataCentre) || Fleet::accepts(directory, 8); }), 0);
}

// Guards against a process that follows an answer, a peer or a message of an earlier era back to it.
TEST(EraChangeTest, EarlierErasOverruleNothing)
{
    DirectoryWatcher watcher(DirectoryWatcherSettings{});
    watcher.onAnswer(start, {SourceResult::Read, {3, 10}, {}, {}});
    EXPECT_EQ(watcher.resultOf(watcher.next(start), {SourceResult::Read, {2, 99}, {}, {}}), SourceResult::Failed);
    EXPECT_FALSE(watcher.accepts({2, 99}));
    EXPECT_FALSE(watcher.accepts(99));
    DirectoryImage image;
    image.apply({{3, 10}, {TargetListed{{3, 9}, target(1)}}, true});
    image.apply({{2, 99}, {TargetUnlisted{{2, 98}, target(1).name}, TargetListed{{2, 99}, target(2)}}, false});
    EXPECT_EQ(image.since({3, 8}).changes.size(), 1);
    FreshnessMonitor monitor(FreshnessMonitorSettings{}, start);
    monitor.onPosition(start, {3, 10}, true);
    monitor.onPeerPosition(start, {1, 1}, {2, 99}, {});
    monitor.onPeerPosition(start, {1, 1}, 99, {});
    EXPECT_FALSE(monitor.takeDueFetch(start + 1s));
    monitor.onPeerPosition(start, {1, 1}, {4, 2}, {});
    EXPECT_TRUE(monitor.takeDueFetch(start + 1s));
}

// Guards against a gap in the history of routes that goes unnoticed: versions may have come and gone with the era.
TEST(EraChangeTest, RouteHistoryBeginsAnew)
{
    TargetDirectory directory({.routeHistory = {.isInitialStart = true}});
    directory.apply(start, RoutesPublished{{1, 5}, routes(1)});
    directory.apply(start, FullReadCompleted{{1, 5}, {}, {}});
    EXPECT_TRUE(directory.routeHistory().isComplete(start + 1s));
    directory.apply(start + 1s, FullReadCompleted{{2, 4}, {}, {}});
    EXPECT_FALSE(directory.routeHistory().isComplete(start + 1s));
}
