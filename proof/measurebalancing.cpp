#include "proof/faultinjector.h"
#include "proof/scenariorun.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <functional>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

using namespace Rattanpick;
using namespace Rattanpick::Proof;

namespace
{

/// Target speeds that differ by a factor of four.
const std::vector<double> fourfoldSpeeds{1, 4, 2, 3, 1.5, 2.5, 3.5};

constexpr double loadShare = 0.7;
/// Flows for each target of the deployment.
constexpr int flowsPerTarget = 16;
constexpr Duration requestRunTime = 100ms;
/// Agents treat their targets as cold when they start; measuring begins after the ramps, with short queues again.
constexpr Duration warmUpTime = 60s;
constexpr Duration measurementWindow = 30s;

/// A balancing strategy to compare.
struct Variant
{
    const char *name;
    RoutingKind routing;
    /// Whether the weights of the targets are proportional to their speeds.
    bool hasTunedWeights;
};

constexpr std::array<Variant, 5> variants{{{"design", RoutingKind::Home, false},
                                           {"maglev", RoutingKind::Maglev, false},
                                           {"maglev, tuned weights", RoutingKind::Maglev, true},
                                           {"uniform", RoutingKind::Uniform, false},
                                           {"daisy chain", RoutingKind::DaisyChain, false}}};

/// A measured value with its unit.
struct Measurement
{
    std::string deployment;
    int scale = 1;
    std::string variant;
    std::string measure;
    double value = 0;
    std::string unit;
};

/// A deployment at one scale.
struct Size
{
    const char *name;
    int scale;

    Deployment deployment() const
    {
        return std::string(name) == "regie" ? Deployment::regie(scale) : Deployment::swan(scale);
    }
};

/// Collects measurements; prints them as a table and writes them as CSV.
class Report
{
public:
    void add(const Size &size, const Variant &variant, const std::string &measure, double value, const std::string &unit)
    {
        m_measurements.push_back(Measurement{size.name, size.scale, variant.name, measure, value, unit});
        std::printf("%-6s x%-3d %-22s %-48s %12.3f %s\n", size.name, size.scale, variant.name, measure.c_str(), value, unit.c_str());
        std::fflush(stdout);
    }

    void writeCsv(const std::string &path) const
    {
        std::ofstream file(path);
        file << "deployment,scale,variant,measure,value,unit\n";
        for (const Measurement &measurement : m_measurements) {
            file << measurement.deployment << ',' << measurement.scale << ",\"" << measurement.variant << "\",\"" << measurement.measure << "\","
                 << measurement.value << ',' << measurement.unit << '\n';
        }
    }

private:
    std::vector<Measurement> m_measurements;
};

/// The 99th percentile of the latencies within the span, in milliseconds; empty without latencies.
std::optional<double> percentile99(const ScenarioRun &run, const std::vector<CallerLatency> &(FakeCaller::*waits)() const, Duration begin, Duration end)
{
    std::vector<double> values;
    for (const auto &caller : run.callers()) {
        for (const CallerLatency &latency : (caller.get()->*waits)()) {
            if (latency.endedAt >= begin && latency.endedAt < end && latency.duration > Duration::zero()) {
                values.push_back(std::chrono::duration<double, std::milli>(latency.duration).count());
            }
        }
    }
    if (values.empty()) {
        return std::nullopt;
    }
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(0.99 * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, place);
    return *place;
}

/// Percentage of answered requests among those that ended within the span.
double answeredPercent(const ScenarioRun &run, Duration begin, Duration end)
{
    double ended = 0;
    double answered = 0;
    for (const auto &caller : run.callers()) {
        for (const CallerLatency &latency : caller->requestLatencies()) {
            if (latency.endedAt < begin || latency.endedAt >= end) {
                continue;
            }
            ended += 1;
            answered += latency.duration > Duration::zero() ? 1 : 0;
        }
    }
    return ended > 0 ? 100 * answered / ended : 0;
}

CallerCounts totalCounts(const ScenarioRun &run)
{
    CallerCounts total;
    for (const auto &caller : run.callers()) {
        const CallerCounts &counts = caller->counts();
        total.openedFlows += counts.openedFlows;
        total.refusedFlows += counts.refusedFlows;
        total.brokenFlows += counts.brokenFlows;
        total.sentRequests += counts.sentRequests;
        total.answeredRequests += counts.answeredRequests;
        total.notRunRequests += counts.notRunRequests;
        total.unknownRequests += counts.unknownRequests;
    }
    return total;
}

ScenarioSettings settingsOf(const Size &size, const Variant &variant, quint64 seed)
{
    ScenarioSettings settings;
    settings.seed = seed;
    settings.deployment = size.deployment();
    settings.routing = variant.routing;
    settings.balancersPerDataCentre = size.scale;
    settings.callers = flowsPerTarget * static_cast<int>(settings.deployment.targets.size());
    settings.cancelShare = 0;
    return settings;
}

/// Settings with different target speeds and with requests that keep the given share of all slots busy.
ScenarioSettings loadedSettings(const Size &size, const Variant &variant, quint64 seed, double share)
{
    ScenarioSettings settings = settingsOf(size, variant, seed);
    settings.speeds = fourfoldSpeeds;
    settings.flowLifetime = 5s;
    settings.dataInterval = 1s;
    for (DeployedService &service : settings.deployment.services) {
        service.runTime = requestRunTime;
    }
    double capacity = 0;
    double firstCapacity = 0;
    std::size_t index = 0;
    for (DeployedTarget &target : settings.deployment.targets) {
        const double speed = fourfoldSpeeds[index++ % fourfoldSpeeds.size()];
        const double rate = settings.deployment.service(target.service).slotCount * speed / std::chrono::duration<double>(requestRunTime).count();
        capacity += rate;
        firstCapacity += target.service == settings.deployment.services[0].name ? rate : 0;
        target.weight = variant.hasTunedWeights ? static_cast<int>(100 * speed) : 100;
    }
    settings.firstServiceShare = firstCapacity / capacity;
    settings.requestInterval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(settings.callers / (capacity * share)));
    return settings;
}

// Broken flows

/// A planned change that is injected as a fault.
struct PlannedChange
{
    const char *name;
    FaultKind kind;
    Duration duration;
};

constexpr std::array<PlannedChange, 7> plannedChanges{{{"target added", FaultKind::AddTarget, 20s},
                                                       {"target removed", FaultKind::RemoveTarget, 20s},
                                                       {"target drained", FaultKind::DrainTarget, 20s},
                                                       {"target drained and back", FaultKind::DrainTarget, 5s},
                                                       {"weight changed", FaultKind::ReweightTarget, 20s},
                                                       {"agent restarted", FaultKind::StopAgent, 20s},
                                                       {"data centre out and back", FaultKind::TakeOutDataCentre, 8s}}};

void measureBrokenFlows(const Size &size, const Variant &variant, quint64 seed, Report &report)
{
    for (const PlannedChange &change : plannedChanges) {
        ScenarioSettings settings = settingsOf(size, variant, seed);
        settings.requestInterval = Duration::zero();
        settings.warmUp = 6s;
        settings.duration = 14s;
        settings.faults = {Fault{change.kind, 0s, change.duration, 3}};
        ScenarioRun run(settings);
        run.run();
        const CallerCounts counts = totalCounts(run);
        const double flows = static_cast<double>(run.callers().size());
        report.add(size, variant, std::string("broken flows, ") + change.name, 100 * static_cast<double>(counts.brokenFlows) / flows, "%");
    }
}

// Load

/// Busy time of each target.
std::vector<double> busySeconds(const ScenarioRun &run)
{
    std::vector<double> seconds;
    for (const auto &target : run.targets()) {
        seconds.push_back(std::chrono::duration<double>(target->busyTime()).count());
    }
    return seconds;
}

void reportUtilisation(const Size &size, const Variant &variant, const ScenarioRun &run, const std::vector<double> &before, Report &report)
{
    const std::vector<double> after = busySeconds(run);
    const Deployment deployment = size.deployment();
    for (const DeployedService &service : deployment.services) {
        double peak = 0;
        double sum = 0;
        double count = 0;
        for (std::size_t index = 0; index < deployment.targets.size(); ++index) {
            if (deployment.targets[index].service != service.name) {
                continue;
            }
            const double utilisation = (after[index] - before[index]) / (service.slotCount * std::chrono::duration<double>(measurementWindow).count());
            peak = std::max(peak, utilisation);
            sum += utilisation;
            count += 1;
        }
        const double mean = sum / count;
        const std::string name = service.name.toStdString();
        report.add(size, variant, "mean utilisation, " + name, 100 * mean, "%");
        report.add(size, variant, "peak-to-mean utilisation, " + name, mean > 0 ? peak / mean : 0, "");
    }
}

void measureLoad(const Size &size, const Variant &variant, quint64 seed, Report &report)
{
    ScenarioRun run(loadedSettings(size, variant, seed, loadShare));
    run.runUntil(warmUpTime);
    const CallerCounts before = totalCounts(run);
    const std::vector<double> busyBefore = busySeconds(run);
    const quint64 hopsBefore = run.extraHops();
    const quint64 packetsBefore = run.forwardedPackets();
    run.runUntil(warmUpTime + measurementWindow);
    const CallerCounts after = totalCounts(run);
    reportUtilisation(size, variant, run, busyBefore, report);
    const auto share = [](quint64 part, quint64 whole) {
        return whole > 0 ? 100 * static_cast<double>(part) / static_cast<double>(whole) : 0;
    };
    const quint64 sent = after.sentRequests - before.sentRequests;
    report.add(size, variant, "requests refused as not run", share(after.notRunRequests - before.notRunRequests, sent), "%");
    report.add(size, variant, "requests with unknown outcome", share(after.unknownRequests - before.unknownRequests, sent), "%");
    const quint64 refusedFlows = after.refusedFlows - before.refusedFlows;
    report.add(size, variant, "flows refused", share(refusedFlows, refusedFlows + after.openedFlows - before.openedFlows), "%");
    report.add(size, variant, "extra hops of a packet, mean", share(run.extraHops() - hopsBefore, run.forwardedPackets() - packetsBefore) / 100, "");
    const double base = 2 * std::chrono::duration<double, std::milli>(run.deployment().callerLatency).count();
    if (const auto latency = percentile99(run, &FakeCaller::dataLatencies, warmUpTime, warmUpTime + measurementWindow)) {
        report.add(size, variant, "added delay of data, 99th percentile", *latency - base, "ms");
    }
    if (const auto latency = percentile99(run, &FakeCaller::openLatencies, warmUpTime, warmUpTime + measurementWindow)) {
        report.add(size, variant, "added delay of openings, 99th percentile", *latency - base, "ms");
    }
    if (const auto latency = percentile99(run, &FakeCaller::requestLatencies, warmUpTime, warmUpTime + measurementWindow)) {
        report.add(size, variant, "time to answer, 99th percentile", *latency, "ms");
    }
}

void measureColdLoad(const Size &size, const Variant &variant, quint64 seed, Report &report)
{
    ScenarioRun run(loadedSettings(size, variant, seed, loadShare));
    run.runUntil(warmUpTime);
    run.targets()[0]->restart();
    run.targets()[2]->restart();
    run.runUntil(warmUpTime + measurementWindow);
    const double peak = std::max(run.targets()[0]->peakColdLoad(), run.targets()[2]->peakColdLoad());
    report.add(size, variant, "peak load on cold targets over what they bear", peak, "");
}

// Data centre taken out and returned

void measureMove(const Size &size, const Variant &variant, quint64 seed, Report &report)
{
    constexpr double moveShare = 0.5;
    constexpr Duration outTime = 20s;
    constexpr Duration returnTime = 40s;
    ScenarioRun run(loadedSettings(size, variant, seed, moveShare));
    FaultInjector injector(run);
    run.runUntil(warmUpTime);
    injector.begin(Fault{FaultKind::TakeOutDataCentre, 0s, outTime, 1});
    run.runUntil(warmUpTime + outTime + returnTime);
    report.add(size, variant, "answered before the data centre leaves", answeredPercent(run, warmUpTime - 10s, warmUpTime), "%");
    report.add(size, variant, "answered in the first 4 s after it is out", answeredPercent(run, warmUpTime, warmUpTime + 4s), "%");
    report.add(size, variant, "answered while it is out", answeredPercent(run, warmUpTime + 4s, warmUpTime + outTime), "%");
    report.add(size, variant, "answered in the first 10 s after it returned", answeredPercent(run, warmUpTime + outTime, warmUpTime + outTime + 10s), "%");
    report.add(size, variant, "answered later", answeredPercent(run, warmUpTime + outTime + 10s, warmUpTime + outTime + returnTime), "%");
}

}

int main(int argc, char **argv)
{
    CLI::App app{"Measures the balancing of the design and of its baselines"};
    std::string csv;
    quint64 seed = 1;
    std::vector<int> scales{1, 10};
    std::string onlyDeployment;
    std::string onlyVariant;
    std::string onlyMeasure;
    app.add_option("--csv", csv, "File for all figures");
    app.add_option("--seed", seed, "Seed of all runs");
    app.add_option("--scales", scales, "Sizes of the deployments in multiples of their present size");
    app.add_option("--deployment", onlyDeployment, "Only this deployment: regie or swan");
    app.add_option("--variant", onlyVariant, "Only this variant, such as design or maglev");
    app.add_option("--measure", onlyMeasure, "Only this measure: flows, load, cold or move");
    CLI11_PARSE(app, argc, argv);

    Report report;
    using Measure = void (*)(const Size &, const Variant &, quint64, Report &);
    struct NamedMeasure
    {
        const char *name;
        Measure measure;
    };
    constexpr std::array<NamedMeasure, 4> measures{{{"flows", measureBrokenFlows}, {"load", measureLoad}, {"cold", measureColdLoad}, {"move", measureMove}}};
    for (const int scale : scales) {
        for (const char *name : {"regie", "swan"}) {
            if (!onlyDeployment.empty() && onlyDeployment != name) {
                continue;
            }
            for (const Variant &variant : variants) {
                for (const NamedMeasure &entry : measures) {
                    const bool isSelected = (onlyVariant.empty() || onlyVariant == variant.name) && (onlyMeasure.empty() || onlyMeasure == entry.name);
                    if (isSelected) {
                        entry.measure(Size{name, scale}, variant, seed, report);
                    }
                }
            }
        }
    }
    if (!csv.empty()) {
        report.writeCsv(csv);
    }
    return 0;
}
