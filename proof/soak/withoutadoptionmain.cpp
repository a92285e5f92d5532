#include "rattanpickd/stream/streamdaemon.h"

#include <CLI/CLI.hpp>

#include <string>

using namespace Rattanpick;

namespace
{

// Baseline: without adoption, an agent assumes from its start that its flow table is complete. After a restart it denies
// flows that the target still holds, and their callers receive a reset.
void disableAdoption(StreamAgentSettings &settings)
{
    settings.adoptsUnknownFlows = false;
}

}

/// Runs an agent that does not ask its target about flows from before its start. The soak must detect the fault.
int main(int argc, char **argv)
{
    CLI::App commandLine("Agent without adoption of flows, to prove that the soak detects the fault.", "rattanpickd_without_adoption");
    std::string settingsFile;
    CLI::App *command = commandLine.add_subcommand("stream-agent", "Runs next to a target that holds byte-stream flows.");
    command->add_option("--settings", settingsFile, "Settings file of this process")->required()->check(CLI::ExistingFile);
    commandLine.require_subcommand(1);
    CLI11_PARSE(commandLine, argc, argv);
    return runStreamDaemon({QString::fromStdString(settingsFile), DaemonRole::Agent, false, disableAdoption});
}
