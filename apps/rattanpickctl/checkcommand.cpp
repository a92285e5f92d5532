#include "command.h"
#include "files.h"

#include "operators/documentreader.h"
#include "operators/ownershipcheck.h"

namespace Rattanpick
{

namespace
{

class CheckCommand : public Command
{
public:
    CLI::App *addTo(CLI::App &program) override
    {
        CLI::App *command = program.add_subcommand("check", "Check a document as the daemons do, and print all findings");
        command->add_option("file", m_file, "The document to check")->required()->type_name("FILE");
        CLI::Option *earlier =
            command->add_option("--earlier", m_earlier, "The document in force; check that the change touches own sections only")->type_name("FILE");
        CLI::Option *team = command->add_option("--team", m_team, "The team that makes the change")->type_name("NAME");
        earlier->needs(team);
        team->needs(earlier);
        return command;
    }

    ExitCode run(QTextStream &out, QTextStream &err) override
    {
        const std::optional<QByteArray> text = readFile(m_file, err);
        if (!text.has_value()) {
            return ExitCode::Usage;
        }
        const QString file = QString::fromStdString(m_file);
        DocumentReader reader(file);
        const ConfigurationPointer configuration = reader.read(*text);
        Findings findings = reader.findings();
        if (!m_earlier.empty()) {
            const std::optional<QByteArray> earlier = readFile(m_earlier, err);
            if (!earlier.has_value()) {
                return ExitCode::Usage;
            }
            findings += OwnershipCheck(file, QString::fromStdString(m_team)).check(*earlier, *text);
            findings += versionFindings(file, *earlier, configuration);
        }
        printFindings(findings, out);
        if (!findings.isEmpty()) {
            return ExitCode::Findings;
        }
        out << file << ": valid, version " << configuration->version().toString() << ", " << configuration->services().size() << " services, "
            << configuration->targets().size() << " targets\n";
        return ExitCode::Success;
    }

private:
    // Processes ignore a document whose version is not above the one in force.
    Findings versionFindings(const QString &file, const QByteArray &earlierText, const ConfigurationPointer &later) const
    {
        DocumentReader reader(QString::fromStdString(m_earlier));
        const ConfigurationPointer earlier = reader.read(earlierText);
        if (earlier == nullptr) {
            return reader.findings();
        }
        if (later == nullptr || later->version().number > earlier->version().number) {
            return {};
        }
        return {{{file, 0, QStringLiteral("document")},
                 QStringLiteral("version %1 does not increase").arg(later->version().number),
                 QStringLiteral("a number above %1").arg(earlier->version().number)}};
    }

    std::string m_file;
    std::string m_earlier;
    std::string m_team;
};

}

std::unique_ptr<Command> makeCheckCommand()
{
    return std::make_unique<CheckCommand>();
}

}
