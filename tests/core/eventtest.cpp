#include <core/event.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

// No field of an event may be lost in its JSON form.
TEST(EventTest, JsonRoundTrip)
{
    const Event event{EventNumber::FlowBroken, QStringLiteral("agent-1"), 7, 1700000000000, QStringLiteral("udp a -> b"), 3, QStringLiteral("target \"lost\"")};
    EXPECT_EQ(Event::fromJson(event.toJson()), event);
}

// Text that is not an event, and events with an unknown number, must be rejected.
TEST(EventTest, RefusesOtherText)
{
    EXPECT_FALSE(Event::fromJson("no json"));
    EXPECT_FALSE(Event::fromJson("{\"number\": 9999}"));
}
