#include "streamtestdata.h"

#include <stream/openingqueue.h>

#include <gtest/gtest.h>

using namespace Rattanpick;
using namespace StreamTestData;

namespace
{

OpeningQueue::Entry entry(quint16 port, int priority = 1, TimePoint arrival = start)
{
    return {{{caller.address, port}, route}, {}, priority, arrival, arrival + 60ms, arrival + 400ms};
}

quint16 takePort(OpeningQueue &queue, TimePoint now)
{
    const std::optional<OpeningQueue::Entry> opening = queue.take(now);
    return opening ? opening->flow.caller.port : 0;
}

}

// Guards against urgent openings, such as reservations, that wait behind less urgent ones, such as downloads.
TEST(OpeningQueueTest, UrgentOpeningsGoFirst)
{
    OpeningQueue queue;
    queue.add(entry(1, 2));
    queue.add(entry(2, 1));
    queue.add(entry(3, 1));
    queue.add(entry(4, 0));
    EXPECT_EQ(queue.countAhead(1), 3);
    EXPECT_EQ(takePort(queue, start), 4);
    EXPECT_EQ(takePort(queue, start), 2);
    EXPECT_EQ(takePort(queue, start), 3);
    EXPECT_EQ(takePort(queue, start), 1);
    EXPECT_EQ(takePort(queue, start), 0);
}

// Guards against an overloaded target that serves callers which have already given up while later ones wait in vain.
TEST(OpeningQueueTest, LateOpeningsGoFirstUnderOverload)
{
    OpeningQueue queue;
    queue.add(entry(1));
    queue.add(entry(2, 1, start + 30ms));
    queue.add(entry(3, 1, start + 50ms));
    EXPECT_EQ(takePort(queue, start + 55ms), 1);
    EXPECT_EQ(takePort(queue, start + 95ms), 3);
    EXPECT_EQ(takePort(queue, start + 95ms), 2);
}

// Guards against a full queue that refuses the opening that would be served next and keeps the one that would be served
// last.
TEST(OpeningQueueTest, LongestWaitIsDroppedUnderOverload)
{
    OpeningQueue queue;
    queue.add(entry(1, 1));
    queue.add(entry(2, 2));
    queue.add(entry(3, 2, start + 10ms));
    EXPECT_FALSE(queue.takeLast(start + 59ms, 1)) << "no opening has waited for long";
    EXPECT_FALSE(queue.takeLast(start + 60ms, 3)) << "all are more urgent";
    const std::optional<OpeningQueue::Entry> last = queue.takeLast(start + 60ms, 2);
    ASSERT_TRUE(last);
    EXPECT_EQ(last->flow.caller.port, 2);
    EXPECT_EQ(queue.size(), 2);
    EXPECT_FALSE(OpeningQueue().takeLast(start, 0));
}

// Guards against openings that are never removed, or that are both expired and taken.
TEST(OpeningQueueTest, ExpiredOpeningsAreTakenOnce)
{
    OpeningQueue queue;
    queue.add(entry(1));
    queue.add(entry(2, 1, start + 100ms));
    EXPECT_EQ(queue.nextDeadline(), start + 400ms);
    EXPECT_TRUE(queue.takeExpired(start + 399ms).empty());
    ASSERT_EQ(queue.takeExpired(start + 400ms).size(), 1);
    EXPECT_FALSE(queue.contains(entry(1).flow));
    EXPECT_TRUE(queue.contains(entry(2).flow));
    EXPECT_EQ(takePort(queue, start + 400ms), 2);
}
