#include <operators/documentreader.h>
#include <operators/documenttext.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

using namespace Rattanpick;

namespace
{

const QByteArray validText = "# fleet\n"
                             "[document]\n"
                             "version = 17\n"
                             "\n"
                             "[team net]\n"
                             "contact = net@example.org\n"
                             "[team shop]\n"
                             "owner = net\n"
                             "[data-centre north]\n"
                             "owner = net\n"
                             "region = r1\n"
                             "state = in\n"
                             "[service desk]\n"
                             "owner = shop\n"
                             "address = 127.0.1.1:7000\n"
                             "[target desk-1]\n"
                             "owner = shop\n"
                             "service = desk\n"
                             "data-centre = north\n"
                             "agent = 127.0.2.1:6000\n"
                             "weight = 200\n"
                             "slots = 5\n"
                             "connections = 300\n"
                             "state = draining\n";

// The findings for the valid text after replacing one part of it.
Findings findingsAfter(const QByteArray &before, const QByteArray &after)
{
    QByteArray text = validText;
    EXPECT_TRUE(text.contains(before)) << before.toStdString();
    text.replace(before, after);
    DocumentReader reader(QStringLiteral("fleet.ini"));
    EXPECT_EQ(reader.read(text), nullptr) << after.toStdString();
    return reader.findings();
}

struct Mistake
{
    const char *before;
    const char *after;
    int line;
    const char *problem;
};

}

// Guards against a key that is read into the wrong member or not at all.
TEST(DocumentReaderTest, ReadsEveryKey)
{
    DocumentReader reader(QStringLiteral("fleet.ini"));
    const ConfigurationPointer configuration = reader.read(validText);
    ASSERT_NE(configuration, nullptr) << (reader.findings().isEmpty() ? std::string() : reader.findings().first().toString().toStdString());
    EXPECT_EQ(configuration->version(), (ConfigurationVersion{17, DocumentText::digest(validText)}));
    ASSERT_EQ(configuration->dataCentres().size(), 1U);
    EXPECT_EQ(configuration->dataCentres().front(), (DataCentre{QStringLiteral("north"), QStringLiteral("net"), QStringLiteral("r1"), false}));
    const Service *service = configuration->findService(serviceIdOf("desk"));
    ASSERT_NE(service, nullptr);
    EXPECT_EQ(*service, (Service{QStringLiteral("desk"), serviceIdOf("desk"), QStringLiteral("shop"), {0x7f000101, 7000}, Preference::Flows, 10, 30, 10}));
    const Target *target = configuration->findTarget(targetIdOf("desk-1"));
    ASSERT_NE(target, nullptr);
    EXPECT_EQ(*target,
              (Target{QStringLiteral("desk-1"),
                      targetIdOf("desk-1"),
                      QStringLiteral("shop"),
                      serviceIdOf("desk"),
                      QStringLiteral("north"),
                      {0x7f000201, 6000},
                      200,
                      5,
                      300,
                      true}));
}

// Guards against optional keys of a service that are ignored.
TEST(DocumentReaderTest, ReadsServiceSettings)
{
    QByteArray text = validText;
    text.replace("address = 127.0.1.1:7000\n", "address = 127.0.1.1:7000 ; public\nprefer = service\ncold-share = 5\nwarm-seconds = 60\nretry-budget = 0\n");
    const ConfigurationPointer configuration = DocumentReader(QStringLiteral("fleet.ini")).read(text);
    ASSERT_NE(configuration, nullptr);
    const Service &service = configuration->services().front();
    EXPECT_EQ(service.preference, Preference::Service);
    EXPECT_EQ(service.coldSharePercent, 5);
    EXPECT_EQ(service.warmSeconds, 60);
    EXPECT_EQ(service.retryBudgetPercent, 0);
}

// Guards against a mistake that is accepted, or reported at the wrong line or as the wrong problem.
TEST(DocumentReaderTest, ReportsEachMistakeAtItsLine)
{
    const Mistake mistakes[] = {
        {"[document]\nversion = 17\n", "\n\n", 0, "section is missing"},
        {"version = 17", "version = 0", 3, "out of range"},
        {"version = 17", "version = new", 3, "no whole number"},
        {"version = 17", "version = 17\nversion = 18", 4, "occurs twice"},
        {"version = 17", "vers 17", 3, "does not parse"},
        {"# fleet", "stray = 1", 1, "before the first section"},
        {"[team net]\ncontact", "[team net]\ncontakt", 6, "unknown key"},
        {"[team shop]\nowner = net", "[team shop]\nowner = nobody", 8, "does not exist"},
        {"[team shop]", "[team net]", 7, "occurs twice"},
        {"[team shop]", "[team shop", 7, "heading does not parse"},
        {"[team shop]", "[team]", 7, "wrong form"},
        {"[document]", "[document x]", 2, "wrong form"},
        {"[data-centre north]\nowner = net", "[data-centre north]\nowner = desk", 10, "does not exist"},
        {"region = r1\n", "", 9, "\"region\" is missing"},
        {"state = in\n", "state = off\n", 12, "unknown value"},
        {"[service desk]", "[servce desk]", 13, "unknown section"},
        {"address = 127.0.1.1:7000", "address = 127.0.1.1", 15, "no address and port"},
        {"address = 127.0.1.1:7000", "address = 0.0.0.0:7000", 15, "no address and port"},
        {"address = 127.0.1.1:7000", "address = 127.0.2.1:6000", 20, "used by [service desk]"},
        {"address = 127.0.1.1:7000\n", "address = 127.0.1.1:7000\ncold-share = 101\n", 16, "out of range"},
        {"address = 127.0.1.1:7000\n", "address = 127.0.1.1:7000\nwarm-seconds = 0\n", 16, "out of range"},
        {"address = 127.0.1.1:7000\n", "address = 127.0.1.1:7000\nretry-budget = -1\n", 16, "out of range"},
        {"address = 127.0.1.1:7000\n", "address = 127.0.1.1:7000\nprefer = both\n", 16, "unknown value"},
        {"service = desk", "service = dusk", 18, "does not exist"},
        {"data-centre = north\n", "data-centre = south\n", 19, "does not exist"},
        {"weight = 200", "weight = 10001", 21, "out of range"},
        {"slots = 5", "slots = many", 22, "no whole number"},
        {"connections = 300", "connections = 1000001", 23, "out of range"},
        {"state = draining", "state = out", 24, "unknown value"},
        {"state = draining\n", "state = \xff\n", 24, "not UTF-8"},
    };
    for (const Mistake &mistake : mistakes) {
        const Findings findings = findingsAfter(mistake.before, mistake.after);
        bool isFound = false;
        for (const Finding &finding : findings) {
            isFound = isFound || (finding.location.line == mistake.line && finding.problem.contains(QString::fromUtf8(mistake.problem)));
            EXPECT_EQ(finding.location.file, QStringLiteral("fleet.ini"));
            EXPECT_FALSE(finding.allowed.isEmpty()) << finding.problem.toStdString();
        }
        EXPECT_TRUE(isFound) << mistake.after << ": " << (findings.isEmpty() ? "no finding" : findings.first().toString().toStdString());
    }
}

// Guards against a check that stops at the first mistake, or that does not order its findings by line.
TEST(DocumentReaderTest, ReportsAllMistakesInOrderOfLines)
{
    QByteArray text = validText;
    text.replace("slots = 5", "slots = 0").replace("region = r1", "region").replace("version = 17", "version = x");
    DocumentReader reader(QStringLiteral("fleet.ini"));
    EXPECT_EQ(reader.read(text), nullptr);
    QList<int> lines;
    for (const Finding &finding : reader.findings()) {
        lines.append(finding.location.line);
    }
    EXPECT_EQ(lines, (QList<int>{3, 9, 11, 22}));
}

// Guards against a long line that libinih truncates at its buffer size, so that the rest is read as a separate line.
TEST(DocumentReaderTest, ReportsLongLines)
{
    const Findings findings = findingsAfter("contact = net@example.org", "contact = " + QByteArray(300, 'x') + " = y");
    ASSERT_EQ(findings.size(), 1);
    EXPECT_EQ(findings.first().location.line, 6);
    EXPECT_TRUE(findings.first().problem.contains(QStringLiteral("too long")));
}

// Guards against an indented line that libinih appends to the previous value.
TEST(DocumentReaderTest, AcceptsIndentedLinesAndLongComments)
{
    QByteArray text = validText;
    text.replace("\nowner", "\n    owner").replace("# fleet", "# " + QByteArray(1000, 'x'));
    EXPECT_NE(DocumentReader(QStringLiteral("fleet.ini")).read(text), nullptr);
}

// Guards against two targets whose names have the same identifier, because nodes could not distinguish them.
TEST(DocumentReaderTest, ReportsHashCollisions)
{
    // Both names hash to the target identifier 0x9674c6ba.
    const QByteArray first = "t41618";
    const QByteArray second = "t293730";
    ASSERT_EQ(targetIdOf(first), targetIdOf(second));
    const QByteArray body = "]\nowner = shop\nservice = desk\ndata-centre = north\nagent = 127.0.2.";
    const QByteArray text = validText + "[target " + first + body + "2:6000\n[target " + second + body + "3:6000\n";
    DocumentReader reader(QStringLiteral("fleet.ini"));
    EXPECT_EQ(reader.read(text), nullptr);
    ASSERT_EQ(reader.findings().size(), 1);
    EXPECT_EQ(reader.findings().first().location.line, 30);
    EXPECT_TRUE(reader.findings().first().problem.contains(QStringLiteral("same identifier")));
}

// Guards against a digest that depends on the line endings of a checkout, or that ignores comments.
TEST(DocumentReaderTest, DigestIgnoresLineEndsOnly)
{
    QByteArray windows = validText;
    windows.replace("\n", "\r\n");
    QByteArray commented = validText;
    commented.replace("# fleet", "# other");
    DocumentReader reader(QStringLiteral("fleet.ini"));
    const ConfigurationPointer plain = reader.read(validText);
    ASSERT_NE(plain, nullptr);
    const ConfigurationPointer other = reader.read(windows);
    ASSERT_NE(other, nullptr);
    EXPECT_EQ(*other, *plain);
    EXPECT_NE(reader.read(commented)->version().digest, plain->version().digest);
}

// Guards against input that triggers an assertion, where the reader must return either findings or a configuration.
RC_GTEST_PROP(DocumentReaderTest, AnyDamageGivesFindingsOrAConfiguration, ())
{
    std::string text = validText.toStdString();
    const int damages = *rc::gen::inRange(1, 6);
    for (int damage = 0; damage < damages; ++damage) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 20);
        text.replace(position, length, *rc::gen::container<std::string>(rc::gen::elementOf(std::string("[]=: ;#\r\n\tdesk1\xff"))));
    }
    DocumentReader reader(QStringLiteral("fleet.ini"));
    const ConfigurationPointer configuration = reader.read(QByteArray::fromStdString(text));
    RC_ASSERT((configuration == nullptr) == !reader.findings().isEmpty());
}
