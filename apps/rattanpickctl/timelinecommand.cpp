#include "command.h"
#include "eventsources.h"
#include "files.h"

#include "operators/timelinepage.h"

namespace Rattanpick
{

namespace
{

class TimelineCommand : public Command
{
public:
    CLI::App *addTo(CLI::App &program) override
    {
        CLI::App *command = program.add_subcommand("timeline", "Write the events of all processes as an HTML page, causes left of effects");
        m_sources.addTo(*command);
        command->add_option("--output", m_output, "The page to write")->type_name("FILE")->capture_default_str();
        return command;
    }

    ExitCode run(QTextStream &out, QTextStream &err) override
    {
        const std::optional<CollectedEvents> collected = m_sources.collect(err);
        if (!collected.has_value() || !writeFile(m_output, TimelinePage(collected->events, collected->gaps).toHtml(), err)) {
            return ExitCode::Usage;
        }
        out << QString::fromStdString(m_output) << ": " << collected->events.size() << " events\n";
        return collected->isAnswerMissing ? ExitCode::NoAnswer : ExitCode::Success;
    }

private:
    EventSources m_sources;
    std::string m_output = "timeline.html";
};

}

std::unique_ptr<Command> makeTimelineCommand()
{
    return std::make_unique<TimelineCommand>();
}

}
