#include <stream/directorywatcher.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

namespace
{

const TimePoint start = TimePoint{} + 1h;

SourceAnswer read(quint64 revision, std::size_t changes = 0)
{
    return {SourceResult::Read, revision, std::vector<DirectoryChange>(changes, TargetUnlisted{}), {}};
}

}

// Guards against a watch before the first full read, and against one that starts at a revision other than that of the
// read.
TEST(DirectoryWatcherTest, ReadsOnceThenWatches)
{
    DirectoryWatcher watcher(DirectoryWatcherSettings{});
    watcher.setReader(true);
    EXPECT_EQ(watcher.next(start).kind, SourceCall::Kind::ReadAll);
    watcher.onAnswer(start, read(41, 3));
    EXPECT_EQ(watcher.next(start + 100ms).kind, SourceCall::Kind::Wait);
    const SourceCall call = watcher.next(start + 400ms);
    EXPECT_EQ(call.kind, SourceCall::Kind::Watch);
    EXPECT_EQ(call.after, 41);
    watcher.onAnswer(start + 26s, read(41));
    EXPECT_EQ(watcher.next(start + 26s).kind, SourceCall::Kind::Watch);
}

// Guards against lost changes when the source has compacted its history.
TEST(DirectoryWatcherTest, HistoryCompactionLeadsToAFullRead)
{
    DirectoryWatcher watcher(DirectoryWatcherSettings{});
    watcher.setReader(true);
    watcher.onAnswer(start, read(41));
    watcher.onAnswer(start + 1s, {SourceResult::HistoryCompacted, 0, {}, {}});
    EXPECT_EQ(watcher.next(start + 1s).kind, SourceCall::Kind::ReadAll);
}

// Guards against a request storm on a source that fails, and against a backoff that continues after its recovery.
TEST(DirectoryWatcherTest, BacksOffWhileTheSourceFails)
{
    DirectoryWatcher watcher(DirectoryWatcherSettings{});
    watcher.setReader(true);
    TimePoint now = start;
    int calls = 0;
    while (now < start + 10s) {
        const SourceCall call = watcher.next(now);
        if (call.kind == SourceCall::Kind::Wait) {
            EXPECT_LE(call.time - now, DirectoryWatcherSettings{}.maximumBackoff);
            now = call.time;
            continue;
        }
        ++calls;
        now += 1ms;
        watcher.onAnswer(now, {SourceResult::Failed, 0, {}, QStringLiteral("HTTP status 503")});
        EXPECT_FALSE(watcher.isAvailable());
    }
    EXPECT_LE(calls, 60);
    watcher.onAnswer(now, read(50));
    EXPECT_TRUE(watcher.isAvailable());
    EXPECT_EQ(watcher.next(now).kind, SourceCall::Kind::Watch);
}

// Guards against a watch from an older revision after an outdated read.
TEST(DirectoryWatcherTest, RevisionNeverFalls)
{
    DirectoryWatcher watcher(DirectoryWatcherSettings{});
    watcher.setReader(true);
    watcher.onAnswer(start, read(41));
    watcher.requestFullRead();
    EXPECT_EQ(watcher.next(start).kind, SourceCall::Kind::ReadAll);
    watcher.onAnswer(start, read(39));
    EXPECT_EQ(watcher.next(start).after, 41);
}

// Guards against a watch in every process: only readers watch, the others pull from peers that have a newer revision.
TEST(DirectoryWatcherTest, NonReadersWaitForUpdates)
{
    DirectoryWatcher watcher(DirectoryWatcherSettings{});
    watcher.onAnswer(start, read(41));
    EXPECT_EQ(watcher.next(start + 10s).kind, SourceCall::Kind::Wait);
    const Endpoint peer{0x0a010001, 7721};
    watcher.requestPull(peer);
    const SourceCall call = watcher.next(start + 10s);
    EXPECT_EQ(call.kind, SourceCall::Kind::Pull);
    EXPECT_EQ(call.peer, peer);
    EXPECT_EQ(call.after, 41);
    watcher.onPulled(start + 10s, 44);
    EXPECT_EQ(watcher.next(start + 10s).kind, SourceCall::Kind::Wait);
}

// Guards against a reader that the source turns away and that waits for it before it asks a peer, and against one that gives up the source
// after that.
TEST(DirectoryWatcherTest, PullsGoBeforeTheSource)
{
    DirectoryWatcher watcher(DirectoryWatcherSettings{});
    watcher.setReader(true);
    watcher.onAnswer(start, read(41));
    watcher.onAnswer(start + 1s, {SourceResult::Failed, 0, {}, {}});
    watcher.requestFullRead();
    watcher.requestPull({0x0a010001, 7721});
    EXPECT_EQ(watcher.next(start + 1s).kind, SourceCall::Kind::Pull);
    watcher.onPulled(start + 1s, 44);
    EXPECT_EQ(watcher.next(start + 3s).kind, SourceCall::Kind::ReadAll);
}

// Guards against an update that is lost because the peer that announced it is gone.
TEST(DirectoryWatcherTest, FailedPullLeadsToAFullRead)
{
    DirectoryWatcher watcher(DirectoryWatcherSettings{});
    watcher.onAnswer(start, read(41));
    watcher.requestPull({0x0a010001, 7721});
    watcher.onPulled(start + 10s, std::nullopt);
    EXPECT_EQ(watcher.next(start + 10s).kind, SourceCall::Kind::ReadAll);
}

// Guards against a process that cannot start while the source is unavailable although its peers have the directory.
TEST(DirectoryWatcherTest, SeedsAreQueriedWhileTheFirstReadFails)
{
    DirectoryWatcher watcher(DirectoryWatcherSettings{});
    const QList<Endpoint> seeds{{1, 1}, {2, 2}};
    watcher.setSeeds(seeds);
    // A store that does not respond must not delay a restarted process for seconds.
    EXPECT_LE(watcher.next(start).deadline, start + 500ms);
    for (const Endpoint &seed : {seeds.at(0), seeds.at(1), seeds.at(0)}) {
        watcher.onAnswer(start, {SourceResult::Failed, 0, {}, {}});
        const SourceCall call = watcher.next(start);
        EXPECT_EQ(call.kind, SourceCall::Kind::Pull);
        EXPECT_EQ(call.peer, seed);
        watcher.onPulled(start, std::nullopt);
    }
}
