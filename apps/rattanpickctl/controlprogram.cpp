#include "controlprogram.h"

#include "command.h"

#include <sstream>
#include <string>

namespace Rattanpick
{

namespace
{

const char *const footer = "Exit codes: 0 success; 1 findings, differences or incidents; 2 wrong usage or a file that cannot be\n"
                           "read or written; 3 a process did not answer.";

}

ControlProgram::ControlProgram(QTextStream &out, QTextStream &err)
    : m_out(out)
    , m_err(err)
{
}

int ControlProgram::run(int argumentCount, const char *const *arguments)
{
    CLI::App program("Checks rattanpick documents and reports on running processes.", "rattanpickctl");
    program.footer(footer);
    program.require_subcommand(1);
    const std::vector<std::unique_ptr<Command>> commands = makeCommands();
    std::vector<CLI::App *> subcommands;
    for (const std::unique_ptr<Command> &command : commands) {
        subcommands.push_back(command->addTo(program));
        subcommands.back()->footer(footer);
    }
    try {
        program.parse(argumentCount, arguments);
    } catch (const CLI::ParseError &error) {
        std::ostringstream out;
        std::ostringstream err;
        const bool isHelp = program.exit(error, out, err) == 0;
        m_out << QString::fromStdString(out.str()) << Qt::flush;
        m_err << QString::fromStdString(err.str()) << Qt::flush;
        return static_cast<int>(isHelp ? ExitCode::Success : ExitCode::Usage);
    }
    for (std::size_t index = 0; index < commands.size(); ++index) {
        if (!subcommands[index]->parsed()) {
            continue;
        }
        const ExitCode code = commands[index]->run(m_out, m_err);
        m_out << Qt::flush;
        m_err << Qt::flush;
        return static_cast<int>(code);
    }
    return static_cast<int>(ExitCode::Usage);
}

std::vector<std::unique_ptr<Command>> makeCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(makeCheckCommand());
    commands.push_back(makeDiffCommand());
    commands.push_back(makeStatusCommand());
#ifdef RATTANPICK_HAS_CANDIDATE_TABLE
    commands.push_back(makeExplainCommand());
#endif
    commands.push_back(makeIncidentsCommand());
    commands.push_back(makeTimelineCommand());
    commands.push_back(makeTraceCommand());
    return commands;
}

}
