#include "command.h"
#include "files.h"

#include "balancer/candidatetable.h"
#include "operators/documentreader.h"

#include <algorithm>

namespace Rattanpick
{

namespace
{

// Role of each candidate for a flow, in order of rank.
constexpr std::array<const char *, CandidateTable::candidateCount> candidateRoles{
    "home agent: places new flows and keeps their directory entries",
    "second home agent: keeps the directory entries, places new flows while the home agent is suspected",
    "third candidate: may be offered new flows",
};

class ExplainCommand : public Command
{
public:
    CLI::App *addTo(CLI::App &program) override
    {
        CLI::App *command = program.add_subcommand("explain", "Show which targets are candidates for a flow, and why the others are not");
        command->add_option("file", m_file, "The document in force")->required()->type_name("FILE");
        command->add_option("--flow", m_flow, "The flow, such as \"udp 127.0.0.1:4000 -> 127.0.1.1:7000\"")->required()->type_name("FLOW");
        return command;
    }

    ExitCode run(QTextStream &out, QTextStream &err) override
    {
        const std::optional<FlowKey> flow = FlowKey::fromString(QString::fromStdString(m_flow));
        if (!flow.has_value()) {
            err << "--flow: not a flow (allowed: such as \"udp 127.0.0.1:4000 -> 127.0.1.1:7000\")\n";
            return ExitCode::Usage;
        }
        const std::optional<QByteArray> text = readFile(m_file, err);
        if (!text.has_value()) {
            return ExitCode::Usage;
        }
        DocumentReader reader(QString::fromStdString(m_file));
        const ConfigurationPointer configuration = reader.read(*text);
        if (configuration == nullptr) {
            printFindings(reader.findings(), out);
            return ExitCode::Findings;
        }
        const Service *service = configuration->findService(flow->service);
        if (service == nullptr) {
            out << "no service has the address " << flow->service.toString() << "; balancers drop the packets\n";
            return ExitCode::Findings;
        }
        explain(*configuration, *service, *flow, out);
        return ExitCode::Success;
    }

private:
    static void explain(const Configuration &configuration, const Service &service, const FlowKey &flow, QTextStream &out)
    {
        const CandidateTable table(configuration, service.id);
        const std::vector<const Target *> targets = configuration.targetsOf(service.id);
        out << flow.toString() << '\n';
        out << "document " << configuration.version().toString() << ", service " << service.name << ", " << table.targetCount() << " of " << targets.size()
            << " targets serve\n";
        out << "bucket " << table.bucketOf(flow) << " of " << table.bucketCount() << ", candidates by weighted rendezvous hash:\n";
        const CandidateTable::Candidates candidates = table.candidatesOf(flow);
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            const Target *target = configuration.findTarget(candidates.at(index).target);
            if (target == nullptr) {
                continue;
            }
            out << "  " << index + 1 << ". " << target->name << " (agent " << target->agent.toString() << ", weight " << target->weight << ", data centre "
                << target->dataCentre << "); " << candidateRoles.at(index) << '\n';
        }
        for (const Target *target : targets) {
            const bool isCandidate = std::ranges::any_of(candidates, [target](const Hop &hop) { return hop.target == target->id; });
            if (!isCandidate) {
                out << "  not a candidate: " << target->name << ", " << exclusionReason(configuration, *target) << '\n';
            }
        }
    }

    static QString exclusionReason(const Configuration &configuration, const Target &target)
    {
        if (configuration.findDataCentre(target.dataCentre)->isOut) {
            return QStringLiteral("data centre %1 is out").arg(target.dataCentre);
        }
        return target.isDraining ? QStringLiteral("draining") : QStringLiteral("ranks lower in this bucket");
    }

    std::string m_file;
    std::string m_flow;
};

}

std::unique_ptr<Command> makeExplainCommand()
{
    return std::make_unique<ExplainCommand>();
}

}
