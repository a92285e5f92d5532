#include "streamtestdata.h"

#include <stream/targetannouncer.h>

#include <gtest/gtest.h>

#include <algorithm>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

class TargetAnnouncerTest : public testing::Test
{
protected:
    TargetAnnouncerTest()
        : m_directory({.agentPort = agentPort, .routeHistory = {.isInitialStart = true}})
        , m_announcer(m_settings, m_directory)
    {
        m_settings.endpoint = agentAddress(1);
        m_settings.target = targetAddress(1);
        m_settings.service = service;
    }

    void apply(const std::vector<DirectoryChange> &changes, TimePoint now = start)
    {
        for (const DirectoryChange &change : changes) {
            m_directory.apply(now, change);
            m_announcer.onDirectoryChange(now);
        }
    }

    StreamAgentSettings m_settings;
    TargetDirectory m_directory;
    TargetAnnouncer m_announcer;
};

}

// Guards against agents that are not notified of a target at once when its entry goes, or not again after a loss.
TEST_F(TargetAnnouncerTest, UnlistedTargetIsAnnouncedAtOnceAndRepeatedly)
{
    apply(reading({target(1), target(2), target(3)}));
    EXPECT_TRUE(m_announcer.takeReceivers(start + 1h).empty());
    apply({TargetUnlisted{200, target(1).name}});
    EXPECT_EQ(m_announcer.takeReceivers(start), (std::vector{agentAddress(2), agentAddress(3)}));
    EXPECT_TRUE(m_announcer.takeReceivers(start).empty());
    EXPECT_EQ(m_announcer.takeReceivers(start + m_settings.announcementInterval).size(), 2);
    apply({TargetListed{300, target(1)}});
    EXPECT_EQ(m_announcer.nextDeadline(), TimePoint::max());
}

// Guards against a restarted agent that does not notice that its target is not listed, and against announcements before the
// list is known.
TEST_F(TargetAnnouncerTest, FirstReadWithoutTheTargetBeginsTheAnnouncements)
{
    std::vector<DirectoryChange> changes = reading({target(2)});
    const DirectoryChange completed = changes.back();
    changes.pop_back();
    apply(changes);
    EXPECT_TRUE(m_announcer.takeReceivers(start).empty());
    apply({completed});
    EXPECT_EQ(m_announcer.takeReceivers(start), std::vector{agentAddress(2)});
}

// Guards against announcements to every agent of a fleet: other services never hold these flows.
TEST_F(TargetAnnouncerTest, AgentsOfOtherServicesAreNotNotified)
{
    StreamTarget other = target(2);
    other.service = serviceIdOf("records");
    apply(reading({other, target(3)}));
    EXPECT_EQ(m_announcer.takeReceivers(start), std::vector{agentAddress(3)});
}

// Guards against lookups that miss a target which is unlisted and holds flows of a route that no longer uses its service.
TEST_F(TargetAnnouncerTest, AgentsOfServicesThatSharedARouteAreNotified)
{
    StreamTarget other = target(2);
    other.service = otherService;
    apply(reading({other, target(3)}));
    apply({RoutesPublished{200, routesTo(2, {{service, 1}, {otherService, 1}})}, RoutesPublished{201, routesTo(3, {{otherService, 1}})}});
    EXPECT_EQ(m_announcer.takeReceivers(start), (std::vector{agentAddress(2), agentAddress(3)}));
}
