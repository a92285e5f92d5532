#include "command.h"
#include "eventsources.h"

#include "operators/flowtrace.h"

namespace Rattanpick
{

namespace
{

class TraceCommand : public Command
{
public:
    CLI::App *addTo(CLI::App &program) override
    {
        CLI::App *command =
            program.add_subcommand("trace", "Show what every process decided about the flows of a caller, in causal order; exit code 1 if nothing is recorded");
        m_sources.addTo(*command);
        CLI::Option *flow = command->add_option("--flow", m_flow, "The flow, such as \"udp 100.64.0.7:40001 -> 198.18.0.1:443\"")->type_name("FLOW");
        command->add_option("--caller", m_caller, "Address of the caller, with or without its port")->type_name("ADDRESS")->excludes(flow);
        return command;
    }

    ExitCode run(QTextStream &out, QTextStream &err) override
    {
        if (m_flow.empty() && m_caller.empty()) {
            err << "name a flow by --flow or a caller by --caller\n";
            return ExitCode::Usage;
        }
        const std::optional<CollectedEvents> collected = m_sources.collect(err);
        if (!collected.has_value()) {
            return ExitCode::Usage;
        }
        const FlowTrace trace(collected->events, {QString::fromStdString(m_flow), QString::fromStdString(m_caller)});
        out << trace.toText();
        for (const QString &gap : collected->gaps) {
            out << "not read: " << gap << '\n';
        }
        if (collected->isAnswerMissing) {
            return ExitCode::NoAnswer;
        }
        return trace.flows().isEmpty() ? ExitCode::Findings : ExitCode::Success;
    }

private:
    EventSources m_sources;
    std::string m_flow;
    std::string m_caller;
};

}

std::unique_ptr<Command> makeTraceCommand()
{
    return std::make_unique<TraceCommand>();
}

}
