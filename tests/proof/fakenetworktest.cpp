#include <proof/fakenetwork.h>
#include <proof/history.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

using namespace Rattanpick;
using namespace Rattanpick::Proof;

namespace
{

/// Sends numbered datagrams between two parties, one per millisecond, and returns the numbers in order of arrival.
std::vector<int> arrivals(FakeNetwork &network, PartyId from, PartyId to, int count)
{
    std::vector<int> arrived;
    for (int number = 0; number < count; ++number) {
        network.sendDatagram(from, to, [&arrived, number](TimePoint) { arrived.push_back(number); });
        network.runUntil(network.now() + 1ms);
    }
    network.runUntil(network.now() + 1s);
    return arrived;
}

}

// Guards against a simulated network that loses or reorders messages without a configured fault.
TEST(FakeNetworkTest, DeliversInOrderWithoutFaults)
{
    FakeNetwork network(1, runStart);
    const PartyId first = network.addParty(0);
    const PartyId second = network.addParty(0);
    EXPECT_EQ(arrivals(network, first, second, 3), (std::vector<int>{0, 1, 2}));
}

// Guards against link faults that have no effect, with which every run would pass.
TEST(FakeNetworkTest, LosesRepeatsAndReordersBetweenAPair)
{
    FakeNetwork network(1, runStart);
    const PartyId first = network.addParty(0);
    const PartyId second = network.addParty(0);
    const PartyId third = network.addParty(0);
    network.setPairSettings(first, second, LinkSettings{.loss = 0.3, .duplication = 0.3, .reordering = 0.5, .reorderDelay = 20ms});
    const std::vector<int> rough = arrivals(network, first, second, 100);
    EXPECT_FALSE(std::ranges::is_sorted(rough));
    EXPECT_NE(rough.size(), 100U);
    EXPECT_EQ(arrivals(network, first, third, 100).size(), 100U);
}

// Guards against a cut that lets messages through, or that ends with the first of two overlapping faults.
TEST(FakeNetworkTest, CutsCountUntilTheLastIsHealed)
{
    FakeNetwork network(1, runStart);
    const PartyId first = network.addParty(0);
    const PartyId second = network.addParty(0);
    network.cut(first, second);
    network.cut(second, first);
    network.heal(first, second);
    EXPECT_TRUE(arrivals(network, first, second, 3).empty());
    network.heal(first, second);
    EXPECT_EQ(arrivals(network, first, second, 3).size(), 3U);
}

// Guards against a frozen party that loses its queued messages instead of receiving them after it resumes.
TEST(FakeNetworkTest, HoldsMessagesOfAFrozenParty)
{
    FakeNetwork network(1, runStart);
    const PartyId first = network.addParty(0);
    const PartyId second = network.addParty(0);
    int arrived = 0;
    network.freeze(second);
    network.sendDatagram(first, second, [&arrived](TimePoint) { ++arrived; });
    network.runUntil(runStart + 5s);
    EXPECT_EQ(arrived, 0);
    network.resume(second);
    network.runUntil(runStart + 6s);
    EXPECT_EQ(arrived, 1);
}
