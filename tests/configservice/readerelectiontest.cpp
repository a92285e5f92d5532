#include <configservice/readerelection.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

using namespace Rattanpick;

namespace
{

InstanceList makeInstances(int count)
{
    InstanceList instances;
    for (int index = 0; index < count; ++index) {
        Instance instance;
        instance.name = QStringLiteral("node-%1").arg(index);
        instance.dataCentre = index % 2 == 0 ? QStringLiteral("a") : QStringLiteral("b");
        instances.append(instance);
    }
    return instances;
}

}

// Guards against elected readers that depend on the order of the list, so that nodes disagree about them.
RC_GTEST_PROP(ReaderElectionTest, IndependentOfOrder, (quint32 seed))
{
    InstanceList instances = makeInstances(40);
    const ReaderElection election(3);
    const QStringList before = election.readers(instances, QStringLiteral("a"));
    std::mt19937_64 random(seed);
    std::shuffle(instances.begin(), instances.end(), random);
    RC_ASSERT(election.readers(instances, QStringLiteral("a")) == before);
    RC_ASSERT(before.size() == 3);
}

// Guards against a leaving instance that stays a reader, and against other readers that change with it.
TEST(ReaderElectionTest, LeavingReaderIsReplacedAlone)
{
    InstanceList instances = makeInstances(40);
    const ReaderElection election(3);
    const QStringList before = election.readers(instances, QStringLiteral("a"));
    std::ranges::find(instances, before[0], &Instance::name)->isLeaving = true;
    const QStringList after = election.readers(instances, QStringLiteral("a"));
    EXPECT_FALSE(after.contains(before[0]));
    EXPECT_EQ(after.mid(0, 2), before.mid(1));
}

// Guards against a data centre that elects no reader, or not all of its instances, because it has fewer instances than
// readers.
TEST(ReaderElectionTest, FewInstancesAllRead)
{
    EXPECT_EQ(ReaderElection(3).readers(makeInstances(4), QStringLiteral("b")).size(), 2);
    EXPECT_TRUE(ReaderElection(3).readers(makeInstances(4), QStringLiteral("c")).isEmpty());
}
