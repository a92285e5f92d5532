#include "streamtestdata.h"

#include <stream/directoryimage.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

/// The content of a directory for comparison: names of listed targets, whether dc1 is out, version of the routes.
struct DirectoryState
{
    std::vector<QString> targets;
    bool isOut = false;
    quint64 version = 0;

    bool operator==(const DirectoryState &) const = default;
};

DirectoryState stateOf(const TargetDirectory &directory)
{
    DirectoryState state;
    for (const auto &[id, entry] : directory.entries()) {
        if (entry.listing == TargetDirectory::Listing::Listed) {
            state.targets.push_back(entry.target.name);
        }
    }
    state.isOut = directory.isOut(QStringLiteral("dc1"));
    state.version = directory.routes() != nullptr ? directory.routes()->version() : 0;
    return state;
}

/// A change of a random kind. Each target has one name only, so that entries are listed and removed again.
DirectoryChange randomChange(quint64 revision)
{
    const int index = *rc::gen::inRange(0, 6);
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        return TargetListed{revision, target(index, 1, *rc::gen::arbitrary<bool>())};
    case 1:
        return TargetUnlisted{revision, target(index).name};
    case 2:
        return DataCentreSwitched{revision, QStringLiteral("dc1"), *rc::gen::arbitrary<bool>()};
    default:
        return RoutesPublished{revision, routes(revision)};
    }
}

DirectoryBatch readingBatch(quint64 revision)
{
    DirectoryBatch batch{revision, reading({target(1), target(2)}, revision), true};
    std::erase_if(batch.changes, [](const DirectoryChange &change) { return std::holds_alternative<SourceSwitched>(change); });
    return batch;
}

}

// Guards against a peer that misses a removal or a change, whatever its revision was at the time of the pull.
RC_GTEST_PROP(DirectoryImageTest, PullingPeersReachTheSameState, ())
{
    DirectoryImage image;
    TargetDirectory own({.agentPort = agentPort});
    TargetDirectory peer({.agentPort = agentPort});
    DirectoryPosition peerPosition;
    const auto applyAll = [](TargetDirectory &directory, const DirectoryBatch &batch) {
        for (const DirectoryChange &change : batch.changes) {
            directory.apply(start, change);
        }
    };
    const DirectoryBatch first = readingBatch(10);
    image.apply(first);
    applyAll(own, first);
    const int steps = *rc::gen::inRange(1, 30);
    for (int step = 0; step < steps; ++step) {
        const auto revision = static_cast<quint64>(11 + step);
        const DirectoryBatch batch{revision, {randomChange(revision)}, true};
        image.apply(batch);
        applyAll(own, batch);
        if (*rc::gen::inRange(0, 3) == 0) {
            const std::optional<DirectoryBatch> pulled = decodeDirectoryBatch(start, encodeDirectoryBatch(start, image.since(peerPosition)));
            RC_ASSERT(pulled.has_value());
            peerPosition = pulled->position;
            applyAll(peer, *pulled);
            RC_ASSERT(stateOf(peer) == stateOf(own));
        }
    }
}

// Guards against a peer that keeps entries which were removed before the first full read of this process.
TEST(DirectoryImageTest, PeersFromBeforeTheFirstReadGetEverything)
{
    DirectoryImage image;
    image.apply(readingBatch(100));
    const DirectoryBatch batch = image.since(50);
    EXPECT_TRUE(std::holds_alternative<FullReadCompleted>(batch.changes.back()));
    EXPECT_TRUE(image.since(100).changes.empty());
}

// Guards against a target that stays cold for ever, or is not cold at all, at a peer: remaining times are sent, not
// points in time.
TEST(DirectoryImageTest, RemainingColdTimeIsSent)
{
    StreamTarget cold = target(1);
    cold.coldDeadline = start + 2s;
    const std::optional<DirectoryBatch> batch = decodeDirectoryBatch(start + 100s, encodeDirectoryBatch(start + 500ms, {7, {TargetListed{7, cold}}, false}));
    ASSERT_TRUE(batch);
    EXPECT_EQ(std::get<TargetListed>(batch->changes.front()).target.coldDeadline, start + 100s + 1500ms);
}

// Guards against a crash or invented changes when a batch is truncated.
RC_GTEST_PROP(DirectoryImageTest, TruncatedBatchesAreRefused, ())
{
    DirectoryImage image;
    image.apply(readingBatch(100));
    const QByteArray bytes = encodeDirectoryBatch(start, image.since(0));
    const qsizetype length = *rc::gen::inRange<qsizetype>(0, bytes.size());
    RC_ASSERT(!decodeDirectoryBatch(start, QByteArrayView(bytes).first(length)).has_value());
}

// Guards against images that processes of the earlier version cannot read, and against routes that stay without objectives.
TEST(DirectoryImageTest, ObjectivesAreSentToThoseWhoAskAndTakenOverLater)
{
    const auto table = std::make_shared<const RouteTable>(1, std::vector<Route>{{route, {{service, 1}}, 2, 500ms, 200ms}}, std::vector<StreamService>{}, 15s);
    TargetDirectory directory({.agentPort = agentPort});
    // The earlier format is read first and last: it neither prevents objectives nor removes them.
    for (const auto &[magic, objective] : {std::pair{0x52504402U, 0ms}, std::pair{0x52504403U, 200ms}, std::pair{0x52504402U, 200ms}}) {
        const QByteArray bytes = encodeDirectoryBatch(start, {7, {RoutesPublished{7, table}}, false}, DirectoryFormat{magic});
        directory.apply(start, decodeDirectoryBatch(start, bytes).value().changes.front());
        EXPECT_EQ(directory.routes()->findRoute(route)->objective, objective);
        EXPECT_EQ(directory.routes()->findRoute(route)->timeout, 500ms);
    }
}
