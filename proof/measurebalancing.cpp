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

/// Target speeds differ fourfold.
const std::vector<double> fourfoldSpeeds{1, 4, 2, 3, 1.5, 2.5, 3.5};

constexpr double loadShare = 0.7;
/// Flows for each target of the deployment.
constexpr int flowsPerTarget = 16;
constexpr Duration requestRunTime = 100ms;
/// Agents start cold, so nothing is measured before their ramps are over and queues are short again.
constexpr Duration leadIn = 60s;
constexpr Duration window = 30s;

/// One way of balancing to compare.
struct Variant
{
    const char *name;
    RoutingKind routing;
    /// Whether operators set weights in proportion to the speeds.
    bool hasTunedWeights;
};

constexpr std::array<Variant, 5> variants{{{"design", RoutingKind::Home, false},
                                           {"maglev", RoutingKind::Maglev, false},
                                           {"maglev, tuned weights", RoutingKind::Maglev, true},
                                           {"uniform", RoutingKind::Uniform, false},
                                           {"daisy chain", RoutingKind::DaisyChain, false}}};

/// One measured value.
struct Figure
{
    std::string deployment;
    int scale = 1;
    std::string variant;
    std::string measure;
    double value = 0;
    std::string unit;
};

/// A deployment at one size.
struct Size
{
    const char *name;
    int scale;

    Deployment deployment() const
    {
        return std::string(name) == "regie" ? Deployment::regie(scale) : Deployment::swan(scale);
    }
};

/// Collects figures and prints them as CSV and as a table.
class Report
{
public:
    void add(const Size &size, const Variant &variant, const std::string &measure, double value, const std::string &unit)
    {
        m_figures.push_back(Figure{size.name, size.scale, variant.name, measure, value, unit});
        std::printf("%-6s x%-3d %-22s %-48s %12.3f %s\n", size.name, size.scale, variant.name, measure.c_str(), value, unit.c_str());
        std::fflush(stdout);
    }

    void writeCsv(const std::string &path) const
    {
        std::ofstream file(path);
        file << "deployment,scale,variant,measure,value,unit\n";
        for (const Figure &figure : m_figures) {
            file << figure.deployment << ',' << figure.scale << ",\"" << figure.variant << "\",\"" << figure.measure << "\"," << figure.value << ','
                 << figure.unit << '\n';
        }
    }

private:
    std::vector<Figure> m_figures;
};

/// The value that 99% of the waits within the span do not exceed, in milliseconds; nothing without waits.
std::optional<double> percentile99(const ScenarioRun &run, const std::vector<CallerWait> &(FakeCaller::*waits)() const, Duration begin, Duration end)
{
    std::vector<double> values;
    for (const auto &caller : run.callers()) {
        for (const CallerWait &wait : (caller.get()->*waits)()) {
            if (wait.endedAt >= begin && wait.endedAt < end && wait.took > Duration::zero()) {
                values.push_back(std::chrono::duration<double, std::milli>(wait.took).count());
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

/// Share of the requests that ended within the span with an answer, in percent.
double answeredPercent(const ScenarioRun &run, Duration begin, Duration end)
{
    double ended = 0;
    double answered = 0;
    for (const auto &caller : run.callers()) {
        for (const CallerWait &wait : caller->requestWaits()) {
            if (wait.endedAt < begin || wait.endedAt >= end) {
                continue;
            }
            ended += 1;
            answered += wait.took > Duration::zero() ? 1 : 0;
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

/// Settings with speeds that differ fourfold and requests that keep the slots busy for the given share.
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

/// A planned change, as a fault of the run.
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
            const double utilisation = (after[index] - before[index]) / (service.slotCount * std::chrono::duration<double>(window).count());
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
    run.runUntil(leadIn);
    const CallerCounts before = totalCounts(run);
    const std::vector<double> busyBefore = busySeconds(run);
    const quint64 hopsBefore = run.extraHops();
    const quint64 packetsBefore = run.forwardedPackets();
    run.runUntil(leadIn + window);
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
    if (const auto wait = percentile99(run, &FakeCaller::dataWaits, leadIn, leadIn + window)) {
        report.add(size, variant, "added delay of data, 99th percentile", *wait - base, "ms");
    }
    if (const auto wait = percentile99(run, &FakeCaller::openWaits, leadIn, leadIn + window)) {
        report.add(size, variant, "added delay of openings, 99th percentile", *wait - base, "ms");
    }
    if (const auto wait = percentile99(run, &FakeCaller::requestWaits, leadIn, leadIn + window)) {
        report.add(size, variant, "time to answer, 99th percentile", *wait, "ms");
    }
}

void measureColdLoad(const Size &size, const Variant &variant, quint64 seed, Report &report)
{
    ScenarioRun run(loadedSettings(size, variant, seed, loadShare));
    run.runUntil(leadIn);
    run.targets()[0]->restart();
    run.targets()[2]->restart();
    run.runUntil(leadIn + window);
    const double peak = std::max(run.targets()[0]->peakColdLoad(), run.targets()[2]->peakColdLoad());
    report.add(size, variant, "peak load on cold targets over what they bear", peak, "");
}

// Data centre moves

void measureMove(const Size &size, const Variant &variant, quint64 seed, Report &report)
{
    constexpr double moveShare = 0.5;
    constexpr Duration outTime = 20s;
    constexpr Duration returnTime = 40s;
    ScenarioRun run(loadedSettings(size, variant, seed, moveShare));
    FaultInjector injector(run);
    run.runUntil(leadIn);
    injector.begin(Fault{FaultKind::TakeOutDataCentre, 0s, outTime, 1});
    run.runUntil(leadIn + outTime + returnTime);
    report.add(size, variant, "answered before the data centre leaves", answeredPercent(run, leadIn - 10s, leadIn), "%");
    report.add(size, variant, "answered in the first 4 s after it is out", answeredPercent(run, leadIn, leadIn + 4s), "%");
    report.add(size, variant, "answered while it is out", answeredPercent(run, leadIn + 4s, leadIn + outTime), "%");
    report.add(size, variant, "answered in the first 10 s after it returned", answeredPercent(run, leadIn + outTime, leadIn + outTime + 10s), "%");
    report.add(size, variant, "answered later", answeredPercent(run, leadIn + outTime + 10s, leadIn + outTime + returnTime), "%");
}

}

int main(int argc, char **argv)
{
    CLI::App app{"Measures the balancing of the design beside its baselines"};
    std::string csv;
    quint64 seed = 1;
    std::vector<int> scales{1, 10};
    std::string onlyDeployment;
    std::string onlyVariant;
    std::string onlyMeasure;
    app.add_option("--csv", csv, "File for all figures");
    app.add_option("--seed", seed, "Seed of all runs");
    app.add_option("--scales", scales, "Sizes in multiples of today's");
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
                    const bool isWanted = (onlyVariant.empty() || onlyVariant == variant.name) && (onlyMeasure.empty() || onlyMeasure == entry.name);
                    if (isWanted) {
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
