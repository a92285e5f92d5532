#include <proof/spread/spreadfleet.h>
#include <spread/configurationstore.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>

using namespace Rattanpick;
using Proof::SpreadFleet;

namespace
{

constexpr std::size_t history = 32;

}

// Guards against a result that depends on the order of arrival, and against a version that decreases.
RC_GTEST_PROP(ConfigurationStoreTest, HighestWinsInAnyOrder, (const std::vector<std::uint8_t> &order))
{
    ConfigurationStore store(SpreadFleet::parse, history);
    ConfigurationVersion highest;
    for (const std::uint8_t choice : order) {
        // Small numbers with two tags produce many documents with the same number.
        const QByteArray text = SpreadFleet::makeDocument(1 + choice / 2 % 8, choice % 2 == 0 ? "a" : "b");
        highest = std::max(highest, SpreadFleet::parse(text).configuration->version());
        store.offer(text);
        RC_ASSERT(store.version() == highest);
    }
}

// The baseline shows which failure the rule prevents: a stale source reverts the store.
TEST(ConfigurationStoreTest, AcceptAnyBaselineReverts)
{
    ConfigurationStore store(SpreadFleet::parse, history, acceptsAnyVersion);
    store.offer(SpreadFleet::makeDocument(2));
    EXPECT_EQ(store.offer(SpreadFleet::makeDocument(1)), OfferResult::Accepted);
    EXPECT_EQ(store.version().number, 1U);
}

// Guards against an invalid document coming into force, and against reporting its findings at each read.
TEST(ConfigurationStoreTest, RefusedDocumentIsReportedOnce)
{
    ConfigurationStore store(SpreadFleet::parse, history);
    store.offer(SpreadFleet::makeDocument(1));
    EXPECT_EQ(store.offer("nonsense"), OfferResult::Refused);
    EXPECT_EQ(store.findings().size(), 1);
    EXPECT_EQ(store.offer("nonsense"), OfferResult::RefusedBefore);
    EXPECT_EQ(store.offer("other nonsense"), OfferResult::Refused);
    EXPECT_EQ(store.version().number, 1U);
}

// Guards against a history that is shorter than configured or grows without bound.
TEST(ConfigurationStoreTest, DeltaForTheLast32Versions)
{
    ConfigurationStore store(SpreadFleet::parse, history);
    std::vector<ConfigurationVersion> versions;
    for (quint64 number = 1; number <= 40; ++number) {
        store.offer(SpreadFleet::makeDocument(number));
        versions.push_back(store.version());
    }
    EXPECT_EQ(store.difference(versions[38]).kind, PeerAnswerKind::Delta);
    EXPECT_EQ(store.difference(versions[7]).kind, PeerAnswerKind::Delta);
    EXPECT_EQ(store.difference(versions[6]).kind, PeerAnswerKind::Whole);
    EXPECT_EQ(store.difference({}).kind, PeerAnswerKind::Whole);
    EXPECT_EQ(store.difference(versions[39]).kind, PeerAnswerKind::Nothing);
}

// Guards against an answer that decodes to a different document, and against accepting a damaged answer.
RC_GTEST_PROP(ConfigurationStoreTest, AnswersRoundTripAndDamageIsNoticed, (std::uint16_t place, std::uint8_t flip))
{
    RC_PRE(flip != 0);
    ConfigurationStore server(SpreadFleet::parse, history);
    ConfigurationStore client(SpreadFleet::parse, history);
    server.offer(SpreadFleet::makeDocument(1));
    client.offer(SpreadFleet::makeDocument(1));
    server.offer(SpreadFleet::makeDocument(2, "changed"));
    for (const ConfigurationVersion &from : {client.version(), ConfigurationVersion{}}) {
        const PeerAnswer answer = server.difference(from);
        QByteArray bytes = answer.toBytes();
        RC_ASSERT(PeerAnswer::fromBytes(bytes) == answer);
        RC_ASSERT(client.textOf(answer) == server.text());
        const qsizetype index = place % bytes.size();
        bytes[index] = static_cast<char>(bytes[index] ^ flip);
        RC_ASSERT(!PeerAnswer::fromBytes(bytes));
    }
}
