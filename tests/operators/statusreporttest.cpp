#include <operators/adminserver.h>
#include <operators/statusreport.h>

#include <gtest/gtest.h>

using namespace Rattanpick;

namespace
{

AdminHandlers handlersWith(const QString &version)
{
    AdminHandlers handlers;
    handlers.status = [version] {
        return QJsonObject{
            {QStringLiteral("name"), QStringLiteral("node")},
            {QStringLiteral("version"), version},
            {QStringLiteral("flows"), 12},
            {QStringLiteral("refusals"), QJsonObject{{QStringLiteral("cold"), 3}, {QStringLiteral("draining"), 1}}},
        };
    };
    return handlers;
}

}

// Guards against a table that omits an unresponsive process or one of several versions in force.
TEST(StatusReportTest, ShowsEveryProcess)
{
    AdminServer first({0x7f000001, 0}, handlersWith(QStringLiteral("17/a")));
    AdminServer second({0x7f000001, 0}, handlersWith(QStringLiteral("18/b")));
    ASSERT_TRUE(first.start() && second.start());
    const Endpoint silent{0x7f000001, 1};
    const StatusReport report = StatusReport::collect({first.endpoint(), silent, second.endpoint()}, std::chrono::milliseconds(500));
    EXPECT_FALSE(report.isComplete());
    EXPECT_FALSE(report.hasOneVersion());
    const QString text = report.toText();
    EXPECT_TRUE(text.contains(QStringLiteral("127.0.0.1:1 ")) && text.contains(QStringLiteral("no answer: "))) << text.toStdString();
    EXPECT_TRUE(text.contains(QStringLiteral("17/a     -      12     cold=3 draining=1\n"))) << text.toStdString();
    EXPECT_TRUE(text.contains(QStringLiteral("version 18/b at 1 processes"))) << text.toStdString();
    EXPECT_EQ(report.toJson()[QLatin1String("versions")].toObject().size(), 2);
    EXPECT_TRUE(StatusReport::collect({first.endpoint()}, std::chrono::milliseconds(500)).hasOneVersion());
}
