#include <operators/documentdiff.h>
#include <operators/documenttext.h>
#include <operators/ownershipcheck.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

using namespace Rattanpick;

namespace
{

const QByteArray earlierText = "[document]\nversion = 1\n"
                               "[team net]\n[team shop]\n"
                               "# the desk\n[service desk]\nowner = shop\naddress = 127.0.1.1:7000\n"
                               "\n[service files]\nowner = net\naddress = 127.0.1.2:7000\n";

QStringList problems(const QString &team, const QByteArray &later)
{
    QStringList lines;
    const Findings findings = OwnershipCheck(QStringLiteral("later.ini"), team).check(earlierText, later);
    for (const Finding &finding : findings) {
        lines.append(QStringLiteral("%1 [%2] %3").arg(finding.location.line).arg(finding.location.section, finding.problem));
    }
    return lines;
}

QByteArray replaced(const QByteArray &before, const QByteArray &after)
{
    QByteArray text = earlierText;
    EXPECT_TRUE(text.contains(before));
    return text.replace(before, after);
}

}

// Guards against a delta that does not restore the document byte for byte, so that its digest does not match.
RC_GTEST_PROP(DocumentTextTest, SectionsJoinToTheSameBytes, ())
{
    const auto text = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("[]a \r\n#;=")));
    const QByteArray bytes = QByteArray::fromStdString(text);
    const DocumentText document = DocumentText::fromText(bytes);
    RC_ASSERT(document.toText() == bytes);
}

// Guards against comments directly above a heading that are assigned to the previous section instead of the one below
// them.
TEST(DocumentTextTest, CommentsAboveAHeadingBelongToIt)
{
    const DocumentText document = DocumentText::fromText(earlierText);
    QStringList titles;
    for (const DocumentSection &section : document.sections()) {
        titles.append(section.title);
    }
    EXPECT_EQ(titles, QStringLiteral("document,team net,team shop,service desk,service files").split(QLatin1Char(',')));
    EXPECT_TRUE(document.find(QStringLiteral("service desk"))->text.startsWith("# the desk\n"));
    EXPECT_EQ(document.find(QStringLiteral("service x")), nullptr);
}

// Guards against findings for a team that changes only its own sections and the version.
TEST(OwnershipCheckTest, OwnChangesAreFine)
{
    QByteArray later = replaced("version = 1", "version = 2");
    later.replace("address = 127.0.1.1:7000", "address = 127.0.1.9:7000");
    later += "[target desk-1]\nowner = shop\n";
    EXPECT_EQ(problems(QStringLiteral("shop"), later), QStringList());
}

// Guards against a change to a section of another team that is not reported, whatever its kind.
TEST(OwnershipCheckTest, ForeignChangesAreFound)
{
    const QString shop = QStringLiteral("shop");
    EXPECT_EQ(problems(shop, replaced("127.0.1.2:7000", "127.0.1.2:7001")), QStringList{QStringLiteral("10 [service files] section of team net was changed")});
    // The earlier owner counts, so a team cannot take over a section by changing its owner.
    EXPECT_EQ(problems(shop, replaced("owner = net", "owner = shop")), QStringList{QStringLiteral("10 [service files] section of team net was changed")});
    EXPECT_EQ(problems(shop, replaced("\n[service files]\nowner = net\naddress = 127.0.1.2:7000\n", "")),
              QStringList{QStringLiteral("0 [service files] section of team net was removed")});
    EXPECT_EQ(problems(shop, earlierText + "[service new]\nowner = net\n"), QStringList{QStringLiteral("13 [service new] section of team net was added")});
    EXPECT_EQ(problems(shop, replaced("[team net]\n", "[team net]\ncontact = x\n")),
              QStringList{QStringLiteral("3 [team net] section of team net was changed")});
    EXPECT_EQ(problems(shop, earlierText + "[service new]\n"), QStringList{QStringLiteral("13 [service new] section without an owner was added")});
    // A second section with the same title is a change, too.
    EXPECT_EQ(problems(shop, earlierText + "[service files]\nowner = shop\n"),
              QStringList{QStringLiteral("10 [service files] section of team net was changed")});
    EXPECT_EQ(problems(QStringLiteral("ghost"), earlierText), QStringList{QStringLiteral("0 [] team ghost does not exist")});
}

// Guards against findings for changes of line endings and of blank lines between sections, which belong to no team.
TEST(OwnershipCheckTest, LineEndsAndBlankLinesAreNoChange)
{
    QByteArray later = earlierText;
    later.replace("\n[service", "\n\n\n[service").replace("\n", "\r\n");
    later.replace("# the desk\r\n\r\n\r\n", "# the desk\r\n");
    EXPECT_EQ(problems(QStringLiteral("shop"), later), QStringList());
}

// Guards against a difference that is not listed and is therefore missed in the review of a change.
TEST(DocumentDiffTest, ListsSectionsAndKeys)
{
    QByteArray later = replaced("version = 1", "version = 2");
    later.replace("[team net]\n", "").replace("owner = shop\n", "prefer = service\n");
    later += "[team new]\n# comment\n";
    QStringList lines;
    const DocumentDiff diff(earlierText, later);
    for (const DocumentChange &change : diff.changes()) {
        lines.append(change.toString());
    }
    EXPECT_EQ(lines,
              (QStringList{QStringLiteral("~ [document] version = 1 -> 2"),
                           QStringLiteral("- [team net]"),
                           QStringLiteral("- [service desk] owner = shop"),
                           QStringLiteral("+ [service desk] prefer = service"),
                           QStringLiteral("+ [team new]")}));
    EXPECT_TRUE(DocumentDiff(earlierText, earlierText).changes().isEmpty());
}
