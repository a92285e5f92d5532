#include "proof/historychecker.h"
#include "proof/pointscenarios.h"
#include "proof/scenariorun.h"

#include <CLI/CLI.hpp>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

using namespace Rattanpick;
using namespace Rattanpick::Proof;

namespace
{

/// Threads for the randomised runs; each run is single-threaded.
constexpr unsigned runThreads = 4;

constexpr std::size_t minimumFaults = 3;
constexpr std::size_t maximumFaults = 6;

/// Result of one run for a point.
struct RunResult
{
    std::size_t violations = 0;
    QString first;
    std::size_t records = 0;
    /// Totals over all callers; a run without opened flows proves nothing.
    quint64 openedFlows = 0;
    quint64 answeredRequests = 0;
};

/// Results of a point without and with its mechanism: one row of the report.
struct PointResult
{
    PointScenario scenario;
    RunResult without;
    RunResult with;

    bool isProved() const
    {
        return without.violations > 0 && with.violations == 0 && with.openedFlows > 0;
    }
};

/// Seed of the run in progress on this thread, reported when an assertion fails.
thread_local quint64 currentSeed = 0;

/// Prints the seed when RP_ASSERT aborts, so that the run can be repeated.
void reportAbort(int)
{
    std::fprintf(stderr, "aborted in the run with seed %llu\n", static_cast<unsigned long long>(currentSeed));
}

RunResult runAndCheck(const ScenarioSettings &settings, int point)
{
    ScenarioRun run(settings);
    run.run();
    const std::vector<Violation> violations = HistoryChecker().checkPoint(run.history(), point);
    RunResult result{violations.size(), {}, run.history().records().size()};
    for (const auto &caller : run.callers()) {
        result.openedFlows += caller->counts().openedFlows;
        result.answeredRequests += caller->counts().answeredRequests;
    }
    if (!violations.empty()) {
        result.first = describe(violations.front(), run.history());
    }
    return result;
}

PointResult provePoint(int point, quint64 seed)
{
    PointResult row;
    row.scenario = pointScenario(point, seed);
    row.with = runAndCheck(row.scenario.settings, point);
    ScenarioSettings naive = row.scenario.settings;
    naive.baselinePoint = point;
    row.without = runAndCheck(naive, point);
    return row;
}

QJsonObject toJson(const PointResult &row)
{
    return QJsonObject{{QStringLiteral("point"), row.scenario.point},
                       {QStringLiteral("mechanism"), row.scenario.mechanism},
                       {QStringLiteral("baseline"), row.scenario.baseline},
                       {QStringLiteral("seed"), static_cast<qint64>(row.scenario.settings.seed)},
                       {QStringLiteral("violationsWithout"), static_cast<qint64>(row.without.violations)},
                       {QStringLiteral("firstWithout"), row.without.first},
                       {QStringLiteral("recordsWithout"), static_cast<qint64>(row.without.records)},
                       {QStringLiteral("violationsWith"), static_cast<qint64>(row.with.violations)},
                       {QStringLiteral("firstWith"), row.with.first},
                       {QStringLiteral("recordsWith"), static_cast<qint64>(row.with.records)},
                       {QStringLiteral("flowsWith"), static_cast<qint64>(row.with.openedFlows)},
                       {QStringLiteral("answersWith"), static_cast<qint64>(row.with.answeredRequests)},
                       {QStringLiteral("proved"), row.isProved()}};
}

void print(const PointResult &row)
{
    std::printf("P%-3d %-44s %-42s seed %-4llu without: %5zu violations  with: %zu violations in %zu records (%llu flows, %llu answers)  %s\n",
                row.scenario.point,
                qPrintable(row.scenario.mechanism),
                qPrintable(row.scenario.baseline),
                static_cast<unsigned long long>(row.scenario.settings.seed),
                row.without.violations,
                row.with.violations,
                row.with.records,
                static_cast<unsigned long long>(row.with.openedFlows),
                static_cast<unsigned long long>(row.with.answeredRequests),
                row.isProved() ? "ok" : "NOT PROVED");
    if (!row.without.first.isEmpty()) {
        std::printf("     without: %s\n", qPrintable(row.without.first));
    }
    if (!row.with.first.isEmpty()) {
        std::printf("     with: %s\n", qPrintable(row.with.first));
    }
}

/// Totals over all randomised runs.
struct Totals
{
    std::size_t runs = 0;
    std::size_t records = 0;
    std::size_t messages = 0;
    std::size_t failedRuns = 0;
    std::vector<std::size_t> violations = std::vector<std::size_t>(pointCount + 1);
};

std::size_t faultCountOf(quint64 seed)
{
    return minimumFaults + seed % (maximumFaults - minimumFaults + 1);
}

void printTrace(const ScenarioSettings &settings, const QString &text)
{
    ScenarioRun run(settings);
    run.run();
    for (std::size_t index = 0; index < run.history().records().size(); ++index) {
        const QString line = run.history().describe(index);
        if (line.contains(text)) {
            std::printf("%s\n", qPrintable(line));
        }
    }
    for (const Violation &violation : HistoryChecker().check(run.history())) {
        std::printf("%s\n", qPrintable(describe(violation, run.history())));
    }
}

void runSeed(quint64 seed, int baselinePoint, Totals &totals, std::mutex &mutex)
{
    currentSeed = seed;
    ScenarioSettings settings = randomScenario(seed, faultCountOf(seed));
    settings.baselinePoint = baselinePoint;
    ScenarioRun run(settings);
    run.run();
    const std::vector<Violation> violations = HistoryChecker().check(run.history());
    const std::lock_guard lock(mutex);
    ++totals.runs;
    totals.records += run.history().records().size();
    totals.messages += run.network().deliveredMessages();
    totals.failedRuns += violations.empty() ? 0 : 1;
    for (const Violation &violation : violations) {
        ++totals.violations[static_cast<std::size_t>(violation.point)];
    }
    if (!violations.empty() && baselinePoint == 0) {
        std::printf("seed %llu: %zu violations; faults: %s\n  %s\n",
                    static_cast<unsigned long long>(seed),
                    violations.size(),
                    qPrintable(describe(settings.faults)),
                    qPrintable(describe(violations.front(), run.history())));
        std::fflush(stdout);
    }
}

Totals runSeeds(quint64 first, quint64 count, int baselinePoint)
{
    Totals totals;
    std::mutex mutex;
    std::atomic<quint64> next = first;
    std::vector<std::jthread> threads;
    for (unsigned index = 0; index < runThreads; ++index) {
        threads.emplace_back([&] {
            for (quint64 seed = next++; seed < first + count; seed = next++) {
                runSeed(seed, baselinePoint, totals, mutex);
            }
        });
    }
    threads.clear();
    return totals;
}

void print(const Totals &totals)
{
    std::printf("%zu runs, %zu records, %zu messages, %zu runs with violations\n", totals.runs, totals.records, totals.messages, totals.failedRuns);
    for (int point = 1; point <= pointCount; ++point) {
        std::printf("  P%d: %zu violations\n", point, totals.violations[static_cast<std::size_t>(point)]);
    }
}

}

int main(int argc, char **argv)
{
    std::signal(SIGABRT, reportAbort);
    CLI::App app{"Runs a scenario for each of P1 to P10 without and with its mechanism and checks the histories"};
    quint64 seed = 1;
    quint64 seeds = 0;
    quint64 firstSeed = 1;
    int onlyPoint = 0;
    bool isJson = false;
    std::string trace;
    bool isBaseline = false;
    app.add_option("--seed", seed, "Seed of the runs, except randomised ones");
    app.add_option("--seeds", seeds, "Number of randomised runs, which replace the runs of single points");
    app.add_option("--first-seed", firstSeed, "First seed of the randomised runs");
    app.add_option("--point", onlyPoint, "Only this point")->check(CLI::Range(1, pointCount));
    app.add_flag("--json", isJson, "Print JSON");
    app.add_option(
        "--trace", trace, "Print the records of one run that contain the text, then exit; with --seeds 1, of the randomised run with the seed --first-seed");
    app.add_flag("--naive", isBaseline, "Run the randomised or traced run without the mechanism of --point");
    CLI11_PARSE(app, argc, argv);

    if (!trace.empty()) {
        ScenarioSettings settings = seeds > 0 ? randomScenario(firstSeed, faultCountOf(firstSeed)) : pointScenario(std::max(1, onlyPoint), seed).settings;
        settings.baselinePoint = isBaseline ? onlyPoint : 0;
        printTrace(settings, QString::fromStdString(trace));
        return 0;
    }
    if (seeds > 0) {
        const Totals totals = runSeeds(firstSeed, seeds, isBaseline ? onlyPoint : 0);
        print(totals);
        return totals.failedRuns == 0 ? 0 : 1;
    }
    bool isProved = true;
    QJsonArray array;
    for (int point = 1; point <= pointCount; ++point) {
        if (onlyPoint != 0 && point != onlyPoint) {
            continue;
        }
        const PointResult row = provePoint(point, seed);
        isProved = isProved && row.isProved();
        if (isJson) {
            array.append(toJson(row));
        } else {
            print(row);
        }
    }
    if (isJson) {
        std::printf("%s\n", QJsonDocument(array).toJson(QJsonDocument::Compact).constData());
    }
    return isProved ? 0 : 1;
}
