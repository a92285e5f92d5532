#include "rattanpickd/stream/streamdaemon.h"

#include <CLI/CLI.hpp>

#include <string>

using namespace Rattanpick;

namespace
{

// Baseline: an agent believes from its start that it knows every flow of its target. After a restart it denies flows that
// the target still holds, and their callers are reset.
void leaveOutAdoption(StreamAgentSettings &settings)
{
    settings.adoptionTime = Duration::zero();
}

}

/// Runs an agent that does not let its target decide about flows from before its start; for the soak alone.
int main(int argc, char **argv)
{
    CLI::App commandLine("Agent without adoption of flows, to prove that the soak finds it.", "rattanpickd_without_adoption");
    std::string settingsFile;
    CLI::App *command = commandLine.add_subcommand("stream-agent", "Runs beside a target that holds byte-stream flows.");
    command->add_option("--settings", settingsFile, "Settings file of this process")->required()->check(CLI::ExistingFile);
    commandLine.require_subcommand(1);
    CLI11_PARSE(commandLine, argc, argv);
    return runStreamDaemon({QString::fromStdString(settingsFile), DaemonRole::Agent, false, leaveOutAdoption});
}
