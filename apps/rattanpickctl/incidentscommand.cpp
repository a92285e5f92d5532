#include "command.h"
#include "eventsources.h"

#include "operators/incidentreport.h"

#include <QJsonDocument>

namespace Rattanpick
{

namespace
{

class IncidentsCommand : public Command
{
public:
    CLI::App *addTo(CLI::App &program) override
    {
        CLI::App *command = program.add_subcommand(
            "incidents", "Report broken flows, refused flows and requests, and unknown outcomes, by cause; exit code 1 if there are any");
        m_sources.addTo(*command);
        command->add_flag("--json", m_isJson, "Print JSON instead of text");
        return command;
    }

    ExitCode run(QTextStream &out, QTextStream &err) override
    {
        const std::optional<CollectedEvents> collected = m_sources.collect(err);
        if (!collected.has_value()) {
            return ExitCode::Usage;
        }
        const IncidentReport report(collected->events, collected->gaps);
        out << (m_isJson ? QString::fromUtf8(QJsonDocument(report.toJson()).toJson()) : report.toText());
        if (collected->isAnswerMissing) {
            return ExitCode::NoAnswer;
        }
        return report.isEmpty() ? ExitCode::Success : ExitCode::Findings;
    }

private:
    EventSources m_sources;
    bool m_isJson = false;
};

}

std::unique_ptr<Command> makeIncidentsCommand()
{
    return std::make_unique<IncidentsCommand>();
}

}
