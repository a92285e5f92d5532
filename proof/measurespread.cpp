// Measures the distribution of the configuration with many simulated SpreadNode objects in one process.
// Prints CSV with one line per run on standard output, and a summary of each run on standard error.

#include "proof/spread/spreadfleet.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace Rattanpick;
using Proof::SpreadFleet;
using Proof::SpreadFleetSettings;
using Proof::SpreadMeasures;

namespace
{

// Targets of the design.
constexpr double targetSeconds = 4;
constexpr double targetKilobytesPerSecond = 28;
constexpr quint64 targetCalls = 2000;

constexpr double pausedShare = 0.05;
constexpr Duration pauseTime = 10s;

/// Interval at 3,500 changes a day.
constexpr Duration changeInterval = 25s;

/// Parameters of a run.
struct Run
{
    int nodes = 0;
    double loss = 0;
    quint64 seed = 1;
    bool isBaseline = false;
};

/// Times measured by a scenario; the report adds the measurements of the fleet.
struct Outcome
{
    /// Time until the document was in force on all nodes that were not paused; empty if it never was.
    std::optional<Duration> inForce;
    /// Time after the end of the pause until it was in force on the paused nodes too.
    std::optional<Duration> afterPause;
};

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string textOf(const std::optional<Duration> &duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", duration ? secondsOf(*duration) : -1.0);
    return text.data();
}

void setPlatformAnswers(SpreadFleet &fleet, bool isAnswering)
{
    for (int region = 0; region < SpreadFleet::regionCount; ++region) {
        fleet.setPlatformAnswers(region, isAnswering);
    }
}

/// Starts the fleet without loss and waits until document number 1 is in force everywhere.
bool settle(SpreadFleet &fleet)
{
    const QByteArray text = SpreadFleet::makeDocument(1);
    fleet.setDocument(text);
    fleet.startAll();
    const bool isSettled = fleet.runUntil([&] { return fleet.isInForceEverywhere(text); }, 120s).has_value();
    fleet.run(5s);
    return isSettled;
}

/// Waits until the document is in force, first on all nodes that are not paused, then on the paused ones.
Outcome awaitInForce(SpreadFleet &fleet, const QByteArray &text, Duration limit, Duration observed)
{
    const TimePoint start = fleet.now();
    Outcome outcome;
    outcome.inForce = fleet.runUntil([&] { return fleet.isInForceEverywhere(text); }, limit);
    const TimePoint pauseEnd = start + pauseTime;
    if (fleet.now() < pauseEnd) {
        fleet.run(pauseEnd - fleet.now());
    }
    outcome.afterPause = fleet.runUntil([&] { return fleet.isInForceEverywhere(text); }, limit);
    if (fleet.now() < start + observed) {
        fleet.run(start + observed - fleet.now());
    }
    return outcome;
}

Outcome steadyChanges(SpreadFleet &fleet)
{
    Outcome outcome{Duration::zero(), Duration::zero()};
    for (quint64 number = 2; number < 6; ++number) {
        const QByteArray text = SpreadFleet::makeDocument(number);
        fleet.setDocument(text);
        const Outcome change = awaitInForce(fleet, text, 20s, changeInterval);
        const bool isComplete = change.inForce && outcome.inForce;
        outcome.inForce = isComplete ? std::optional(std::max(*change.inForce, *outcome.inForce)) : std::nullopt;
        outcome.afterPause = change.afterPause;
    }
    return outcome;
}

Outcome change(SpreadFleet &fleet)
{
    fleet.pause(pausedShare, pauseTime);
    const QByteArray text = SpreadFleet::makeDocument(2);
    fleet.setDocument(text);
    return awaitInForce(fleet, text, 20s, 30s);
}

Outcome changeDuringDataCentreLoss(SpreadFleet &fleet)
{
    fleet.pause(pausedShare, pauseTime);
    const QByteArray text = SpreadFleet::makeDocument(2);
    fleet.setDocument(text);
    fleet.stopDataCentre(1);
    return awaitInForce(fleet, text, 20s, 30s);
}

Outcome regionPartition(SpreadFleet &fleet)
{
    fleet.setRegionsConnected(false);
    quint64 number = 1;
    for (Duration passed{}; passed < 5min; passed += changeInterval) {
        ++number;
        fleet.setDocument(0, SpreadFleet::makeDocument(number, "a"));
        fleet.setDocument(1, SpreadFleet::makeDocument(number + 1, "b"));
        fleet.run(changeInterval);
    }
    fleet.pause(pausedShare, pauseTime);
    fleet.setRegionsConnected(true);
    return awaitInForce(fleet, SpreadFleet::makeDocument(number + 1, "b"), 20s, 30s);
}

Outcome massRestart(SpreadFleet &fleet)
{
    fleet.startAll();
    fleet.pause(pausedShare, pauseTime);
    return awaitInForce(fleet, SpreadFleet::makeDocument(1), 60s, 60s);
}

Outcome platformRecovery(SpreadFleet &fleet)
{
    // The worst case: all processes restarted while the platform was down, so no node has a document.
    setPlatformAnswers(fleet, false);
    fleet.startAll();
    fleet.run(90s);
    fleet.pause(pausedShare, pauseTime);
    setPlatformAnswers(fleet, true);
    return awaitInForce(fleet, SpreadFleet::makeDocument(1), 60s, 30s);
}

struct Scenario
{
    const char *name;
    Outcome (*execute)(SpreadFleet &);
    /// Whether the 4 s target applies. After a restart, nodes first wait for peers and back-off delays.
    bool hasTimeTarget;
};

constexpr std::array scenarios{
    Scenario{"calm", steadyChanges, true},
    Scenario{"change", change, true},
    Scenario{"change, data centre lost", changeDuringDataCentreLoss, true},
    Scenario{"regions apart", regionPartition, true},
    Scenario{"mass restart", massRestart, false},
    Scenario{"platform returns", platformRecovery, false},
};

void execute(const Scenario &scenario, const Run &run)
{
    SpreadFleetSettings settings{.nodes = run.nodes, .seed = run.seed};
    if (run.isBaseline) {
        settings.strategy.reads = everyNodeReads;
        settings.strategy.usesPeers = false;
    }
    SpreadFleet fleet(settings);
    const bool isSettled = settle(fleet);
    fleet.setLoss(run.loss);
    fleet.resetMeasures();
    const TimePoint start = fleet.now();
    const Outcome outcome = scenario.execute(fleet);
    const double seconds = secondsOf(fleet.now() - start);
    const SpreadMeasures measures = fleet.measures();
    const double meanRate = static_cast<double>(measures.bytes) / run.nodes / seconds / 1000;
    const double maximumNodeRate = static_cast<double>(measures.maximumNodeBytes) / seconds / 1000;
    const bool isInTime = outcome.inForce && (!scenario.hasTimeTarget || secondsOf(*outcome.inForce) <= targetSeconds);
    const bool isMet =
        isSettled && isInTime && maximumNodeRate <= targetKilobytesPerSecond && measures.platformCallsPeak < targetCalls && measures.reverts == 0;
    const char *verdict = isMet ? "met" : "MISSED";
    const char *strategy = run.isBaseline ? "every node reads" : "spread";
    std::printf("%s,%s,%d,%.2f,%llu,%s,%s,%d,%.2f,%.3f,%.2f,%.2f,%llu,%llu,%llu,%s\n",
                strategy,
                ("\"" + std::string(scenario.name) + "\"").c_str(),
                run.nodes,
                run.loss,
                run.seed,
                textOf(outcome.inForce).c_str(),
                textOf(outcome.afterPause).c_str(),
                fleet.longestPath(),
                static_cast<double>(measures.notices) / run.nodes / seconds,
                static_cast<double>(measures.pulls) / run.nodes / seconds,
                meanRate,
                maximumNodeRate,
                measures.platformCallsPeak,
                measures.platformCalls,
                measures.reverts,
                verdict);
    std::fflush(stdout);
    std::fprintf(stderr,
                 "%s, %s, %d nodes, loss %.0f%%: in force after %s s, %.1f KB/s a node (most %.1f), %llu platform calls in the busiest second: %s\n",
                 strategy,
                 scenario.name,
                 run.nodes,
                 run.loss * 100,
                 textOf(outcome.inForce).c_str(),
                 meanRate,
                 maximumNodeRate,
                 measures.platformCallsPeak,
                 verdict);
}

}

int main(int argc, char **argv)
{
    CLI::App app("Measures the distribution of the configuration among simulated nodes in one process.");
    std::vector<int> sizes{100, 280, 2800, 21800};
    std::vector<double> losses{0, 0.05, 0.2};
    std::string only;
    quint64 seed = 1;
    bool isBaseline = false;
    app.add_option("--nodes", sizes, "Numbers of nodes");
    app.add_option("--loss", losses, "Shares of messages and pulls that are lost");
    app.add_option("--scenario", only, "Run only the scenario with this name");
    app.add_option("--seed", seed, "Seed of all random numbers");
    app.add_flag("--baseline", isBaseline, "Every node reads the platform by itself; no spread");
    CLI11_PARSE(app, argc, argv);

    std::puts("strategy,scenario,nodes,loss,seed,in_force_s,in_force_after_pause_s,rounds,notices_per_node_s,pulls_per_node_s,mean_kB_per_s,most_kB_per_s,"
              "platform_calls_peak,platform_calls,reverts,targets");
    for (const int nodes : sizes) {
        for (const double loss : losses) {
            for (const Scenario &scenario : scenarios) {
                if (only.empty() || only == scenario.name) {
                    execute(scenario, {nodes, loss, seed, isBaseline});
                }
            }
        }
    }
    return 0;
}
