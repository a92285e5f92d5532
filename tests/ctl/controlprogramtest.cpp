#include <rattanpickctl/controlprogram.h>

#include <core/event.h>
#include <operators/adminserver.h>

#include <QFile>
#include <QTemporaryDir>

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace Rattanpick;

namespace
{

struct ProgramRun
{
    int exitCode = -1;
    QString out;
    QString err;
};

ProgramRun runProgram(const std::vector<std::string> &words)
{
    ProgramRun run;
    QTextStream out(&run.out);
    QTextStream err(&run.err);
    std::vector<const char *> arguments{"rattanpickctl"};
    for (const std::string &word : words) {
        arguments.push_back(word.c_str());
    }
    run.exitCode = ControlProgram(out, err).run(static_cast<int>(arguments.size()), arguments.data());
    return run;
}

const std::string regie = RATTANPICK_SOURCE_DIR "/examples/regie.ini";
const std::string swan = RATTANPICK_SOURCE_DIR "/examples/swan.ini";

class ControlProgramTest : public testing::Test
{
protected:
    std::string write(const char *name, const QByteArray &content)
    {
        QFile file(m_folder.filePath(QLatin1String(name)));
        EXPECT_TRUE(file.open(QIODevice::WriteOnly));
        file.write(content);
        return file.fileName().toStdString();
    }

    static QByteArray read(const std::string &path)
    {
        QFile file(QString::fromStdString(path));
        EXPECT_TRUE(file.open(QIODevice::ReadOnly)) << path;
        return file.readAll();
    }

    QTemporaryDir m_folder;
};

}

// Guards against a command without help, and against exit codes that the help does not document.
TEST_F(ControlProgramTest, HelpDocumentsExitCodes)
{
    for (const char *command : {"check", "diff", "status", "incidents", "timeline", "trace"}) {
        const ProgramRun run = runProgram({command, "--help"});
        EXPECT_EQ(run.exitCode, 0) << command;
        EXPECT_TRUE(run.out.contains(QStringLiteral("Exit codes:"))) << run.out.toStdString();
    }
}

// Guards against invalid usage that has the exit code of success or of a finding.
TEST_F(ControlProgramTest, WrongUsageEndsWithTwo)
{
    const std::vector<std::vector<std::string>> lines = {
        {},
        {"unknown"},
        {"check"},
        {"check", "/nowhere/x.ini"},
        {"check", regie, "--team", "tri"},
        {"diff", regie},
        {"status"},
        {"status", "--admin", "127.0.0.1"},
        {"incidents"},
        {"incidents", "--events", regie, "--from", "yesterday"},
        {"timeline", "--events", regie, "--output", "/nowhere/x.html"},
        {"trace", "--events", regie},
    };
    for (const std::vector<std::string> &line : lines) {
        const ProgramRun run = runProgram(line);
        EXPECT_EQ(run.exitCode, 2) << (line.empty() ? "" : line.front());
        EXPECT_FALSE(run.err.isEmpty());
    }
}

// Guards against a check that accepts an invalid document, a change to another team's section or a version that does
// not increase.
TEST_F(ControlProgramTest, CheckReportsFindings)
{
    EXPECT_EQ(runProgram({"check", regie}).exitCode, 0);
    QByteArray later = read(regie);
    later.replace("version = 1\n", "version = 2\n").replace("127.10.0.2:7000", "127.10.0.9:7000");
    const std::string changed = write("later.ini", later);
    EXPECT_EQ(runProgram({"check", changed, "--earlier", regie, "--team", "tri"}).exitCode, 0);
    const ProgramRun foreign = runProgram({"check", changed, "--earlier", regie, "--team", "comptoir"});
    EXPECT_EQ(foreign.exitCode, 1);
    EXPECT_TRUE(foreign.out.contains(QStringLiteral("section of team tri was changed"))) << foreign.out.toStdString();
    EXPECT_EQ(runProgram({"check", regie, "--earlier", changed, "--team", "tri"}).exitCode, 1);
    EXPECT_EQ(runProgram({"check", write("bad.ini", "[document]\n")}).exitCode, 1);
}

// Guards against differences that are missing from the output.
TEST_F(ControlProgramTest, DiffReportsDifferences)
{
    EXPECT_EQ(runProgram({"diff", regie, regie}).exitCode, 0);
    const ProgramRun run = runProgram({"diff", regie, swan});
    EXPECT_EQ(run.exitCode, 1);
    EXPECT_TRUE(run.out.contains(QStringLiteral("- [service tri]\n")));
    EXPECT_TRUE(run.out.contains(QStringLiteral("+ [service yard-desk]\n")));
}

// Guards against exit code 0 although a process did not answer.
TEST_F(ControlProgramTest, StatusAsksProcesses)
{
    AdminHandlers handlers;
    handlers.status = [] {
        return QJsonObject{{QStringLiteral("name"), QStringLiteral("node-7")}};
    };
    AdminServer server({0x7f000001, 0}, handlers);
    ASSERT_TRUE(server.start()) << server.lastError().toStdString();
    const QByteArray address = server.endpoint().toString().toLatin1();
    const ProgramRun run = runProgram({"status", "--instances", write("list.txt", "# nodes\n" + address + " # first\n")});
    EXPECT_EQ(run.exitCode, 0) << run.err.toStdString();
    EXPECT_TRUE(run.out.contains(QStringLiteral("node-7"))) << run.out.toStdString();
    const ProgramRun silent = runProgram({"status", "--json", "--admin", address.toStdString() + ",127.0.0.1:1", "--timeout", "500"});
    EXPECT_EQ(silent.exitCode, 3);
    EXPECT_TRUE(silent.out.contains(QStringLiteral("\"error\""))) << silent.out.toStdString();
}

// Guards against reports that lose events of the files, or that include events outside the time range.
TEST_F(ControlProgramTest, IncidentsAndTimelineReadFiles)
{
    const Event broken{EventNumber::FlowBroken, QStringLiteral("agent-1"), 3, 1700000000000, QStringLiteral("udp a -> b"), 0, QStringLiteral("target lost")};
    const std::string events = write("events.log", broken.toJson() + '\n');
    const ProgramRun run = runProgram({"incidents", "--events", events});
    EXPECT_EQ(run.exitCode, 1);
    EXPECT_TRUE(run.out.contains(QStringLiteral("Flows broken: 1"))) << run.out.toStdString();
    EXPECT_EQ(runProgram({"incidents", "--events", events, "--from", "2023-11-14T22:13:21"}).exitCode, 0);
    EXPECT_EQ(runProgram({"incidents", "--events", events, "--to", "2023-11-14T23:13:20+01:00"}).exitCode, 1);
    EXPECT_EQ(runProgram({"incidents", "--events", events, "--admin", "127.0.0.1:1"}).exitCode, 3);
    const std::string page = m_folder.filePath(QStringLiteral("page.html")).toStdString();
    EXPECT_EQ(runProgram({"timeline", "--events", events, "--output", page}).exitCode, 0);
    EXPECT_TRUE(read(page).contains("FlowBroken"));
}

#ifdef RATTANPICK_HAS_CANDIDATE_TABLE
// Guards against an explanation that omits a target or gives a wrong reason.
TEST_F(ControlProgramTest, ExplainNamesEveryTarget)
{
    QByteArray text = read(regie);
    text.replace("[data-centre escale]\nowner = regie-net\nregion = thies\nstate = in", "[data-centre escale]\nowner = regie-net\nregion = thies\nstate = out");
    text.replace("agent = 127.10.1.2:6000\nweight = 100\nslots = 2\nconnections = 2000\nstate = in",
                 "agent = 127.10.1.2:6000\nweight = 100\nslots = 2\nconnections = 2000\nstate = draining");
    const std::string file = write("fleet.ini", text);
    const ProgramRun run = runProgram({"explain", file, "--flow", "udp 127.0.0.1:4000 -> 127.10.0.1:7000"});
    EXPECT_EQ(run.exitCode, 0) << run.err.toStdString();
    EXPECT_TRUE(run.out.contains(QStringLiteral("3 of 7 targets serve"))) << run.out.toStdString();
    for (const char *target : {"comptoir-3", "comptoir-5", "comptoir-6"}) {
        EXPECT_TRUE(run.out.contains(QStringLiteral(". %1 (agent").arg(QLatin1String(target)))) << run.out.toStdString();
    }
    for (const char *target : {"comptoir-1", "comptoir-4", "comptoir-7"}) {
        EXPECT_TRUE(run.out.contains(QStringLiteral("%1, data centre escale is out").arg(QLatin1String(target)))) << run.out.toStdString();
    }
    EXPECT_TRUE(run.out.contains(QStringLiteral("comptoir-2, draining"))) << run.out.toStdString();
    EXPECT_EQ(runProgram({"explain", file, "--flow", "udp 127.0.0.1:4000 -> 127.10.0.9:7000"}).exitCode, 1);
    EXPECT_EQ(runProgram({"explain", file, "--flow", "127.10.0.9:7000"}).exitCode, 2);
}
#endif

// Guards against a trace that does not lead from the address of a caller to the cause of its failed attempt.
TEST_F(ControlProgramTest, TraceShowsTheFlowsOfACaller)
{
    const QString flow = QStringLiteral("udp 100.64.0.7:40001 -> 198.18.0.1:443");
    const Event refused{EventNumber::FlowRefused, QStringLiteral("agent-1"), 3, 1700000000000, flow, 0, QStringLiteral("reason=cold hop=1")};
    const std::string events = write("events.log", refused.toJson() + '\n');
    const ProgramRun run = runProgram({"trace", "--events", events, "--caller", "100.64.0.7:40001"});
    EXPECT_EQ(run.exitCode, 0);
    EXPECT_TRUE(run.out.contains(QStringLiteral("reason=cold"))) << run.out.toStdString();
    EXPECT_EQ(runProgram({"trace", "--events", events, "--caller", "100.64.0.8"}).exitCode, 1);
}
