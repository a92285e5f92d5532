#include <stream/verificationage.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;

// Guards against an age that is reported lower than it is, so that a directory seems more recent, and against an overflow.
RC_GTEST_PROP(VerificationAgeTest, AgesAreNeverReportedLower, ())
{
    const auto age = std::chrono::microseconds(*rc::gen::inRange<std::int64_t>(0, 65'000'000));
    const auto hopCount = *rc::gen::inRange<quint8>(0, 4);
    const VerificationAge read = VerificationAge::fromWire(VerificationAge{age, hopCount}.toWire());
    RC_ASSERT(read.hopCount == hopCount);
    RC_ASSERT(read.age >= age);
    RC_ASSERT(read.age < age + 5ms);
    RC_ASSERT(VerificationAge::fromWire(VerificationAge{Duration::max(), hopCount}.toWire()).age >= 65s);
}
