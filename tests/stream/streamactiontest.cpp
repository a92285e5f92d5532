#include "streamtestdata.h"

#include <gtest/gtest.h>

using namespace Rattanpick;

// Guards against an event about the process, such as the end of its target, that is taken for one about a flow and is
// missing from the traces of others.
TEST(StreamActionTest, EventsAboutNoFlowNameNone)
{
    EXPECT_TRUE((RecordStreamEvent{EventNumber::TargetLost, {}, {}}).flowText().isEmpty());
    EXPECT_EQ((RecordStreamEvent{EventNumber::FlowBroken, StreamTestData::flow, {}}).flowText(), StreamTestData::flow.toString());
}
