#include "streamtestdata.h"

#include <stream/flowposition.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;
using namespace StreamTestData;

// Guards against a flow that is taken for another one because its sequence numbers have passed 2^32 or lag behind by the
// data in flight.
RC_GTEST_PROP(FlowPositionTest, SegmentsOfOneFlowFit, (quint32 callerSequence, quint32 targetSequence))
{
    const quint32 ahead = *rc::gen::inRange<quint32>(0, 20'000);
    const quint32 behind = *rc::gen::inRange<quint32>(0, 20'000);
    const auto sent = FlowPosition::fromCaller(callerSegment(AckFlag, callerSequence + ahead, targetSequence, 100));
    Segment answer = targetSegment(AckFlag, targetSequence + behind, 500);
    answer.acknowledgement = callerSequence;
    RC_ASSERT(sent.fits(FlowPosition::fromTarget(answer)));
    RC_ASSERT(FlowPosition::fromTarget(answer).fits(sent));
    RC_ASSERT(FlowPosition::fromCaller(callerSegment(SynFlag, callerSequence)).fits(sent));
    RC_ASSERT(FlowPosition().fits(sent));
}

// Guards against an earlier flow between the same endpoints that is taken for the present one.
RC_GTEST_PROP(FlowPositionTest, SegmentsFarApartAreOfTwoFlows, (quint32 callerSequence, quint32 targetSequence))
{
    const quint32 distance = *rc::gen::inRange<quint32>(100'000, 0xffffffffU - 100'000);
    const auto first = FlowPosition::fromCaller(callerSegment(AckFlag, callerSequence, targetSequence));
    RC_ASSERT(!first.fits(FlowPosition::fromCaller(callerSegment(AckFlag, callerSequence + distance, targetSequence))));
    RC_ASSERT(!first.fits(FlowPosition::fromCaller(callerSegment(AckFlag, callerSequence, targetSequence + distance))));
}
