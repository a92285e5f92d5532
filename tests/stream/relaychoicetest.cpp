#include "streamtestdata.h"

#include <stream/relaychoice.h>

#include <gtest/gtest.h>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

class RelayChoiceTest : public testing::Test
{
protected:
    RelayChoiceTest()
    {
        // Two targets in each of dc0, dc1 and dc2.
        apply(reading({target(1), target(2), target(3), target(4), target(5), target(6)}));
    }

    void apply(const std::vector<DirectoryChange> &changes)
    {
        for (const DirectoryChange &change : changes) {
            m_directory.apply(start, change);
        }
    }

    const TargetDirectory::Entry *choose(TargetId silent = {}) const
    {
        return RelayChoice::choose(m_directory, QStringLiteral("dc0"), target(1).id, flow, [silent](TargetId id) { return id == silent; });
    }

    TargetDirectory m_directory{{.agentPort = agentPort}};
};

}

// Guards against a relay that is cut off as well, or that does not answer.
TEST_F(RelayChoiceTest, RelaysAreInAThirdDataCentre)
{
    const TargetDirectory::Entry *first = choose();
    ASSERT_NE(first, nullptr);
    EXPECT_EQ(first->target.dataCentre, QStringLiteral("dc2"));
    const TargetDirectory::Entry *second = choose(first->target.id);
    ASSERT_NE(second, nullptr);
    EXPECT_EQ(second->target.dataCentre, QStringLiteral("dc2"));
    EXPECT_NE(second->target.id, first->target.id);
}

// Guards against packets into a data centre that is out, and against relays of packets whose target is near or unknown.
TEST_F(RelayChoiceTest, NoRelayWhereNoneHelps)
{
    apply({DataCentreSwitched{201, QStringLiteral("dc2"), true}});
    EXPECT_EQ(choose(), nullptr);
    apply({DataCentreSwitched{202, QStringLiteral("dc2"), false}});
    EXPECT_NE(choose(), nullptr);
    EXPECT_EQ(RelayChoice::choose(m_directory, QStringLiteral("dc0"), target(3).id, flow, [](TargetId) { return false; }), nullptr);
    EXPECT_EQ(RelayChoice::choose(m_directory, QStringLiteral("dc0"), target(9).id, flow, [](TargetId) { return false; }), nullptr);
}
