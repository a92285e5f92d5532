#pragma once

#include <CLI/CLI.hpp>

#include <QTextStream>

#include <memory>
#include <string>
#include <vector>

namespace Rattanpick
{

/// Result of a command; the exit code of the program.
enum class ExitCode : int {
    Success = 0,
    /// There are findings, differences or incidents.
    Findings = 1,
    /// Invalid options, or a file that cannot be read or written.
    Usage = 2,
    /// At least one process did not answer; the output contains the answers of the others.
    NoAnswer = 3,
};

/// One subcommand of rattanpickctl.
class Command
{
public:
    virtual ~Command() = default;

    /// Adds the subcommand and its options. The parsed values are stored in this object, which must outlive @p program.
    virtual CLI::App *addTo(CLI::App &program) = 0;

    /// Runs the command with the parsed options; writes output to @p out and errors to @p err.
    virtual ExitCode run(QTextStream &out, QTextStream &err) = 0;
};

/// All subcommands of this build.
std::vector<std::unique_ptr<Command>> makeCommands();

// The subcommands, each in its own source file.

/// check FILE: all findings in a document, and changes to sections of other teams.
std::unique_ptr<Command> makeCheckCommand();
/// diff A B: sections and keys that differ.
std::unique_ptr<Command> makeDiffCommand();
/// status: state of running processes.
std::unique_ptr<Command> makeStatusCommand();
/// explain FILE: the candidates of a flow.
std::unique_ptr<Command> makeExplainCommand();
/// incidents: broken flows and refused requests by cause.
std::unique_ptr<Command> makeIncidentsCommand();
/// timeline: events of all processes as an HTML page.
std::unique_ptr<Command> makeTimelineCommand();
/// trace: what every process decided about the flows of a caller.
std::unique_ptr<Command> makeTraceCommand();

}
