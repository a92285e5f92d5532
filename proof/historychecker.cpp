#include "proof/historychecker.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Rattanpick::Proof
{

namespace
{

constexpr VirtualTime never = VirtualTime::max();

using RequestKey = std::pair<quint64, quint64>;

/// A time span; its end is `never` if it was still open at the end of the history.
struct Span
{
    VirtualTime begin{};
    VirtualTime end = never;
    std::size_t record = 0;
};

/// One execution of a request at a target.
struct Run
{
    QString target;
    VirtualTime begin{};
    VirtualTime end = never;
    std::size_t beginRecord = 0;
    std::size_t endRecord = 0;
    quint64 answerDigest = 0;
};

/// A published document and the time at which the first process put it in force.
struct Document
{
    DocumentPublished published;
    std::size_t publishedRecord = 0;
    VirtualTime accepted = never;
    std::size_t acceptedRecord = 0;
};

/// The records of a history, grouped by flow, request, process and target for the checks.
struct HistoryIndex
{
    explicit HistoryIndex(const History &history)
        : records(history.records())
    {
        for (std::size_t number = 0; number < records.size(); ++number) {
            end = records[number].at;
            std::visit([&](const auto &body) { add(number, body); }, records[number].body);
        }
    }

    // Records

    template <typename Body>
    void add(std::size_t, const Body &)
    {
    }

    void add(std::size_t number, const DocumentPublished &body)
    {
        documents.try_emplace(body.document, Document{body, number, never, 0});
    }

    void add(std::size_t number, const ConfigurationInForce &body)
    {
        inForce[party(number)].push_back(number);
        const auto found = documents.find(body.document);
        if (found != documents.end() && found->second.accepted == never) {
            found->second.accepted = at(number);
            found->second.acceptedRecord = number;
        }
    }

    void add(std::size_t number, const ProcessBegan &)
    {
        lifetimes[party(number)].push_back(Span{at(number), never, number});
    }

    void add(std::size_t number, const ProcessEnded &body)
    {
        endFirstOpen(lifetimes[party(number)], at(number));
        if (!body.isPlanned) {
            kills[party(number)].push_back(number);
        }
    }

    void add(std::size_t number, const DisturbanceBegan &)
    {
        disturbances[party(number)].push_back(Span{at(number), never, number});
    }

    void add(std::size_t number, const DisturbanceEnded &)
    {
        endFirstOpen(disturbances[party(number)], at(number));
    }

    void add(std::size_t number, const StopBegan &body)
    {
        stops.push_back(Stop{party(number), body.target, at(number), never, number, number});
    }

    void add(std::size_t number, const StopEnded &body)
    {
        for (Stop &stop : stops) {
            if (stop.process == party(number) && stop.target == body.target && stop.end == never) {
                stop.end = at(number);
                stop.endRecord = number;
            }
        }
    }

    void add(std::size_t number, const TargetTerminated &)
    {
        terminations[party(number)].push_back(number);
        for (auto &[key, runs] : runsOf) {
            for (Run &run : runs) {
                if (run.target == party(number) && run.end == never) {
                    run.end = at(number);
                    run.endRecord = number;
                }
            }
        }
    }

    void add(std::size_t number, const TargetOpenedFlow &body)
    {
        flowTargets[body.nonce].push_back(number);
    }

    void add(std::size_t number, const TargetRanRequest &body)
    {
        runsOf[{body.nonce, body.number}].push_back(Run{party(number), at(number), never, number, number, body.answerDigest});
    }

    void add(std::size_t number, const TargetEndedRequest &body)
    {
        const auto runs = runsOf.find({body.nonce, body.number});
        if (runs == runsOf.end()) {
            return;
        }
        for (Run &run : runs->second) {
            if (run.target == party(number) && run.end == never) {
                run.end = at(number);
                run.endRecord = number;
                break;
            }
        }
    }

    void add(std::size_t number, const FlowOpened &body)
    {
        openedFlows.try_emplace(body.nonce, number);
    }

    void add(std::size_t number, const CallerSentRequest &body)
    {
        sentRequests.try_emplace({body.nonce, body.number}, number);
    }

    void add(std::size_t number, const CallerCancelledRequest &body)
    {
        cancelledRequests.try_emplace({body.nonce, body.number}, number);
    }

    void add(std::size_t number, const RequestEnded &body)
    {
        endings.try_emplace({body.nonce, body.number}, number);
    }

    // Queries

    VirtualTime at(std::size_t number) const
    {
        return records[number].at;
    }

    const QString &party(std::size_t number) const
    {
        return records[number].party;
    }

    template <typename Body>
    const Body &body(std::size_t number) const
    {
        return std::get<Body>(records[number].body);
    }

    /// The time by which a change made at @p from must be effective in the process. Each disturbance that overlaps the
    /// remaining time restarts the effect time at its end; `never` if one has not ended.
    VirtualTime deadlineFor(const QString &process, VirtualTime from, VirtualTime effectTime) const
    {
        VirtualTime due = from + effectTime;
        const auto found = disturbances.find(process);
        if (found == disturbances.end()) {
            return due;
        }
        for (const Span &span : found->second) {
            if (span.end == never) {
                due = span.begin < due ? never : due;
            } else if (span.begin < due && span.end > from) {
                due = std::max(due, span.end + effectTime);
            }
            if (due == never) {
                break;
            }
        }
        return due;
    }

    /// Whether the process was disturbed or killed at any time within the span.
    bool wasDisturbed(const QString &process, VirtualTime from, VirtualTime until) const
    {
        const auto found = disturbances.find(process);
        if (found != disturbances.end() && std::ranges::any_of(found->second, [&](const Span &span) { return span.begin <= until && span.end >= from; })) {
            return true;
        }
        const auto killed = kills.find(process);
        return killed != kills.end() && std::ranges::any_of(killed->second, [&](std::size_t number) { return at(number) >= from && at(number) <= until; });
    }

    bool terminatedWithin(const QString &target, VirtualTime from, VirtualTime until) const
    {
        const auto found = terminations.find(target);
        return found != terminations.end() && std::ranges::any_of(found->second, [&](std::size_t number) { return at(number) >= from && at(number) <= until; });
    }

    /// The document since which @p holds has been true without interruption until @p time; null if it is not true then.
    template <typename Predicate>
    const Document *trueSince(VirtualTime time, Predicate holds) const
    {
        // Documents are ordered by identity: an accepted document replaces those before it, and a document with a lower
        // identity that is accepted later has no effect.
        std::vector<const Document *> accepted;
        for (const auto &[identity, document] : documents) {
            if (document.accepted <= time) {
                accepted.push_back(&document);
            }
        }
        std::ranges::stable_sort(accepted, {}, &Document::accepted);
        const Document *since = nullptr;
        std::optional<DocumentIdentity> highest;
        for (const Document *document : accepted) {
            if (highest && document->published.document < *highest) {
                continue;
            }
            highest = document->published.document;
            if (!holds(document->published)) {
                since = nullptr;
            } else if (since == nullptr) {
                since = document;
            }
        }
        return since;
    }

    struct Stop
    {
        QString process;
        QString target;
        VirtualTime begin{};
        VirtualTime end = never;
        std::size_t beginRecord = 0;
        std::size_t endRecord = 0;
    };

    const std::vector<Record> &records;
    VirtualTime end{};
    std::map<DocumentIdentity, Document> documents;
    std::map<QString, std::vector<std::size_t>> inForce;
    std::map<QString, std::vector<Span>> lifetimes;
    std::map<QString, std::vector<Span>> disturbances;
    std::map<QString, std::vector<std::size_t>> kills;
    std::map<QString, std::vector<std::size_t>> terminations;
    std::vector<Stop> stops;
    std::map<quint64, std::vector<std::size_t>> flowTargets;
    std::map<quint64, std::size_t> openedFlows;
    std::map<RequestKey, std::vector<Run>> runsOf;
    std::map<RequestKey, std::size_t> sentRequests;
    std::map<RequestKey, std::size_t> cancelledRequests;
    std::map<RequestKey, std::size_t> endings;

private:
    static void endFirstOpen(std::vector<Span> &spans, VirtualTime time)
    {
        // Disturbances of a party may overlap. Ending the earliest open span first never shortens their union.
        for (Span &span : spans) {
            if (span.end == never) {
                span.end = time;
                return;
            }
        }
    }
};

/// Collects the violations of one point.
struct Report
{
    int point = 0;
    std::vector<Violation> &violations;

    void add(const QString &text, std::vector<std::size_t> records) const
    {
        violations.push_back(Violation{point, text, std::move(records)});
    }
};

// P1

/// Whether a target that opened the flow ended, or had its data centre taken out, before @p time.
bool isFlowExempt(const HistoryIndex &index, quint64 nonce, VirtualTime time)
{
    const auto found = index.flowTargets.find(nonce);
    if (found == index.flowTargets.end()) {
        return false;
    }
    for (const std::size_t number : found->second) {
        if (index.terminatedWithin(index.party(number), index.at(number), time)) {
            return true;
        }
        const QString &dataCentre = index.body<TargetOpenedFlow>(number).dataCentre;
        for (const auto &[identity, document] : index.documents) {
            if (document.accepted <= time && document.published.outDataCentres.contains(dataCentre)) {
                return true;
            }
        }
    }
    return false;
}

void checkFlowsSurvive(const HistoryIndex &index, const HistoryCheckerSettings &, const Report &report)
{
    for (std::size_t number = 0; number < index.records.size(); ++number) {
        const auto *broken = std::get_if<FlowBroken>(&index.records[number].body);
        if (broken == nullptr) {
            continue;
        }
        const auto opened = index.openedFlows.find(broken->nonce);
        if (opened == index.openedFlows.end() || isFlowExempt(index, broken->nonce, index.at(number))) {
            continue;
        }
        report.add(QStringLiteral("an established flow broke although its target is alive and its data centre is in service"), {opened->second, number});
    }
}

// P2

void checkPacketsStayInService(const HistoryIndex &index, const HistoryCheckerSettings &, const Report &report)
{
    for (std::size_t number = 0; number < index.records.size(); ++number) {
        const auto *packet = std::get_if<PacketReachedTarget>(&index.records[number].body);
        if (packet != nullptr && packet->packetService != packet->targetService) {
            report.add(QStringLiteral("a packet reached a target of another service"), {number});
        }
    }
}

// P3

/// Capacity and running requests of one target at the current record.
struct TargetLoad
{
    std::optional<TargetBecameCold> cold;
    std::size_t coldRecord = 0;
    VirtualTime coldSince{};
    int running = 0;
    /// Unfinished requests that started above the capacity of the target, and the number of those that have ended.
    std::multiset<std::pair<quint64, quint64>> overloads;
    int endedOverloads = 0;
    std::vector<Run> runs;

    double warmShareAt(VirtualTime time) const
    {
        if (!cold || cold->warmTime.count() == 0) {
            return 1;
        }
        const double progress = static_cast<double>((time - coldSince).count()) / static_cast<double>(cold->warmTime.count());
        return std::min(1.0, cold->coldShare + (1 - cold->coldShare) * progress);
    }
};

/// Total busy time of the runs within the window from @p from to @p until, and the longest single run, in seconds.
std::pair<double, double> busyTime(const std::vector<Run> &runs, VirtualTime from, VirtualTime until)
{
    double busy = 0;
    double longest = 0;
    for (const Run &run : runs) {
        const VirtualTime begin = std::max(run.begin, from);
        const VirtualTime end = std::min(run.end, until);
        if (end <= begin) {
            continue;
        }
        const double seconds = std::chrono::duration<double>(end - begin).count();
        busy += seconds;
        longest = std::max(longest, seconds);
    }
    return {busy, longest};
}

/// Checks that the run that starts at record @p number does not overload a cold target.
void checkRunStart(const HistoryIndex &index,
                   const HistoryCheckerSettings &settings,
                   const Report &report,
                   TargetLoad &load,
                   std::size_t number,
                   const std::pair<quint64, quint64> &request)
{
    const VirtualTime now = index.at(number);
    if (!load.cold || load.warmShareAt(now) >= 1) {
        return;
    }
    const double capacity = load.cold->slots * load.warmShareAt(now);
    const bool isOverload = load.running > std::max(1, static_cast<int>(capacity));
    // Requests within the capacity of a cold target are as fast as before, so only those above it can reveal the change.
    const bool mayBeUndetected = load.cold->isSilent && (load.endedOverloads < settings.undetectedColdAllowance || now < load.coldSince + settings.effectTime);
    if (mayBeUndetected) {
        if (isOverload) {
            load.overloads.insert(request);
        }
        return;
    }
    if (isOverload) {
        report.add(QStringLiteral("a cold target ran %1 requests at the same time; its capacity is %2 slots").arg(load.running).arg(capacity),
                   {load.coldRecord, number});
        return;
    }
    const VirtualTime from = std::max(now - settings.loadWindow, load.coldSince);
    if (load.cold->isSilent || now - from < settings.loadWindow) {
        return;
    }
    // A target may always have one run in progress, so the longest run does not count against the share.
    const auto [busy, longest] = busyTime(load.runs, from, now);
    const double allowed = capacity * std::chrono::duration<double>(settings.loadWindow).count() + longest;
    if (busy > allowed) {
        report.add(QStringLiteral("a cold target was busy for %1 s of a window; its limit is %2 s").arg(busy).arg(allowed), {load.coldRecord, number});
    }
}

void checkColdTargets(const HistoryIndex &index, const HistoryCheckerSettings &settings, const Report &report)
{
    std::map<QString, TargetLoad> loads;
    for (std::size_t number = 0; number < index.records.size(); ++number) {
        const Record &record = index.records[number];
        if (const auto *cold = std::get_if<TargetBecameCold>(&record.body)) {
            TargetLoad &load = loads[record.party];
            load.cold = *cold;
            load.coldRecord = number;
            load.coldSince = record.at;
            load.overloads.clear();
            load.endedOverloads = 0;
        } else if (std::holds_alternative<TargetTerminated>(record.body)) {
            loads[record.party] = TargetLoad{};
        } else if (const auto *ran = std::get_if<TargetRanRequest>(&record.body)) {
            TargetLoad &load = loads[record.party];
            ++load.running;
            checkRunStart(index, settings, report, load, number, {ran->nonce, ran->number});
            for (const Run &run : index.runsOf.at({ran->nonce, ran->number})) {
                if (run.beginRecord == number) {
                    load.runs.push_back(run);
                }
            }
            std::erase_if(load.runs, [&](const Run &run) { return run.end < record.at - settings.loadWindow; });
        } else if (const auto *ended = std::get_if<TargetEndedRequest>(&record.body)) {
            TargetLoad &load = loads[record.party];
            --load.running;
            if (const auto overload = load.overloads.find({ended->nonce, ended->number}); overload != load.overloads.end()) {
                load.overloads.erase(overload);
                ++load.endedOverloads;
            }
        }
    }
}

// P4

void checkOutDataCentres(const HistoryIndex &index, const HistoryCheckerSettings &settings, const Report &report)
{
    for (std::size_t number = 0; number < index.records.size(); ++number) {
        const auto *packet = std::get_if<PacketReachedTarget>(&index.records[number].body);
        if (packet == nullptr) {
            continue;
        }
        const Document *since =
            index.trueSince(index.at(number), [&](const DocumentPublished &published) { return published.outDataCentres.contains(packet->dataCentre); });
        if (since == nullptr || index.at(number) <= index.deadlineFor(index.party(number), since->accepted, settings.effectTime)) {
            continue;
        }
        report.add(QStringLiteral("a packet reached data centre %1 after it was taken out").arg(packet->dataCentre), {since->acceptedRecord, number});
    }
}

// P5

void checkAnswers(const HistoryIndex &index, const HistoryCheckerSettings &settings, const Report &report)
{
    for (const auto &[key, number] : index.endings) {
        const auto &ended = index.body<RequestEnded>(number);
        if (ended.ending != Ending::Answered) {
            continue;
        }
        const auto runs = index.runsOf.find(key);
        const VirtualTime endedAt = index.at(number);
        const bool isOwn = runs != index.runsOf.end()
                           && std::ranges::any_of(runs->second, [&](const Run &run) { return run.begin <= endedAt && run.answerDigest == ended.answerDigest; });
        if (isOwn) {
            continue;
        }
        std::vector<std::size_t> records{number};
        if (runs != index.runsOf.end()) {
            records.push_back(runs->second.front().beginRecord);
        }
        report.add(QStringLiteral("a caller received an answer that no run of its request returned"), std::move(records));
    }
    for (const auto &[key, number] : index.sentRequests) {
        const VirtualTime due = index.body<CallerSentRequest>(number).deadline + settings.endingTime;
        if (!index.endings.contains(key) && index.end > due) {
            report.add(QStringLiteral("a request never ended for its caller"), {number});
        }
    }
}

// P6

void checkRefusals(const HistoryIndex &index, const HistoryCheckerSettings &, const Report &report)
{
    for (const auto &[key, number] : index.endings) {
        const auto runs = index.runsOf.find(key);
        if (index.body<RequestEnded>(number).ending != Ending::NotRun || runs == index.runsOf.end() || runs->second.empty()) {
            continue;
        }
        report.add(QStringLiteral("a request that was refused as not run was run"), {number, runs->second.front().beginRecord});
    }
}

// P7

void checkRunsOnce(const HistoryIndex &index, const HistoryCheckerSettings &, const Report &report)
{
    for (const auto &[key, number] : index.sentRequests) {
        const auto runs = index.runsOf.find(key);
        if (index.body<CallerSentRequest>(number).isIdempotent || runs == index.runsOf.end() || runs->second.size() < 2) {
            continue;
        }
        report.add(QStringLiteral("a request that is not idempotent ran %1 times").arg(runs->second.size()),
                   {number, runs->second[0].beginRecord, runs->second[1].beginRecord});
    }
}

// P8

void checkLeavingTargets(const HistoryIndex &index, const HistoryCheckerSettings &settings, const Report &report)
{
    for (std::size_t number = 0; number < index.records.size(); ++number) {
        const Record &record = index.records[number];
        if (!std::holds_alternative<TargetRanRequest>(record.body) && !std::holds_alternative<TargetOpenedFlow>(record.body)) {
            continue;
        }
        const Document *since =
            index.trueSince(record.at, [&](const DocumentPublished &published) { return published.drainingTargets.contains(record.party); });
        if (since == nullptr || record.at <= index.deadlineFor(record.party, since->accepted, settings.effectTime)) {
            continue;
        }
        report.add(QStringLiteral("a draining target received a new flow or request"), {since->acceptedRecord, number});
    }
}

// P9

/// Whether the caller received the answer of the run, or has not received it for a reason other than the stop.
bool isRunComplete(const HistoryIndex &index, const RequestKey &key, const Run &run, const HistoryIndex::Stop &stop)
{
    const auto ending = index.endings.find(key);
    if (ending == index.endings.end()) {
        return true;
    }
    if (index.body<RequestEnded>(ending->second).ending == Ending::Answered || index.cancelledRequests.contains(key)) {
        return true;
    }
    const auto sent = index.sentRequests.find(key);
    const bool wasLate = sent != index.sentRequests.end() && index.body<CallerSentRequest>(sent->second).deadline < run.end;
    return wasLate || index.terminatedWithin(run.target, run.begin, index.at(ending->second))
           || index.wasDisturbed(stop.process, run.begin, index.at(ending->second));
}

void checkStops(const HistoryIndex &index, const HistoryCheckerSettings &, const Report &report)
{
    for (const HistoryIndex::Stop &stop : index.stops) {
        for (const auto &[key, runs] : index.runsOf) {
            for (const Run &run : runs) {
                const bool isAffected = run.target == stop.target && run.begin < stop.end && run.end > stop.begin;
                if (!isAffected) {
                    continue;
                }
                if (run.end > stop.end && !index.terminatedWithin(run.target, run.begin, stop.end)) {
                    report.add(QStringLiteral("a planned stop ended while a request was running"), {stop.beginRecord, run.beginRecord, stop.endRecord});
                } else if (!isRunComplete(index, key, run, stop)) {
                    report.add(QStringLiteral("a request in progress at a planned stop was not answered"),
                               {stop.beginRecord, run.beginRecord, index.endings.at(key)});
                }
            }
        }
    }
}

// P10

/// The lifetime of the process at @p time; null if it was not running.
const Span *lifetimeAt(const HistoryIndex &index, const QString &process, VirtualTime time)
{
    const auto found = index.lifetimes.find(process);
    if (found == index.lifetimes.end()) {
        return nullptr;
    }
    for (const Span &lifetime : found->second) {
        if (lifetime.begin <= time && time < lifetime.end) {
            return &lifetime;
        }
    }
    return nullptr;
}

void checkNoReversal(const HistoryIndex &index, const Report &report)
{
    for (const auto &[process, numbers] : index.inForce) {
        for (std::size_t place = 1; place < numbers.size(); ++place) {
            const std::size_t earlier = numbers[place - 1];
            const std::size_t later = numbers[place];
            const bool isSameLifetime = lifetimeAt(index, process, index.at(earlier)) == lifetimeAt(index, process, index.at(later));
            if (isSameLifetime && index.body<ConfigurationInForce>(later).document < index.body<ConfigurationInForce>(earlier).document) {
                report.add(QStringLiteral("a process reverted to an earlier document"), {earlier, later});
            }
        }
    }
}

/// Index of the record of the latest document that the process put in force within its lifetime until @p time.
std::optional<std::size_t> inForceAt(const HistoryIndex &index, const QString &process, const Span &lifetime, VirtualTime time)
{
    std::optional<std::size_t> latest;
    const auto found = index.inForce.find(process);
    if (found == index.inForce.end()) {
        return latest;
    }
    for (const std::size_t number : found->second) {
        if (index.at(number) >= lifetime.begin && index.at(number) <= time) {
            latest = number;
        }
    }
    return latest;
}

void checkInForceEverywhere(const HistoryIndex &index, const HistoryCheckerSettings &settings, const Report &report)
{
    for (const auto &[identity, document] : index.documents) {
        if (document.accepted == never) {
            continue;
        }
        for (const auto &[process, lifetimes] : index.lifetimes) {
            for (const Span &lifetime : lifetimes) {
                const VirtualTime due = index.deadlineFor(process, std::max(document.accepted, lifetime.begin), settings.effectTime);
                if (due >= lifetime.end || due > index.end) {
                    continue;
                }
                const std::optional<std::size_t> used = inForceAt(index, process, lifetime, due);
                if (used && !(index.body<ConfigurationInForce>(*used).document < identity)) {
                    continue;
                }
                std::vector<std::size_t> records{document.acceptedRecord, lifetime.record};
                if (used) {
                    records.push_back(*used);
                }
                report.add(QStringLiteral("%1 did not put an accepted document in force in time").arg(process), std::move(records));
            }
        }
    }
}

void checkConfigurations(const HistoryIndex &index, const HistoryCheckerSettings &settings, const Report &report)
{
    checkNoReversal(index, report);
    checkInForceEverywhere(index, settings, report);
}

using Check = void (*)(const HistoryIndex &, const HistoryCheckerSettings &, const Report &);

constexpr std::array<Check, 10> checks{checkFlowsSurvive,
                                       checkPacketsStayInService,
                                       checkColdTargets,
                                       checkOutDataCentres,
                                       checkAnswers,
                                       checkRefusals,
                                       checkRunsOnce,
                                       checkLeavingTargets,
                                       checkStops,
                                       checkConfigurations};

}

HistoryChecker::HistoryChecker(const HistoryCheckerSettings &settings)
    : m_settings(settings)
{
}

std::vector<Violation> HistoryChecker::check(const History &history) const
{
    const HistoryIndex index(history);
    std::vector<Violation> violations;
    int point = 0;
    for (const Check checkOne : checks) {
        checkOne(index, m_settings, Report{++point, violations});
    }
    return violations;
}

std::vector<Violation> HistoryChecker::checkPoint(const History &history, int point) const
{
    const HistoryIndex index(history);
    std::vector<Violation> violations;
    checks.at(static_cast<std::size_t>(point - 1))(index, m_settings, Report{point, violations});
    return violations;
}

QString describe(const Violation &violation, const History &history)
{
    QString text = QStringLiteral("P%1: %2").arg(violation.point).arg(violation.text);
    for (const std::size_t record : violation.records) {
        text += QStringLiteral("\n  ") + history.describe(record);
    }
    return text;
}

}
