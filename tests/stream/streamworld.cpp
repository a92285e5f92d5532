#include "streamworld.h"

#include "streambench.h"

#include <algorithm>
#include <deque>

namespace Rattanpick
{

namespace
{

constexpr Duration tickInterval = 2ms;
constexpr Duration callerLink = 1ms;
constexpr Duration targetLink = 50us;
constexpr quint16 requestLength = 100;
constexpr quint16 answerLength = 500;
/// A target that sheds a request answers with this length.
constexpr quint16 shedLength = 7;
/// Copies of an opening and its end, counted from the first one.
constexpr Duration openingCopies[] = {200ms, 600ms};
constexpr Duration openingLimit = 1400ms;
constexpr Duration firstRepeat = 200ms;

Endpoint balancerAddress(int index)
{
    return {0x0a020001U + static_cast<quint32>(index), StreamBench::agentPort};
}

}

/// The process of a target: it alone knows which flows it holds.
class StreamWorld::Target
{
public:
    Target(StreamWorld &world, int index, int life)
        : m_world(world)
        , m_index(index)
        , m_life(life)
    {
    }

    void receive(const QByteArray &packet)
    {
        const Segment segment = *m_world.m_format.decode(packet);
        const FlowKey key = segment.flowFromCaller();
        if (segment.isOpening()) {
            open(key);
            return;
        }
        const auto flow = m_flows.find(key);
        const bool isMine = flow != m_flows.end() && (flow->second.isOpen || segment.acknowledgement == flow->second.sequence + 1);
        if (!isMine) {
            Segment bounced = segment;
            bounced.flags |= BouncedFlag;
            m_world.fromTarget(m_index, bounced);
            return;
        }
        flow->second.isOpen = true;
        if (segment.has(RstFlag)) {
            m_flows.erase(flow);
            return;
        }
        // A repeated request is answered again and not run again.
        if (segment.dataLength > 0 && segment.sequence == flow->second.answeredSequence) {
            answer(key, answerLength);
        } else if (segment.dataLength > 0 && segment.sequence != flow->second.pendingSequence) {
            flow->second.pendingSequence = segment.sequence;
            begin(key);
        }
    }

    bool holds(const FlowKey &key) const
    {
        const auto flow = m_flows.find(key);
        return flow != m_flows.end() && flow->second.isOpen;
    }

    int life() const
    {
        return m_life;
    }

    int runs = 0;
    std::vector<TimePoint> openings;
    std::optional<TimePoint> drainingSince;

private:
    struct Flow
    {
        quint32 sequence = 0;
        bool isOpen = false;
        quint32 pendingSequence = 0;
        quint32 answeredSequence = 0;
    };

    void open(const FlowKey &key)
    {
        Flow &flow = m_flows[key];
        if (flow.sequence == 0) {
            flow.sequence = static_cast<quint32>(m_world.m_random()) | 1;
            openings.push_back(m_world.m_now);
        }
        m_world.fromTarget(m_index, StreamBench::targetSegment(SynFlag | AckFlag, flow.sequence, 0, key));
    }

    void begin(const FlowKey &key)
    {
        if (m_busy < m_world.m_settings.slotCount) {
            run(key);
        } else if (static_cast<int>(m_waiting.size()) < m_world.m_settings.targetQueue) {
            m_waiting.push_back(key);
        } else {
            answer(key, shedLength);
        }
    }

    void run(const FlowKey &key)
    {
        ++m_busy;
        ++runs;
        std::exponential_distribution<double> work(1.0);
        const auto time = std::chrono::duration_cast<Duration>(m_world.m_settings.workTime * std::clamp(work(m_world.m_random), 0.3, 4.0));
        m_world.at(m_world.m_now + time, [this, &world = m_world, index = static_cast<std::size_t>(m_index), key, life = m_life] {
            // The process may have ended meanwhile.
            if (world.m_targets[index] == nullptr || world.m_targets[index]->m_life != life) {
                return;
            }
            --m_busy;
            answer(key, answerLength);
            if (!m_waiting.empty()) {
                const FlowKey next = m_waiting.front();
                m_waiting.pop_front();
                run(next);
            }
        });
    }

    void answer(const FlowKey &key, quint16 length)
    {
        const auto flow = m_flows.find(key);
        if (flow == m_flows.end()) {
            return;
        }
        flow->second.answeredSequence = flow->second.pendingSequence;
        m_world.fromTarget(m_index, StreamBench::targetSegment(AckFlag, flow->second.sequence + 1, length, key));
    }

    StreamWorld &m_world;
    int m_index;
    int m_life;
    int m_busy = 0;
    std::map<FlowKey, Flow> m_flows;
    std::deque<FlowKey> m_waiting;
};

/// One caller with one flow at a time.
struct StreamWorld::Caller
{
    quint64 number = 0;
    int request = 0;
    FlowKey flow;
    /// Changes with each attempt, so that timers of earlier ones mean nothing.
    quint64 attempt = 0;
    bool isOpen = false;
    quint32 targetSequence = 0;
    quint32 sequence = 1;
    bool isWaiting = false;
};

StreamWorld::StreamWorld(const StreamWorldSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_now(StreamBench::start)
{
    for (int index = 0; index < settings.targets; ++index) {
        m_targets.push_back(std::make_unique<Target>(*this, index, 1));
    }
    for (int index = 0; index < settings.targets; ++index) {
        m_agents.push_back(makeAgent(index));
    }
    for (int index = 0; index < settings.balancers; ++index) {
        m_balancers.push_back(makeBalancer(index));
    }
    // Agents know every flow of their targets once they have been there for some time.
    m_now += settings.agent.adoptionTime;
    at(m_now + tickInterval, [this] { tick(); });
}

StreamWorld::~StreamWorld() = default;

// Time

void StreamWorld::at(TimePoint time, std::function<void()> action)
{
    m_events.emplace(time, std::move(action));
}

void StreamWorld::runUntil(TimePoint time)
{
    while (!m_events.empty() && m_events.begin()->first <= time) {
        auto node = m_events.extract(m_events.begin());
        m_now = node.key();
        node.mapped()();
    }
    m_now = time;
}

void StreamWorld::tick()
{
    StreamActions actions;
    for (const auto &balancer : m_balancers) {
        balancer->onTick(m_now, actions);
        carryOut(actions, -1);
    }
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        if (m_agents[index] == nullptr) {
            continue;
        }
        m_agents[index]->onTick(m_now, actions);
        carryOut(actions, static_cast<int>(index));
    }
    at(m_now + tickInterval, [this] { tick(); });
}

// Network

Duration StreamWorld::delay()
{
    return std::chrono::microseconds(std::uniform_int_distribution<int>(100, 1600)(m_random));
}

bool StreamWorld::isLost()
{
    return std::bernoulli_distribution(m_settings.loss)(m_random);
}

void StreamWorld::deliverMessage(const Endpoint &to, const StreamMessage &message)
{
    StreamActions actions;
    for (std::size_t index = 0; index < m_balancers.size(); ++index) {
        if (to == balancerAddress(static_cast<int>(index))) {
            m_balancers[index]->onMessage(m_now, message, actions);
            carryOut(actions, -1);
        }
    }
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        if (to == StreamBench::agentAddress(static_cast<int>(index)) && m_agents[index] != nullptr) {
            m_agents[index]->onMessage(m_now, message, actions);
            carryOut(actions, static_cast<int>(index));
        }
    }
}

void StreamWorld::carryOut(StreamActions &actions, int agentIndex)
{
    StreamActions taken;
    taken.swap(actions);
    for (const StreamAction &action : taken) {
        if (const auto *message = std::get_if<SendStreamMessage>(&action); message != nullptr && !isLost()) {
            at(m_now + delay(), [this, copy = *message] { deliverMessage(copy.to, copy.message); });
        } else if (const auto *target = std::get_if<SendToStreamTarget>(&action)) {
            at(m_now + targetLink, [this, agentIndex, packet = target->packet] { toTarget(agentIndex, packet); });
        } else if (const auto *caller = std::get_if<SendToStreamCaller>(&action); caller != nullptr && !isLost()) {
            at(m_now + callerLink, [this, packet = QByteArray(caller->packet.constData(), caller->packet.size())] { toCaller(packet); });
        }
    }
}

void StreamWorld::toTarget(int index, const QByteArray &packet)
{
    if (m_targets[static_cast<std::size_t>(index)] != nullptr) {
        m_targets[static_cast<std::size_t>(index)]->receive(packet);
    }
}

void StreamWorld::fromTarget(int index, const Segment &segment)
{
    at(m_now + targetLink, [this, index, packet = PlainFormat::encode(segment)] {
        if (m_agents[static_cast<std::size_t>(index)] == nullptr) {
            return;
        }
        StreamActions actions;
        m_agents[static_cast<std::size_t>(index)]->onPacket(m_now, packet, actions);
        carryOut(actions, index);
    });
}

void StreamWorld::fromCaller(const Segment &segment)
{
    if (isLost()) {
        return;
    }
    at(m_now + callerLink, [this, packet = PlainFormat::encode(segment), key = segment.flowFromCaller()] {
        const std::size_t index = hashPair(key.hash(), m_hashSeed) % m_balancers.size();
        StreamActions actions;
        m_balancers[index]->onPacket(m_now, packet, actions);
        carryOut(actions, -1);
    });
}

// Directory

std::vector<DirectoryChange> StreamWorld::directoryNow() const
{
    std::vector<StreamTarget> targets;
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        const auto &target = m_targets[index];
        if (target != nullptr) {
            targets.push_back(StreamBench::target(static_cast<int>(index), target->life(), target->drainingSince.has_value()));
        }
    }
    return StreamBench::reading(targets, m_revision);
}

void StreamWorld::tellDirectory(const DirectoryChange &change, Duration latest)
{
    const auto spread = [this, latest] {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, latest.count())(m_random));
    };
    for (std::size_t index = 0; index < m_balancers.size(); ++index) {
        at(m_now + spread(), [this, index, change] {
            StreamActions actions;
            m_balancers[index]->onDirectoryChange(m_now, change, actions);
            carryOut(actions, -1);
        });
    }
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        at(m_now + spread(), [this, index, change] {
            StreamActions actions;
            if (m_agents[index] != nullptr) {
                m_agents[index]->onDirectoryChange(m_now, change, actions);
                carryOut(actions, static_cast<int>(index));
            }
        });
    }
}

std::unique_ptr<StreamBalancer> StreamWorld::makeBalancer(int index)
{
    StreamBalancerSettings settings;
    settings.endpoint = balancerAddress(index);
    settings.directory.agentPort = StreamBench::agentPort;
    settings.placement.dataCentre = QStringLiteral("dc%1").arg(index % 3);
    auto balancer = std::make_unique<StreamBalancer>(settings, m_format);
    StreamActions ignored;
    for (const DirectoryChange &change : directoryNow()) {
        balancer->onDirectoryChange(m_now, change, ignored);
    }
    return balancer;
}

std::unique_ptr<StreamAgent> StreamWorld::makeAgent(int index)
{
    StreamAgentSettings settings = m_settings.agent;
    settings.endpoint = StreamBench::agentAddress(index);
    settings.target = StreamBench::targetAddress(index);
    settings.service = StreamBench::service;
    settings.dataCentre = QStringLiteral("dc%1").arg(index % 3);
    settings.directory.agentPort = StreamBench::agentPort;
    auto agent = std::make_unique<StreamAgent>(settings, m_format, m_now);
    StreamActions ignored;
    for (const DirectoryChange &change : directoryNow()) {
        agent->onDirectoryChange(m_now, change, ignored);
    }
    return agent;
}

// Faults

void StreamWorld::restartBalancer(int index)
{
    m_balancers[static_cast<std::size_t>(index)] = makeBalancer(index);
}

void StreamWorld::restartAgent(int index, Duration downTime)
{
    m_agents[static_cast<std::size_t>(index)].reset();
    at(m_now + downTime, [this, index] { m_agents[static_cast<std::size_t>(index)] = makeAgent(index); });
}

void StreamWorld::replaceTarget(int index, Duration downTime)
{
    const auto place = static_cast<std::size_t>(index);
    const int life = m_targets[place]->life() + 1;
    // The next process is made at once so that events of the earlier one see that it has gone; packets of the gap are lost.
    auto next = std::make_unique<Target>(*this, index, life);
    m_targets[place].reset();
    at(m_now + downTime, [this, index, place, life, target = std::make_shared<std::unique_ptr<Target>>(std::move(next))] {
        m_targets[place] = std::move(*target);
        tellDirectory(TargetListed{++m_revision, StreamBench::target(index, life)}, 1200ms);
    });
}

void StreamWorld::drainTarget(int index)
{
    Target &target = *m_targets[static_cast<std::size_t>(index)];
    target.drainingSince = m_now;
    tellDirectory(TargetListed{++m_revision, StreamBench::target(index, target.life(), true)}, 800ms);
}

// Callers

int StreamWorld::request()
{
    const auto number = static_cast<int>(m_requests.size());
    m_requests.push_back({m_now});
    auto made = std::make_unique<Caller>();
    Caller &caller = *made;
    caller.number = static_cast<quint64>(number) + 1;
    caller.request = number;
    caller.flow.caller.address = m_nextAddress++;
    m_callers.emplace(caller.number, std::move(made));
    at(m_now + m_settings.callerTimeout, [this, number, id = caller.number] {
        if (m_requests[static_cast<std::size_t>(number)].result == RequestEnd::Pending) {
            finish(*m_callers.at(id), RequestEnd::TimedOut);
        }
    });
    open(caller);
    return number;
}

int StreamWorld::requestAgain(int earlier)
{
    const auto found = std::ranges::find_if(m_callers, [earlier](const auto &item) { return item.second->request == earlier; });
    if (found == m_callers.end() || !found->second->isOpen) {
        return request();
    }
    Caller &caller = *found->second;
    const auto number = static_cast<int>(m_requests.size());
    m_requests.push_back({m_now});
    caller.request = number;
    at(m_now + m_settings.callerTimeout, [this, number, id = caller.number] {
        if (m_requests[static_cast<std::size_t>(number)].result == RequestEnd::Pending) {
            finish(*m_callers.at(id), RequestEnd::TimedOut);
        }
    });
    ++m_requests[static_cast<std::size_t>(number)].attempts;
    sendRequest(caller);
    return number;
}

void StreamWorld::open(Caller &caller)
{
    ++m_requests[static_cast<std::size_t>(caller.request)].attempts;
    caller.attempt = m_nextAttempt++;
    caller.flow = {{caller.flow.caller.address, m_nextPort}, StreamBench::route};
    m_nextPort = m_nextPort == 60000 ? 1024 : static_cast<quint16>(m_nextPort + 1);
    caller.isOpen = false;
    caller.sequence = static_cast<quint32>(m_random());
    m_callerByPort[caller.flow.caller] = caller.number;
    fromCaller(StreamBench::callerSegment(SynFlag, caller.sequence, 0, 0, caller.flow));
    for (const Duration copy : openingCopies) {
        at(m_now + copy, [this, id = caller.number, attempt = caller.attempt] {
            const Caller &waiting = *m_callers.at(id);
            if (waiting.attempt == attempt && !waiting.isOpen) {
                fromCaller(StreamBench::callerSegment(SynFlag, waiting.sequence, 0, 0, waiting.flow));
            }
        });
    }
    at(m_now + openingLimit, [this, id = caller.number, attempt = caller.attempt] {
        Caller &waiting = *m_callers.at(id);
        if (waiting.attempt == attempt && !waiting.isOpen) {
            endAttempt(waiting);
        }
    });
}

void StreamWorld::sendRequest(Caller &caller)
{
    ++caller.sequence;
    caller.isWaiting = true;
    fromCaller(StreamBench::callerSegment(AckFlag, caller.sequence, caller.targetSequence + 1, requestLength, caller.flow));
    at(m_now + firstRepeat, [this, attempt = caller.number, sequence = caller.sequence] { repeatRequest(attempt, sequence, firstRepeat); });
}

void StreamWorld::repeatRequest(quint64 id, quint32 sequence, Duration interval)
{
    Caller &caller = *m_callers.at(id);
    if (!caller.isWaiting || caller.sequence != sequence) {
        return;
    }
    fromCaller(StreamBench::callerSegment(AckFlag, caller.sequence, caller.targetSequence + 1, requestLength, caller.flow));
    at(m_now + interval * 2, [this, id, sequence, interval] { repeatRequest(id, sequence, interval * 2); });
}

void StreamWorld::toCaller(const QByteArray &packet)
{
    const Segment segment = *m_format.decode(packet);
    const auto found = m_callerByPort.find(segment.destination);
    if (found == m_callerByPort.end()) {
        return;
    }
    Caller &caller = *m_callers.at(found->second);
    if (caller.flow.caller != segment.destination) {
        return;
    }
    if (segment.has(RstFlag)) {
        const bool isHeld = std::ranges::any_of(m_targets, [&caller](const auto &target) { return target != nullptr && target->holds(caller.flow); });
        m_requests[static_cast<std::size_t>(caller.request)].wrongResets += caller.isOpen && isHeld ? 1 : 0;
        endAttempt(caller);
    } else if (segment.has(SynFlag) && !caller.isOpen) {
        caller.isOpen = true;
        caller.targetSequence = segment.sequence;
        if (m_requests[static_cast<std::size_t>(caller.request)].result == RequestEnd::Pending) {
            sendRequest(caller);
        }
    } else if (segment.dataLength > 0 && caller.isWaiting && segment.sequence == caller.targetSequence + 1) {
        caller.isWaiting = false;
        if (segment.dataLength == shedLength) {
            endAttempt(caller);
        } else if (m_requests[static_cast<std::size_t>(caller.request)].result == RequestEnd::Pending) {
            finish(caller, RequestEnd::Answered);
        }
    }
}

void StreamWorld::endAttempt(Caller &caller)
{
    caller.isOpen = false;
    caller.isWaiting = false;
    const WorldRequest &request = m_requests[static_cast<std::size_t>(caller.request)];
    if (request.result != RequestEnd::Pending) {
        return;
    }
    if (request.attempts > m_settings.callerRetries) {
        finish(caller, RequestEnd::Refused);
        return;
    }
    open(caller);
}

void StreamWorld::finish(Caller &caller, RequestEnd result)
{
    WorldRequest &request = m_requests[static_cast<std::size_t>(caller.request)];
    request.result = result;
    request.end = m_now;
    if (result != RequestEnd::Answered) {
        // The flow is given up with the request.
        caller.attempt = m_nextAttempt++;
        caller.isOpen = false;
        caller.isWaiting = false;
    }
}

double StreamWorld::answeredWithin(Duration time) const
{
    const auto count = std::ranges::count_if(
        m_requests, [time](const WorldRequest &request) { return request.result == RequestEnd::Answered && request.end - request.begin <= time; });
    return static_cast<double>(count) / static_cast<double>(m_requests.size());
}

// What targets saw

int StreamWorld::runs(int target) const
{
    return m_targets[static_cast<std::size_t>(target)]->runs;
}

int StreamWorld::openingsAfterDrain(int target, Duration time) const
{
    const Target &asked = *m_targets[static_cast<std::size_t>(target)];
    return static_cast<int>(std::ranges::count_if(asked.openings, [&asked, time](TimePoint opening) { return opening > *asked.drainingSince + time; }));
}

}
