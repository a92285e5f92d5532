#include "standins/callerstandin.h"
#include "standins/fabricstandin.h"
#include "standins/targetstandin.h"

#include <CLI/CLI.hpp>

#include <chrono>
#include <string>

using namespace Rattanpick;

namespace
{

/// Command-line options of all subcommands before conversion to settings.
struct Options
{
    std::string listen;
    std::string agent;
    std::string fabric;
    std::vector<std::string> services;
    long long serviceMilliseconds = 20;
    long long coldSeconds = 0;
    long long dataMilliseconds = 500;
    long long requestMilliseconds = 500;
    long long deadlineMilliseconds = 3000;
    long long delayMilliseconds = 50;
    double durationSeconds = 10;
    FabricStandInSettings fabricSettings;
    TargetStandInSettings targetSettings;
    CallerStandInSettings callerSettings;
};

void addFabric(CLI::App &commandLine, Options &options)
{
    FabricStandInSettings &settings = options.fabricSettings;
    CLI::App *command = commandLine.add_subcommand("fabric", "Forwards packets of callers to the balancers at random");
    command->add_option("--listen", options.listen, "Endpoint that callers send to, address:port")->required();
    command->add_option("--balancers", settings.balancersFile, "File with the fabric endpoint of one balancer per line; read again when it changes")
        ->required();
    command->add_option("--seed", settings.seed, "Seed of the random numbers")->capture_default_str();
    command->add_option("--drop", settings.dropPercent, "Percentage of packets dropped")->check(CLI::Range(0, 100))->capture_default_str();
    command->add_option("--delay", settings.delayPercent, "Percentage of packets delayed")->check(CLI::Range(0, 100))->capture_default_str();
    command->add_option("--delay-ms", options.delayMilliseconds, "Delay of delayed packets")->capture_default_str();
    command->add_option("--repeat", settings.repeatPercent, "Percentage of packets forwarded twice")->check(CLI::Range(0, 100))->capture_default_str();
    command->add_option("--reorder", settings.reorderPercent, "Percentage of packets overtaken by later ones")
        ->check(CLI::Range(0, 100))
        ->capture_default_str();
    command->final_callback([&options, &settings] {
        settings.listen = StandInProcess::endpointOrExit(options.listen);
        settings.delay = std::chrono::milliseconds(options.delayMilliseconds);
    });
}

void addTarget(CLI::App &commandLine, Options &options)
{
    TargetStandInSettings &settings = options.targetSettings;
    CLI::App *command = commandLine.add_subcommand("target", "Holds flows and runs requests next to an agent");
    command->add_option("--name", settings.name, "Name of the target in the record")->required();
    command->add_option("--listen", options.listen, "Endpoint that receives the commands of the agent, address:port")->required();
    command->add_option("--agent", options.agent, "Endpoint of the agent that receives replies, address:port")->required();
    command->add_option("--seed", settings.seed, "Seed of the random numbers")->capture_default_str();
    command->add_option("--slots", settings.slots, "Requests run in parallel")->check(CLI::Range(1, 1000))->capture_default_str();
    command->add_option("--service-ms", options.serviceMilliseconds, "Mean run time of a request")->capture_default_str();
    command->add_option("--speed", settings.speedPercent, "Speed in percent")->check(CLI::Range(1, 1000))->capture_default_str();
    command->add_option("--cold-seconds", options.coldSeconds, "Time until the target accepts its full load")->capture_default_str();
    command->add_option("--cold-share", settings.coldSharePercent, "Share of the full load accepted at the start, in percent")->capture_default_str();
    command->add_option("--data-ms", options.dataMilliseconds, "Time between two data messages on each flow; 0 for none")->capture_default_str();
    command->add_option("--late", settings.latePercent, "Percentage of answer parts sent late")->capture_default_str();
    command->add_option("--repeat", settings.repeatPercent, "Percentage of answer parts sent twice")->capture_default_str();
    command->add_option("--reorder", settings.reorderPercent, "Percentage of answer parts sent out of order")->capture_default_str();
    command->add_option("--control", settings.controlFile, "File with drain = yes|no and shed = PERCENT; read again when it changes");
    command->add_option("--record", settings.recordFile, "File for one JSON line per run of a request");
    command->final_callback([&options, &settings] {
        settings.listen = StandInProcess::endpointOrExit(options.listen);
        settings.agent = StandInProcess::endpointOrExit(options.agent);
        settings.serviceTime = std::chrono::milliseconds(options.serviceMilliseconds);
        settings.coldTime = std::chrono::seconds(options.coldSeconds);
        settings.dataInterval = std::chrono::milliseconds(options.dataMilliseconds);
    });
}

void addCaller(CLI::App &commandLine, Options &options)
{
    CallerStandInSettings &settings = options.callerSettings;
    CLI::App *command = commandLine.add_subcommand("caller", "Keeps flows open and sends data and requests on them");
    command->add_option("--fabric", options.fabric, "Endpoint of the fabric, address:port")->required();
    command->add_option("--service", options.services, "Address of a service, address:port; may be given several times")->required();
    command->add_option("--seed", settings.seed, "Seed of the random numbers")->capture_default_str();
    command->add_option("--flows", settings.flows, "Number of flows kept open")->check(CLI::Range(1, 20000))->capture_default_str();
    command->add_option("--duration", options.durationSeconds, "Seconds in which requests are sent")->capture_default_str();
    command->add_option("--request-ms", options.requestMilliseconds, "Mean time between two requests of a flow")->capture_default_str();
    command->add_option("--data-ms", options.dataMilliseconds, "Time between two data messages of a flow")->capture_default_str();
    command->add_option("--deadline-ms", options.deadlineMilliseconds, "Deadline of a request")->capture_default_str();
    command->add_option("--idempotent", settings.idempotentPercent, "Percentage of idempotent requests")->capture_default_str();
    command->add_option("--record", settings.recordFile, "File for one JSON line per result");
    command->final_callback([&options, &settings] {
        settings.fabric = StandInProcess::endpointOrExit(options.fabric);
        for (const std::string &service : options.services) {
            settings.services.push_back(StandInProcess::endpointOrExit(service));
        }
        settings.duration = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(options.durationSeconds));
        settings.requestInterval = std::chrono::milliseconds(options.requestMilliseconds);
        settings.dataInterval = std::chrono::milliseconds(options.dataMilliseconds);
        settings.requestDeadline = std::chrono::milliseconds(options.deadlineMilliseconds);
    });
}

}

int main(int argc, char **argv)
{
    CLI::App commandLine("Stand-ins for the fabric, a target and callers, for tests on loopback.", "standin");
    commandLine.require_subcommand(1);
    Options options;
    addFabric(commandLine, options);
    addTarget(commandLine, options);
    addCaller(commandLine, options);
    CLI11_PARSE(commandLine, argc, argv);

    StandInProcess::handleStopSignals();
    if (commandLine.got_subcommand("fabric")) {
        return FabricStandIn(options.fabricSettings).run();
    }
    if (commandLine.got_subcommand("target")) {
        return TargetStandIn(options.targetSettings).run();
    }
    return CallerStandIn(options.callerSettings).run();
}
