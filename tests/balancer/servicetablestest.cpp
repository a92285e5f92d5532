#include <balancer/servicetables.h>
#include <tests/balancer/testconfiguration.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Rattanpick;

namespace
{

constexpr quint32 flowSample = 2000;

std::vector<Target> without(std::vector<Target> targets, std::size_t index)
{
    targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(index));
    return targets;
}

}

// Guards against hop lists that miss a candidate, repeat a target, or contain more than the two latest distinct first
// candidates of earlier tables.
RC_GTEST_PROP(ServiceTablesTest, HopsAreCandidatesThenEarlierFirsts, (std::vector<quint8> changes))
{
    ServiceTables tables;
    std::vector<std::unique_ptr<CandidateTable>> history;
    quint64 version = 0;
    changes.insert(changes.begin(), 0);
    for (const quint8 change : changes) {
        const auto document = configuration(++version, without(targets(7), change % 7));
        tables.applyConfiguration(document);
        auto built = std::make_unique<CandidateTable>(*document, testService);
        if (history.empty() || *history.front() != *built) {
            history.insert(history.begin(), std::move(built));
        }
    }
    history.resize(std::min(history.size(), ServiceTables::historyLength));
    RC_ASSERT(tables.generations(testService)->size() == history.size());
    for (quint32 number = 0; number < 200; ++number) {
        HopList expected;
        for (const Hop &hop : history.front()->candidatesOf(flow(number))) {
            expected.append(hop);
        }
        for (std::size_t index = 1; index < history.size() && expected.size() < HopList::maximumSize; ++index) {
            expected.append(history[index]->candidatesOf(flow(number)).front());
        }
        RC_ASSERT(tables.hopsOf(testService, flow(number)) == expected);
    }
}

// Guards against rebuilding the tables of a service that a new document does not change, which would also evict
// earlier tables.
TEST(ServiceTablesTest, UntouchedServiceKeepsItsTable)
{
    ServiceTables tables;
    tables.applyConfiguration(configuration(1, targets(5)));
    const CandidateTable *before = tables.current(testService);
    auto slots = targets(5);
    slots[0].slots = 9;
    tables.applyConfiguration(configuration(2, slots));
    EXPECT_EQ(tables.current(testService), before);
    EXPECT_EQ(tables.generations(testService)->size(), 1U);
    EXPECT_EQ(tables.configuration()->version().number, 2U);
}

// Guards against established flows whose packets no longer reach a draining target.
TEST(ServiceTablesTest, DrainingTargetStaysInTheHopList)
{
    ServiceTables tables;
    tables.applyConfiguration(configuration(1, targets(1)));
    auto draining = targets(1);
    draining[0].isDraining = true;
    tables.applyConfiguration(configuration(2, draining));
    const HopList hops = tables.hopsOf(testService, flow(1));
    ASSERT_EQ(hops.size(), 1U);
    EXPECT_EQ(hops.at(0).target, draining[0].id);
}

// Guards against packets that earlier tables send into a data centre that is out or was removed with its targets.
TEST(ServiceTablesTest, EarlierHopsNeverEnterADataCentreThatIsOut)
{
    auto all = targets(6);
    for (int number : {0, 2, 4}) {
        all[static_cast<std::size_t>(number)].dataCentre = QStringLiteral("nguinth");
    }
    auto left = all;
    std::erase_if(left, [](const Target &one) { return one.dataCentre == QStringLiteral("nguinth"); });
    const auto escale = dataCentre(QStringLiteral("escale"));
    const auto nguinth = QStringLiteral("nguinth");
    for (const auto &document : {configuration(2, all, {escale, dataCentre(nguinth, true)}),
                                 configuration(2, left, {escale, dataCentre(nguinth, true)}),
                                 configuration(2, left, {escale})}) {
        ServiceTables tables;
        tables.applyConfiguration(configuration(1, all, {escale, dataCentre(nguinth)}));
        tables.applyConfiguration(document);
        for (quint32 number = 0; number < flowSample; ++number) {
            const HopList hops = tables.hopsOf(testService, flow(number));
            for (int out : {0, 2, 4}) {
                EXPECT_EQ(hops.indexOf(all[static_cast<std::size_t>(out)].id), HopList::maximumSize);
            }
        }
    }
}

// Guards against packets that an earlier table sends to an outdated address of an agent.
TEST(ServiceTablesTest, EarlierHopsUseTheCurrentAddress)
{
    ServiceTables tables;
    tables.applyConfiguration(configuration(1, targets(1)));
    auto moved = targets(1);
    moved[0].agent.port = 9;
    moved[0].isDraining = true;
    tables.applyConfiguration(configuration(2, moved));
    EXPECT_EQ(tables.hopsOf(testService, flow(1)).at(0).endpoint.port, 9);
}

// Guards against an agent that keeps the tables of other services.
TEST(ServiceTablesTest, RestrictedTablesHoldOneService)
{
    ServiceTables tables;
    tables.restrictTo(serviceIdOf("tri"));
    tables.applyConfiguration(configuration(1, targets(3)));
    EXPECT_EQ(tables.current(testService), nullptr);
    EXPECT_EQ(tables.hopsOf(testService, flow(1)).size(), 0U);
}
