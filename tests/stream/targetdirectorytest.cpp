#include "streamtestdata.h"

#include <stream/targetdirectory.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <numeric>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

TargetDirectory directoryWith(const std::vector<DirectoryChange> &changes, TimePoint now = start)
{
    TargetDirectory directory({.agentPort = agentPort});
    for (const DirectoryChange &change : changes) {
        directory.apply(now, change);
    }
    return directory;
}

std::vector<QString> presentNames(const TargetDirectory &directory)
{
    std::vector<QString> names;
    for (const auto &[id, entry] : directory.entries()) {
        if (entry.isPresent()) {
            names.push_back(entry.target.name);
        }
    }
    std::ranges::sort(names);
    return names;
}

}

// Guards against two present targets at one address when an old entry is read after the new one: lookups then waited
// for an agent that answered under its new name.
RC_GTEST_PROP(TargetDirectoryTest, OneTargetForEachAddressInAnyOrder, ())
{
    std::vector<DirectoryChange> listings;
    std::vector<QString> latest;
    const int addresses = *rc::gen::inRange(1, 4);
    quint64 revision = 0;
    for (int index = 0; index < addresses; ++index) {
        const int incarnations = *rc::gen::inRange(1, 4);
        for (int incarnationNumber = 1; incarnationNumber <= incarnations; ++incarnationNumber) {
            listings.emplace_back(TargetListed{++revision, target(index, incarnationNumber)});
        }
        latest.push_back(target(index, incarnations).name);
    }
    const std::vector<quint32> order = *rc::gen::container<std::vector<quint32>>(listings.size(), rc::gen::arbitrary<quint32>());
    std::vector<std::size_t> indices(listings.size());
    std::iota(indices.begin(), indices.end(), 0);
    std::ranges::sort(indices, {}, [&order](std::size_t index) { return std::pair(order[index], index); });
    std::vector<DirectoryChange> shuffled;
    shuffled.reserve(indices.size());
    for (const std::size_t index : indices) {
        shuffled.push_back(listings[index]);
    }
    std::ranges::sort(latest);
    RC_ASSERT(presentNames(directoryWith(shuffled)) == latest);
}

// Guards against a live target that is hidden by an entry of another writer with its address, whose service no
// configuration names.
TEST(TargetDirectoryTest, EntriesOfUnnamedServicesHideNoTarget)
{
    StreamTarget foreign = target(1, 7);
    foreign.service = serviceIdOf("exporter");
    TargetDirectory directory = directoryWith(reading({target(1), target(2)}));
    directory.apply(start, TargetListed{200, foreign});
    EXPECT_EQ(presentNames(directory), (std::vector{target(1).name, target(2).name}));
    EXPECT_EQ(directory.findAt(targetAddress(1))->target.name, target(1).name);
    // The same if the entry is read before the configuration.
    TargetDirectory early({.agentPort = agentPort});
    early.apply(start, TargetListed{200, foreign});
    for (const DirectoryChange &change : reading({target(1), target(2)})) {
        early.apply(start, change);
    }
    EXPECT_EQ(early.findAt(targetAddress(1))->target.name, target(1).name);
}

// Guards against two targets at the address of a target that has ended and is used again, and against an address without
// a target because the later entry was taken back.
TEST(TargetDirectoryTest, LatestUsableEntryNamesTheTargetAtAnAddress)
{
    TargetDirectory directory = directoryWith(reading({target(1)}));
    directory.apply(start, TargetListed{200, target(1, 2)});
    EXPECT_EQ(presentNames(directory), std::vector{target(1, 2).name});
    directory.apply(start + 1s, TargetUnlisted{201, target(1, 2).name});
    directory.onTick(start + 4s);
    EXPECT_EQ(presentNames(directory), std::vector{target(1).name});
    directory.apply(start + 5s, TargetUnlisted{202, target(1).name});
    directory.onTick(start + 8s);
    EXPECT_TRUE(presentNames(directory).empty());
}

// Guards against a state of the directory that depends on the order in which entries, removals and configurations arrive.
// Judged against a plain model: the latest change of a name and the latest configuration count, and at each address the
// listing with the highest revision whose service is named.
RC_GTEST_PROP(TargetDirectoryTest, OrderOfChangesMakesNoDifference, ())
{
    const std::array<ServiceId, 3> services{service, serviceIdOf("records"), serviceIdOf("exporter")};
    std::vector<DirectoryChange> changes;
    const int count = *rc::gen::inRange(1, 12);
    for (int number = 1; number <= count; ++number) {
        const auto revision = static_cast<quint64>(number);
        StreamTarget item = target(*rc::gen::inRange(0, 2), *rc::gen::inRange(1, 4));
        // A name is used at one address and for one service.
        item.service = services.at(static_cast<quint64>(item.id) % services.size());
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            changes.emplace_back(TargetUnlisted{revision, item.name});
            break;
        case 1: {
            std::vector<Route> list{{route, {{services.at(*rc::gen::inRange<std::size_t>(0, 3)), 1}}}};
            changes.emplace_back(RoutesPublished{revision, std::make_shared<const RouteTable>(revision, list, std::vector<StreamService>{}, 15s)});
            break;
        }
        default:
            changes.emplace_back(TargetListed{revision, item});
            break;
        }
    }
    // The model, in the order of revisions.
    std::map<QString, std::optional<TargetListed>> latest;
    RouteTablePointer latestRoutes;
    for (const DirectoryChange &change : changes) {
        if (const auto *listed = std::get_if<TargetListed>(&change)) {
            latest[listed->target.name] = *listed;
        } else if (const auto *unlisted = std::get_if<TargetUnlisted>(&change)) {
            latest[unlisted->name] = std::nullopt;
        } else if (const auto *published = std::get_if<RoutesPublished>(&change)) {
            latestRoutes = published->routes;
        }
    }
    std::map<Endpoint, TargetListed> holders;
    for (const auto &[name, listed] : latest) {
        if (!listed || (latestRoutes != nullptr && !latestRoutes->names(listed->target.service))) {
            continue;
        }
        const auto [holder, isNew] = holders.try_emplace(listed->target.address, *listed);
        if (!isNew && holder->second.position < listed->position) {
            holder->second = *listed;
        }
    }
    std::vector<QString> expected;
    expected.reserve(holders.size());
    for (const auto &[address, listed] : holders) {
        expected.push_back(listed.target.name);
    }
    std::ranges::sort(expected);
    const std::vector<quint32> order = *rc::gen::container<std::vector<quint32>>(changes.size(), rc::gen::arbitrary<quint32>());
    std::vector<std::size_t> indices(changes.size());
    std::iota(indices.begin(), indices.end(), 0);
    std::ranges::sort(indices, {}, [&order](std::size_t index) { return std::pair(order[index], index); });
    TargetDirectory directory({.agentPort = agentPort});
    directory.apply(start, SourceSwitched{true, {}});
    for (const std::size_t index : indices) {
        directory.apply(start, changes[index]);
    }
    // Lapsed entries are judged after the grace period.
    directory.onTick(start + 5s);
    RC_ASSERT(presentNames(directory) == expected);
}

// Guards against a late read that reverts a newer change.
TEST(TargetDirectoryTest, OlderRevisionsChangeNothing)
{
    TargetDirectory directory = directoryWith(reading({target(1)}));
    directory.apply(start, TargetListed{200, target(1, 1, true)});
    directory.apply(start, TargetListed{150, target(1)});
    EXPECT_TRUE(directory.find(target(1).id)->target.isDraining);
    directory.apply(start, TargetUnlisted{190, target(1).name});
    EXPECT_TRUE(directory.find(target(1).id)->isPresent());
    directory.apply(start, RoutesPublished{300, routes(7)});
    directory.apply(start, RoutesPublished{301, routes(6)});
    EXPECT_EQ(directory.routes()->version(), 7);
    directory.apply(start, DataCentreSwitched{210, QStringLiteral("dc1"), true});
    directory.apply(start, DataCentreSwitched{205, QStringLiteral("dc1"), false});
    EXPECT_TRUE(directory.isOut(QStringLiteral("dc1")));
}

// Guards against flows that are abandoned because the entries of their targets expired while the source was
// unavailable.
TEST(TargetDirectoryTest, EntriesMissingAfterAnOutageGetAGracePeriod)
{
    TargetDirectory directory = directoryWith(reading({target(1), target(2)}));
    directory.apply(start + 1s, SourceSwitched{false, QStringLiteral("down")});
    directory.apply(start + 5s, SourceSwitched{true, {}});
    directory.apply(start + 5s, FullReadCompleted{200, {}, {}});
    EXPECT_TRUE(directory.acceptsFlows(*directory.find(target(1).id)));
    directory.apply(start + 6s, TargetListed{201, target(1)});
    directory.onTick(start + 5s + 1999ms);
    EXPECT_TRUE(directory.find(target(2).id)->isPresent());
    directory.onTick(start + 7s);
    EXPECT_TRUE(directory.find(target(1).id)->isPresent());
    EXPECT_FALSE(directory.find(target(2).id)->isPresent());
}

// Guards against resets of flows whose targets lapsed during an outage in which this process started, and against
// callers that wait in vain after every start.
TEST(TargetDirectoryTest, FirstReadAfterAnOutageIsUnsettled)
{
    TargetDirectory late({.agentPort = agentPort});
    late.onTick(start);
    for (const DirectoryChange &change : reading({target(1)})) {
        late.apply(start + 3s, change);
    }
    EXPECT_FALSE(late.isSettled(start + 4s));
    EXPECT_TRUE(late.isSettled(start + 5s));
    EXPECT_TRUE(directoryWith(reading({target(1)})).isSettled(start));
}

// Guards against a live target that counts as gone because the source has dropped its entry, and against one that
// counts as present long after its entry was removed.
TEST(TargetDirectoryTest, RemovedEntriesAreGoneAfterAGrace)
{
    TargetDirectory directory = directoryWith(reading({target(1), target(2)}));
    directory.apply(start + 1s, TargetUnlisted{101, target(1).name});
    directory.apply(start + 1s, TargetUnlisted{102, target(2).name});
    directory.apply(start + 2s, TargetListed{103, target(2)});
    EXPECT_TRUE(directory.find(target(1).id)->isPresent());
    directory.onTick(start + 3s);
    EXPECT_FALSE(directory.find(target(1).id)->isPresent());
    EXPECT_TRUE(directory.find(target(2).id)->isPresent());
    EXPECT_EQ(directory.find(target(1).id)->agent, agentAddress(1));
    directory.onTick(start + 64s);
    EXPECT_EQ(directory.find(target(1).id), nullptr);
}

// Guards against flows to a target that has drained and left.
TEST(TargetDirectoryTest, DrainedTargetsAreGoneAtOnce)
{
    TargetDirectory directory = directoryWith(reading({target(1, 1, true)}));
    directory.apply(start + 1s, TargetUnlisted{101, target(1).name});
    EXPECT_FALSE(directory.find(target(1).id)->isPresent());
}

// Guards against a data centre that stays out because the removal of the order was missed.
TEST(TargetDirectoryTest, FullReadReturnsDataCentres)
{
    TargetDirectory directory = directoryWith(reading({target(1)}));
    directory.apply(start, DataCentreSwitched{110, QStringLiteral("dc1"), true});
    EXPECT_FALSE(directory.acceptsFlows(*directory.find(target(1).id)));
    directory.apply(start + 1s, FullReadCompleted{120, {target(1).name}, {}});
    EXPECT_TRUE(directory.acceptsFlows(*directory.find(target(1).id)));
    EXPECT_EQ(directory.returnTime(QStringLiteral("dc1")), start + 1s);
}

// Guards against full load on the cold targets of a data centre that was out and has returned between two pulls: the peer tells the
// return only.
TEST(TargetDirectoryTest, ReturnShowsThatTheDataCentreWasOut)
{
    const QString name = QStringLiteral("dc1");
    TargetDirectory directory = directoryWith(reading({target(1)}));
    directory.apply(start + 5s, DataCentreSwitched{110, name, false});
    EXPECT_EQ(directory.returnTime(name), start + 5s);
    directory.apply(start + 6s, DataCentreSwitched{110, name, false});
    EXPECT_EQ(directory.returnTime(name), start + 5s) << "a copy";
    TargetDirectory started({.agentPort = agentPort});
    started.apply(start, DataCentreSwitched{110, name, false});
    EXPECT_FALSE(started.returnTime(name)) << "the first read tells of returns of any time";
}

// Guards against a drain whose start is reset by a later report of the same state.
TEST(TargetDirectoryTest, DrainCountsFromItsFirstReport)
{
    TargetDirectory directory = directoryWith(reading({target(1)}));
    directory.apply(start + 1s, TargetListed{101, target(1, 1, true)});
    directory.apply(start + 3s, TargetListed{102, target(1, 1, true)});
    EXPECT_EQ(directory.find(target(1).id)->drainingSince, start + 1s);
    directory.apply(start + 4s, TargetListed{103, target(1)});
    EXPECT_FALSE(directory.find(target(1).id)->drainingSince);
}

// Guards against a search that ends without the target that lives without an entry.
TEST(TargetDirectoryTest, AnnouncedTargetsAreKnownUntilTheyAreListed)
{
    TargetDirectory directory = directoryWith(reading({target(1)}));
    directory.recordUnlisted(start, targetAddress(2), service);
    directory.recordUnlisted(start, targetAddress(1), service);
    ASSERT_EQ(directory.entries().size(), 2);
    EXPECT_EQ(presentNames(directory), std::vector<QString>{target(1).name});
    EXPECT_FALSE(directory.isListed(targetAddress(2)));
    directory.apply(start, TargetListed{200, target(2)});
    EXPECT_EQ(directory.entries().size(), 2);
    EXPECT_TRUE(directory.isListed(targetAddress(2)));
}

// Guards against the same for a target at an address that a target of another service has left lately.
TEST(TargetDirectoryTest, AnnouncedTargetsAreKnownByTheirService)
{
    TargetDirectory directory = directoryWith(reading({target(1), target(2)}));
    directory.apply(start, TargetUnlisted{200, target(2).name});
    directory.onTick(start + 2s);
    const ServiceId other = serviceIdOf("records");
    directory.recordUnlisted(start + 3s, targetAddress(2), other);
    const auto &entries = directory.entries();
    EXPECT_TRUE(std::ranges::any_of(entries, [other](const auto &item) { return item.second.target.service == other; }));
}
