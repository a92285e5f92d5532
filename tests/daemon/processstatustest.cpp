#include <rattanpickd/messages/processstatus.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

// Guards against a daemon whose status lacks a column that `rattanpickctl status` shows.
TEST(ProcessStatusTest, HasTheColumnsOfTheClient)
{
    const QJsonObject decisions{{QStringLiteral("version"), QStringLiteral("3/00ff")},
                                {QStringLiteral("ownedFlows"), 7},
                                {QStringLiteral("draining"), true},
                                {QStringLiteral("fenced"), true}};
    const QJsonObject counters{{QStringLiteral("dropped.forged"), 2}, {QStringLiteral("dropped.truncated"), 0}, {QStringLiteral("datagrams.sent"), 9}};
    const QJsonObject status = processStatus(decisions, {{QStringLiteral("counters"), counters}});
    EXPECT_EQ(status.value(QStringLiteral("version")).toString(), QStringLiteral("3/00ff"));
    EXPECT_EQ(status.value(QStringLiteral("state")).toString(), QStringLiteral("fenced"));
    EXPECT_EQ(status.value(QStringLiteral("flows")).toInteger(), 7);
    EXPECT_EQ(status.value(QStringLiteral("refusals")).toObject(), (QJsonObject{{QStringLiteral("forged"), 2}}));
    EXPECT_EQ(processStatus({}, {}).value(QStringLiteral("state")).toString(), QStringLiteral("joining"));
}
