#include "command.h"
#include "processoptions.h"

#include "operators/statusreport.h"

#include <QJsonDocument>

namespace Rattanpick
{

namespace
{

class StatusCommand : public Command
{
public:
    CLI::App *addTo(CLI::App &program) override
    {
        CLI::App *command =
            program.add_subcommand("status", "Show version, state, flows and refusals of processes; exit code 1 if different versions are in force");
        m_processes.addTo(*command);
        command->add_flag("--json", m_isJson, "Print JSON instead of a table");
        return command;
    }

    ExitCode run(QTextStream &out, QTextStream &err) override
    {
        const std::optional<QList<Endpoint>> endpoints = m_processes.endpoints(err);
        if (!endpoints.has_value()) {
            return ExitCode::Usage;
        }
        if (endpoints->isEmpty()) {
            err << "name at least one process by --admin or --instances\n";
            return ExitCode::Usage;
        }
        const StatusReport report = StatusReport::collect(*endpoints, m_processes.timeout());
        out << (m_isJson ? QString::fromUtf8(QJsonDocument(report.toJson()).toJson()) : report.toText());
        if (!report.isComplete()) {
            return ExitCode::NoAnswer;
        }
        return report.hasOneVersion() ? ExitCode::Success : ExitCode::Findings;
    }

private:
    ProcessOptions m_processes;
    bool m_isJson = false;
};

}

std::unique_ptr<Command> makeStatusCommand()
{
    return std::make_unique<StatusCommand>();
}

}
