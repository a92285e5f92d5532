#include <balancer/candidatetable.h>
#include <tests/balancer/testconfiguration.h>

#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;

namespace
{

CandidateTable table(const std::vector<Target> &targets)
{
    return {*configuration(1, targets), testService};
}

/// One flow for every bucket, so that tables are compared completely.
std::vector<FlowKey> flowsOfAllBuckets(const CandidateTable &table)
{
    std::map<std::size_t, FlowKey> flows;
    for (quint32 number = 0; flows.size() < table.bucketCount(); ++number) {
        flows.try_emplace(table.bucketOf(flow(number)), flow(number));
    }
    std::vector<FlowKey> result;
    for (const auto &[bucket, key] : flows) {
        result.push_back(key);
    }
    return result;
}

}

// Guards against shares of first candidates that do not match the weights (beyond 4 standard deviations of the bucket
// count).
RC_GTEST_PROP(CandidateTableTest, SharesFollowWeights, (quint64 seed))
{
    std::mt19937_64 random(seed);
    std::vector<Target> targets;
    double total = 0;
    for (int number = 0; number < 20; ++number) {
        targets.push_back(target(number, static_cast<quint32>(50 + random() % 400)));
        targets.back().id = TargetId{static_cast<quint32>(random() | 1U)};
        total += targets.back().weight;
    }
    const CandidateTable built = table(targets);
    std::map<TargetId, double> firsts;
    for (const FlowKey &key : flowsOfAllBuckets(built)) {
        ++firsts[built.candidatesOf(key).front().target];
    }
    const auto buckets = static_cast<double>(built.bucketCount());
    double chiSquare = 0;
    for (const Target &one : targets) {
        const double expected = buckets * one.weight / total;
        chiSquare += std::pow(firsts[one.id] - expected, 2) / expected;
    }
    // 19 degrees of freedom: mean 19, standard deviation sqrt(38); 6 standard deviations give less than one false alarm
    // in 100,000 runs.
    RC_ASSERT(chiSquare < 19 + 6 * std::sqrt(38));
}

// Guards against a change of one target that moves buckets of other targets.
RC_GTEST_PROP(CandidateTableTest, LeavingTargetMovesOnlyItsOwnPlaces, (quint8 count, quint8 leaver))
{
    // 17 to 31 targets need 2048 buckets, with and without the removed target.
    std::vector<Target> all = targets(18 + count % 14);
    const CandidateTable before = table(all);
    const TargetId left = all[leaver % all.size()].id;
    std::erase_if(all, [left](const Target &one) { return one.id == left; });
    const CandidateTable after = table(all);
    RC_ASSERT(before.bucketCount() == after.bucketCount());
    for (const FlowKey &key : flowsOfAllBuckets(before)) {
        std::vector<Hop> expected;
        for (const Hop &hop : before.candidatesOf(key)) {
            if (hop.target != left) {
                expected.push_back(hop);
            }
        }
        const auto candidates = after.candidatesOf(key);
        RC_ASSERT(std::equal(expected.begin(), expected.end(), candidates.begin()));
    }
}

// Guards against a weight increase of one target that moves buckets between other targets.
TEST(CandidateTableTest, HeavierTargetOnlyGains)
{
    std::vector<Target> all = targets(20);
    const CandidateTable before = table(all);
    all[3].weight = 300;
    const CandidateTable after = table(all);
    for (const FlowKey &key : flowsOfAllBuckets(before)) {
        const TargetId first = after.candidatesOf(key).front().target;
        EXPECT_TRUE(first == before.candidatesOf(key).front().target || first == all[3].id);
    }
}

// Guards against nodes that compute different tables from documents whose sections are in a different order.
RC_GTEST_PROP(CandidateTableTest, OrderOfSectionsDoesNotMatter, (quint64 seed))
{
    std::vector<Target> all = targets(7);
    const CandidateTable sorted = table(all);
    std::mt19937_64 random(seed);
    std::ranges::shuffle(all, random);
    RC_ASSERT(table(all) == sorted);
}

// Guards against a table that depends on the compiler, the machine or the release: nodes of two releases must agree.
TEST(CandidateTableTest, TableIsPinned)
{
    const CandidateTable built = table(targets(7));
    quint64 digest = 0;
    for (const FlowKey &key : flowsOfAllBuckets(built)) {
        for (const Hop &hop : built.candidatesOf(key)) {
            digest = hashPair(digest, static_cast<quint32>(hop.target));
        }
    }
    EXPECT_EQ(digest, 7527638295615913437U);
}

// Guards against candidates that drain or are in a data centre that is out.
TEST(CandidateTableTest, OnlyServingTargetsCount)
{
    std::vector<Target> all = targets(4);
    all[1].isDraining = true;
    all[2].dataCentre = QStringLiteral("nguinth");
    const auto document = configuration(1, all, {dataCentre(QStringLiteral("escale")), dataCentre(QStringLiteral("nguinth"), true)});
    const CandidateTable built(*document, testService);
    EXPECT_EQ(built.targetCount(), 2U);
    for (const FlowKey &key : flowsOfAllBuckets(built)) {
        const auto candidates = built.candidatesOf(key);
        EXPECT_NE(candidates[0].target, candidates[1].target);
        EXPECT_EQ(candidates[2].target, TargetId{});
        for (const Hop &hop : candidates) {
            EXPECT_TRUE(hop.target != all[1].id && hop.target != all[2].id);
        }
    }
}

// Guards against a bucket count that is not a power of two or too small for the number of targets.
TEST(CandidateTableTest, BucketCountFollowsTargets)
{
    EXPECT_EQ(table({}).bucketCount(), 256U);
    EXPECT_EQ(table(targets(4)).bucketCount(), 256U);
    EXPECT_EQ(table(targets(5)).bucketCount(), 512U);
    EXPECT_EQ(table(targets(100)).bucketCount(), 8192U);
}
