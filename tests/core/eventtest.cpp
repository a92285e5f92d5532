#include <core/event.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

// Guards against a timeline that lacks a field of an event because the JSON form loses it between processes.
TEST(EventTest, JsonRoundTrip)
{
    const Event event{EventNumber::FlowBroken, QStringLiteral("agent-1"), 7, 1700000000000, QStringLiteral("udp a -> b"), 3, QStringLiteral("target \"lost\"")};
    EXPECT_EQ(Event::fromJson(event.toJson()), event);
}

// Guards against text that is read as an event although it is not one or has an unknown event number.
TEST(EventTest, RefusesOtherText)
{
    EXPECT_FALSE(Event::fromJson("no json"));
    EXPECT_FALSE(Event::fromJson("{\"number\": 9999}"));
}
