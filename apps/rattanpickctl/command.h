#pragma once

#include <CLI/CLI.hpp>

#include <QTextStream>

#include <memory>
#include <string>
#include <vector>

namespace Rattanpick
{

/// How a command ended; the exit code of the program.
enum class ExitCode : int {
    Fine = 0,
    /// Findings, differences or incidents.
    Findings = 1,
    /// Wrong options, or a file that cannot be read or written.
    Usage = 2,
    /// At least one process did not answer; the output holds what the others said.
    NoAnswer = 3,
};

/// One subcommand of rattanpickctl.
class Command
{
public:
    virtual ~Command() = default;

    /// Adds the subcommand with its options; they are kept in this object, which must outlive @p program.
    virtual CLI::App *addTo(CLI::App &program) = 0;

    /// Does the work after the options were parsed; output for people or programs to @p out, errors to @p err.
    virtual ExitCode run(QTextStream &out, QTextStream &err) = 0;
};

/// All subcommands of this build.
std::vector<std::unique_ptr<Command>> makeCommands();

// The subcommands, each in a source of its own.

/// check FILE: all findings of a document, and of the ownership of a change.
std::unique_ptr<Command> makeCheckCommand();
/// diff A B: sections and keys that differ.
std::unique_ptr<Command> makeDiffCommand();
/// status: state of processes.
std::unique_ptr<Command> makeStatusCommand();
/// explain FILE: the candidates of a flow.
std::unique_ptr<Command> makeExplainCommand();
/// incidents: broken flows and refused requests by cause.
std::unique_ptr<Command> makeIncidentsCommand();
/// timeline: events of all processes as a page.
std::unique_ptr<Command> makeTimelineCommand();
/// trace: what every process decided about the flows of a caller.
std::unique_ptr<Command> makeTraceCommand();

}
