#include "proof/spread/spreadfleet.h"

#include <configservice/backoff.h>
#include <core/assertion.h>
#include <core/identifiers.h>

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>

namespace Rattanpick::Proof
{

namespace
{

/// Address of the first node; the address of a node is this plus its index.
constexpr quint32 firstAddress = 0x0a000000;
constexpr quint16 tunnelPort = 7000;
constexpr quint16 adminPort = 7001;

/// Size of a version notice: IP and UDP headers, tunnel header and body.
constexpr quint64 noticeBytes = 130;

/// Overhead of a pull: TCP set-up and close, HTTP headers and JSON. The answer itself is sent as base64.
constexpr quint64 pullBytes = 1200;

/// Number of sections of a document, each of about 100 bytes.
constexpr int sectionCount = 16;

constexpr Duration conditionCheckInterval = 10ms;

int indexOf(const Endpoint &endpoint)
{
    return static_cast<int>(endpoint.address - firstAddress);
}

}

struct SpreadFleet::Node
{
    SpreadNodeSettings settings;
    std::unique_ptr<SpreadNode> node;
    /// Increases with each start and stop, so that answers to an earlier incarnation are dropped.
    quint64 lifetime = 0;
    TimePoint pausedUntil{};
    ConfigurationVersion version;
    /// Number of pulls through which the version came from the platform.
    int path = 0;
    quint64 bytes = 0;
    /// Number of the pending platform call for each subject; 0 if there is none.
    std::array<quint64, 2> calls{};
};

struct TickEvent
{
    quint64 lifetime = 0;
};

struct NoticeEvent
{
    int from = 0;
    ConfigurationVersion version;
    VersionNotice notice;
};

struct PullEvent
{
    PullDocument request;
    quint64 lifetime = 0;
};

struct FailedPullEvent
{
    Endpoint admin;
    quint64 lifetime = 0;
};

struct PlatformEvent
{
    ReadPlatform request;
    quint64 lifetime = 0;
    bool isRefused = false;
    /// Latest time at which a watch is answered.
    TimePoint deadline{};
    /// Number of the call: a watch has one event for a change and one for its deadline, and only the first counts.
    quint64 call = 0;
};

struct SpreadFleet::Event
{
    TimePoint time;
    quint64 sequence = 0;
    int node = 0;
    std::variant<TickEvent, NoticeEvent, PullEvent, FailedPullEvent, PlatformEvent> body;

    /// Heap order that puts the earliest event first.
    static bool isLater(const Event &a, const Event &b)
    {
        return std::tie(b.time, b.sequence) < std::tie(a.time, a.sequence);
    }
};

struct SpreadFleet::Replica
{
    QByteArray document;
    quint64 revision = 0;
    bool isAnswering = true;
    /// Watches that wait for a document change.
    std::vector<Event> watches;
};

/// Shares equal snapshots between nodes: 21,800 lists of 21,800 instances do not fit into memory.
class SpreadFleet::SharedSnapshotFactory : public InstanceSnapshotFactory
{
public:
    InstanceSnapshotPointer make(quint64 revision, const InstanceList &instances) override
    {
        InstanceSnapshotPointer &shared = m_byRevision[revision];
        if (!shared) {
            shared = InstanceSnapshotFactory::make(revision, instances);
            m_byDigest[hashBytes(shared->encoded)] = shared;
        }
        return shared;
    }

    InstanceSnapshotPointer decode(const QByteArray &encoded) override
    {
        InstanceSnapshotPointer &shared = m_byDigest[hashBytes(encoded)];
        if (!shared) {
            shared = InstanceSnapshotFactory::decode(encoded);
        }
        return shared;
    }

private:
    std::unordered_map<quint64, InstanceSnapshotPointer> m_byRevision;
    std::unordered_map<quint64, InstanceSnapshotPointer> m_byDigest;
};

SpreadFleet::SpreadFleet(const SpreadFleetSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_now(1h)
    , m_nodes(static_cast<std::size_t>(settings.nodes))
    , m_snapshots(std::make_shared<SharedSnapshotFactory>())
{
    for (auto &replica : m_replicas) {
        replica = std::make_unique<Replica>();
    }
    m_settings.strategy.parser = parse;
    m_settings.strategy.snapshots = m_snapshots;
    for (int index = 0; index < settings.nodes; ++index) {
        SpreadNodeSettings &node = m_nodes[static_cast<std::size_t>(index)].settings;
        node = settings.node;
        node.name = QStringLiteral("node-%1").arg(index, 5, 10, QLatin1Char('0'));
        node.dataCentre = QStringLiteral("data-centre-%1").arg(dataCentreOf(index));
        node.tunnel = {firstAddress + static_cast<quint32>(index), tunnelPort};
        node.admin = {firstAddress + static_cast<quint32>(index), adminPort};
        m_instances.append({node.name, InstanceRole::Agent, node.dataCentre, node.tunnel, node.admin, TargetId{}, false});
    }
}

SpreadFleet::~SpreadFleet() = default;

// Faults and changes

void SpreadFleet::startAll()
{
    for (int index = 0; index < m_settings.nodes; ++index) {
        start(index);
    }
}

void SpreadFleet::start(int node)
{
    Node &state = m_nodes[static_cast<std::size_t>(node)];
    ++state.lifetime;
    state.settings.seed = m_random();
    state.node = std::make_unique<SpreadNode>(state.settings, m_settings.strategy, m_now);
    state.version = {};
    state.pausedUntil = {};
    post(m_now + randomDuration(m_settings.tickInterval, m_random), {.time = {}, .sequence = 0, .node = node, .body = TickEvent{state.lifetime}});
}

void SpreadFleet::stop(int node)
{
    Node &state = m_nodes[static_cast<std::size_t>(node)];
    ++state.lifetime;
    state.node.reset();
}

void SpreadFleet::stopDataCentre(int dataCentre)
{
    for (int index = 0; index < m_settings.nodes; ++index) {
        if (dataCentreOf(index) == dataCentre) {
            stop(index);
        }
    }
}

void SpreadFleet::stopReaders(int dataCentre)
{
    for (int index = 0; index < m_settings.nodes; ++index) {
        if (dataCentreOf(index) == dataCentre && isRunning(index) && node(index).isReader()) {
            stop(index);
        }
    }
}

void SpreadFleet::pause(double share, Duration time)
{
    std::bernoulli_distribution isChosen(share);
    for (Node &state : m_nodes) {
        if (isChosen(m_random)) {
            state.pausedUntil = m_now + time;
        }
    }
}

void SpreadFleet::setDocument(int region, const QByteArray &text)
{
    Replica &replica = *m_replicas[static_cast<std::size_t>(region)];
    replica.document = text;
    ++replica.revision;
    for (Event &watch : std::exchange(replica.watches, {})) {
        std::get<PlatformEvent>(watch.body).deadline = m_now;
        post(m_now, watch);
    }
}

void SpreadFleet::setDocument(const QByteArray &text)
{
    for (int region = 0; region < regionCount; ++region) {
        setDocument(region, text);
    }
}

void SpreadFleet::setPlatformAnswers(int region, bool isAnswering)
{
    Replica &replica = *m_replicas[static_cast<std::size_t>(region)];
    replica.isAnswering = isAnswering;
    for (Event &watch : std::exchange(replica.watches, {})) {
        std::get<PlatformEvent>(watch.body).deadline = m_now;
        post(m_now, watch);
    }
}

void SpreadFleet::setRegionsConnected(bool areConnected)
{
    m_areRegionsConnected = areConnected;
}

void SpreadFleet::setLoss(double share)
{
    m_loss = share;
}

void SpreadFleet::setAnswerFilter(std::function<std::optional<QByteArray>(int, const QByteArray &)> filter)
{
    m_answerFilter = std::move(filter);
}

// Run

void SpreadFleet::run(Duration time)
{
    const TimePoint end = m_now + time;
    while (!m_events.empty() && m_events.front().time <= end) {
        std::ranges::pop_heap(m_events, Event::isLater);
        const Event event = m_events.back();
        m_events.pop_back();
        m_now = event.time;
        deliver(event);
    }
    m_now = end;
}

std::optional<Duration> SpreadFleet::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const TimePoint start = m_now;
    while (!condition()) {
        if (m_now - start >= limit) {
            return std::nullopt;
        }
        run(conditionCheckInterval);
    }
    return m_now - start;
}

void SpreadFleet::post(TimePoint time, Event event)
{
    event.time = time;
    event.sequence = ++m_sequence;
    m_events.push_back(event);
    std::ranges::push_heap(m_events, Event::isLater);
}

void SpreadFleet::deliver(const Event &event)
{
    const auto &state = m_nodes[static_cast<std::size_t>(event.node)];
    if (const auto *body = std::get_if<TickEvent>(&event.body)) {
        if (body->lifetime == state.lifetime) {
            tick(event.node);
        }
    } else if (const auto *notice = std::get_if<NoticeEvent>(&event.body)) {
        if (!isActive(event.node)) {
            return;
        }
        SpreadActions actions;
        const Endpoint &tunnel = m_nodes[static_cast<std::size_t>(notice->from)].settings.tunnel;
        state.node->onPeerVersion(m_now, tunnel, notice->version, notice->notice, actions);
        execute(event.node, notice->from, actions);
    } else if (std::holds_alternative<PullEvent>(event.body)) {
        answerPull(event);
    } else if (const auto *failed = std::get_if<FailedPullEvent>(&event.body)) {
        if (failed->lifetime == state.lifetime && isActive(event.node)) {
            SpreadActions actions;
            state.node->onPulledDocument(m_now, failed->admin, std::nullopt, actions);
            execute(event.node, event.node, actions);
        }
    } else {
        answerPlatform(event);
    }
}

void SpreadFleet::tick(int index)
{
    Node &state = m_nodes[static_cast<std::size_t>(index)];
    const TimePoint next = std::max(m_now + m_settings.tickInterval, state.pausedUntil);
    if (isActive(index)) {
        SpreadActions actions;
        state.node->onTick(m_now, actions);
        execute(index, index, actions);
    }
    post(next, {.time = {}, .sequence = 0, .node = index, .body = TickEvent{state.lifetime}});
}

void SpreadFleet::execute(int index, int source, SpreadActions &actions)
{
    for (const SpreadAction &action : actions) {
        executeAction(index, source, action);
    }
}

void SpreadFleet::executeAction(int index, int source, const SpreadAction &action)
{
    Node &state = m_nodes[static_cast<std::size_t>(index)];
    if (const auto *notice = std::get_if<SendVersionNotice>(&action)) {
        sendNotice(index, *notice);
    } else if (const auto *pull = std::get_if<PullDocument>(&action)) {
        sendPull(index, *pull);
    } else if (const auto *read = std::get_if<ReadPlatform>(&action)) {
        callPlatform(index, *read);
    } else if (const auto *adopted = std::get_if<ApplyConfiguration>(&action)) {
        const ConfigurationVersion version = adopted->configuration->version();
        m_measures.reverts += version < state.version ? 1 : 0;
        state.version = version;
        state.path = source == index ? 0 : m_nodes[static_cast<std::size_t>(source)].path + 1;
    }
}

void SpreadFleet::sendNotice(int from, const SendVersionNotice &action)
{
    const int to = indexOf(action.to);
    ++m_measures.notices;
    countBytes(from, to, noticeBytes);
    if (!isTransmitted(from, to)) {
        return;
    }
    const ConfigurationPointer configuration = node(from).configuration();
    const ConfigurationVersion version = configuration ? configuration->version() : ConfigurationVersion{};
    post(m_now + latency(from, to), {.time = {}, .sequence = 0, .node = to, .body = NoticeEvent{from, version, action.notice}});
}

void SpreadFleet::sendPull(int from, const PullDocument &action)
{
    const int to = indexOf(action.admin);
    const quint64 lifetime = m_nodes[static_cast<std::size_t>(from)].lifetime;
    ++m_measures.pulls;
    countBytes(from, to, pullBytes);
    if (!isTransmitted(from, to)) {
        // TCP retransmits lost segments, so a loss here stands for a call that never completes.
        return;
    }
    // TCP set-up and the request with its answer take two round trips.
    const Duration time = 4 * latency(from, to);
    if (!isRunning(to)) {
        post(m_now + time, {.time = {}, .sequence = 0, .node = from, .body = FailedPullEvent{action.admin, lifetime}});
        return;
    }
    post(m_now + time, {.time = {}, .sequence = 0, .node = from, .body = PullEvent{action, lifetime}});
}

void SpreadFleet::answerPull(const Event &event)
{
    const auto &body = std::get<PullEvent>(event.body);
    const int server = indexOf(body.request.admin);
    Node &state = m_nodes[static_cast<std::size_t>(event.node)];
    if (body.lifetime != state.lifetime || !isActive(event.node) || !isActive(server)) {
        return;
    }
    std::optional<QByteArray> answer = node(server).documentDelta(body.request.from, body.request.instanceRevision);
    countBytes(server, event.node, static_cast<quint64>(answer->size()) * 4 / 3);
    if (m_answerFilter) {
        answer = m_answerFilter(server, *answer);
    }
    SpreadActions actions;
    state.node->onPulledDocument(m_now, body.request.admin, answer, actions);
    execute(event.node, server, actions);
}

void SpreadFleet::callPlatform(int from, const ReadPlatform &action)
{
    countCall();
    PlatformEvent body{action, m_nodes[static_cast<std::size_t>(from)].lifetime, false, m_now + m_settings.watchTime, ++m_sequence};
    m_nodes[static_cast<std::size_t>(from)].calls.at(static_cast<std::size_t>(action.subject)) = body.call;
    body.isRefused = m_callsBySecond.rbegin()->second > m_settings.platformLimit;
    post(m_now + m_settings.latencyPlatform, {.time = {}, .sequence = 0, .node = from, .body = body});
}

void SpreadFleet::answerPlatform(const Event &event)
{
    const auto &body = std::get<PlatformEvent>(event.body);
    Node &state = m_nodes[static_cast<std::size_t>(event.node)];
    quint64 &call = state.calls.at(static_cast<std::size_t>(body.request.subject));
    m_waitingWatches.erase(body.call);
    if (body.lifetime != state.lifetime || !state.node || call != body.call) {
        return;
    }
    Replica &replica = *m_replicas[static_cast<std::size_t>(regionOf(event.node))];
    const bool isDocument = body.request.subject == PlatformSubject::Document;
    // The instance list of a fleet never changes and has revision 1.
    const quint64 revision = isDocument ? replica.revision : 1;
    if (replica.isAnswering && !body.isRefused && body.request.afterRevision == revision && m_now < body.deadline) {
        m_waitingWatches.insert(body.call);
        if (isDocument) {
            replica.watches.push_back(event);
        }
        post(body.deadline, event);
        return;
    }
    std::erase_if(replica.watches, [&body](const Event &watch) { return std::get<PlatformEvent>(watch.body).call == body.call; });
    call = 0;
    if (!isActive(event.node)) {
        return;
    }
    SpreadActions actions;
    if (!replica.isAnswering || body.isRefused) {
        state.node->onPlatformFailure(m_now, QStringLiteral("no answer"), actions, body.request.subject);
    } else if (body.request.afterRevision == revision) {
        state.node->onPlatformUnchanged(m_now, body.request.subject, actions);
    } else if (isDocument) {
        state.node->onPlatformDocument(m_now, revision, replica.document, actions);
    } else {
        state.node->onInstanceList(m_now, m_instances, actions, revision);
    }
    execute(event.node, event.node, actions);
}

void SpreadFleet::countCall()
{
    const qint64 second = std::chrono::duration_cast<std::chrono::seconds>(m_now.time_since_epoch()).count();
    quint64 &calls = m_callsBySecond[second];
    // Watches that were started in an earlier second and are still waiting count as calls of this second too.
    calls += calls == 0 ? m_waitingWatches.size() + 1 : 1;
    ++m_measures.platformCalls;
    m_measures.platformCallsPeak = std::max(m_measures.platformCallsPeak, calls);
}

void SpreadFleet::countBytes(int from, int to, quint64 bytes)
{
    m_measures.bytes += 2 * bytes;
    m_nodes[static_cast<std::size_t>(from)].bytes += bytes;
    m_nodes[static_cast<std::size_t>(to)].bytes += bytes;
}

bool SpreadFleet::isTransmitted(int from, int to)
{
    if (!m_areRegionsConnected && regionOf(from) != regionOf(to)) {
        return false;
    }
    return m_loss <= 0 || !std::bernoulli_distribution(m_loss)(m_random);
}

Duration SpreadFleet::latency(int from, int to) const
{
    if (dataCentreOf(from) == dataCentreOf(to)) {
        return m_settings.latencyNear;
    }
    return regionOf(from) == regionOf(to) ? m_settings.latencyRegion : m_settings.latencyFar;
}

// State

bool SpreadFleet::isInForceEverywhere(const QByteArray &text) const
{
    const ConfigurationVersion version = parse(text).configuration->version();
    return std::ranges::all_of(m_nodes, [this, &version](const Node &state) { return !state.node || m_now < state.pausedUntil || state.version == version; });
}

bool SpreadFleet::isConverged() const
{
    const Node *first = nullptr;
    for (const Node &state : m_nodes) {
        if (!state.node) {
            continue;
        }
        if (!state.node->configuration() || (first != nullptr && state.version != first->version)) {
            return false;
        }
        first = &state;
    }
    return true;
}

bool SpreadFleet::areAllReady() const
{
    return std::ranges::all_of(m_nodes, [this](const Node &state) { return !state.node || m_now < state.pausedUntil || state.node->isReady(m_now); });
}

SpreadNode &SpreadFleet::node(int index)
{
    RP_ASSERT(isRunning(index));
    return *m_nodes[static_cast<std::size_t>(index)].node;
}

bool SpreadFleet::isRunning(int index) const
{
    return m_nodes[static_cast<std::size_t>(index)].node != nullptr;
}

bool SpreadFleet::isActive(int index) const
{
    return isRunning(index) && m_now >= m_nodes[static_cast<std::size_t>(index)].pausedUntil;
}

int SpreadFleet::dataCentreOf(int node)
{
    return node % dataCentreCount;
}

int SpreadFleet::regionOf(int node)
{
    return dataCentreOf(node) * regionCount / dataCentreCount;
}

int SpreadFleet::longestPath() const
{
    int longest = 0;
    for (const Node &state : m_nodes) {
        longest = std::max(longest, state.node ? state.path : 0);
    }
    return longest;
}

SpreadMeasures SpreadFleet::measures() const
{
    SpreadMeasures measures = m_measures;
    for (const Node &state : m_nodes) {
        measures.maximumNodeBytes = std::max(measures.maximumNodeBytes, state.bytes);
    }
    return measures;
}

void SpreadFleet::resetMeasures()
{
    m_measures = {};
    m_callsBySecond.clear();
    for (Node &state : m_nodes) {
        state.bytes = 0;
    }
}

QByteArray SpreadFleet::makeDocument(quint64 number, const QByteArray &tag)
{
    QByteArray text = "[document]\nversion = " + QByteArray::number(number) + "\n# " + tag + "\n";
    for (int section = 0; section < sectionCount; ++section) {
        text += "[target target-" + QByteArray::number(section) + "]\nowner = team\nservice = service\nagent = 10.0.0.1:7000\nweight = 100\n";
    }
    return text;
}

ParsedDocument SpreadFleet::parse(const QByteArray &text)
{
    // Configurations are shared to limit the memory of large fleets. The cache needs no lock: fleets run in one thread.
    static std::unordered_map<quint64, ConfigurationPointer> shared;
    const quint64 digest = hashBytes(text);
    const QByteArray key = "version = ";
    const qsizetype start = text.indexOf(key);
    const quint64 number = start < 0 ? 0 : text.mid(start + key.size(), text.indexOf('\n', start) - start - key.size()).toULongLong();
    if (number == 0) {
        return {nullptr, {Finding{{QStringLiteral("document"), 1, {}}, QStringLiteral("no version"), QStringLiteral("version = NUMBER")}}};
    }
    ConfigurationPointer &configuration = shared[digest];
    if (!configuration) {
        configuration = std::make_shared<const Configuration>(
            ConfigurationVersion{number, digest}, std::vector<DataCentre>{}, std::vector<Service>{}, std::vector<Target>{});
    }
    return {configuration, {}};
}

}
