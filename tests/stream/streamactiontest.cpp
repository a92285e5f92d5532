#include "streambench.h"

#include <gtest/gtest.h>

using namespace Rattanpick;

// Guards against an event about the process, such as the end of its target, that looks like one about a flow and is missing
// from the traces of others.
TEST(StreamActionTest, EventsAboutNoFlowNameNone)
{
    EXPECT_TRUE((RecordStreamEvent{EventNumber::TargetLost, {}, {}}).flowText().isEmpty());
    EXPECT_EQ((RecordStreamEvent{EventNumber::FlowBroken, StreamBench::flow, {}}).flowText(), StreamBench::flow.toString());
}
