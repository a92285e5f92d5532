#include "proof/faketarget.h"

#include <QByteArray>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>
#include <vector>

namespace Rattanpick::Proof
{

namespace
{

/// Factor by which run times grow while a cold target has more load than its capacity.
constexpr double overloadSlowdown = 5;

/// Time constant of the average number of busy slots, in seconds.
constexpr double averageSeconds = 2;

/// Identity that the caller assigned to the request, the same for all its attempts.
quint64 serialOf(const TargetRequest &request)
{
    return request.body.toULongLong();
}

/// Body of an answer part, which is different for each run and part.
QByteArray answerPart(const TargetRequest &request, quint64 run, int part)
{
    return QByteArray::number(request.nonce) + ':' + request.body + ':' + QByteArray::number(run) + ':' + QByteArray::number(part) + ';';
}

/// Maximum deviation of run times from their mean, as a share.
constexpr double runTimeSpread = 0.25;

}

FakeTarget::FakeTarget(const FakeTargetSettings &settings, FakeNetwork &network, History &history, ServiceNames serviceNames)
    : m_settings(settings)
    , m_network(network)
    , m_history(history)
    , m_serviceNames(std::move(serviceNames))
    , m_random(settings.seed)
    , m_incarnation(Incarnation{m_random() | 1U})
    , m_coldSince(network.now())
    , m_isWarm(settings.startsWarm)
    , m_busyAccounted(network.now())
{
    if (!m_isWarm) {
        becomeCold(false);
    }
}

void FakeTarget::setReplySink(ReplySink sink)
{
    m_sink = std::move(sink);
}

void FakeTarget::onCommand(const TargetCommand &command)
{
    std::visit([this](const auto &body) { handle(body); }, command);
}

void FakeTarget::sendStatus()
{
    // Always reports zero load: the load that real targets publish is misleading, so agents must not rely on it.
    reply(TargetStatus{m_isDraining, 0});
}

// Faults

void FakeTarget::restart()
{
    accountBusyTime();
    m_history.append(virtualNow(), m_settings.name, TargetTerminated{});
    m_incarnation = Incarnation{m_random() | 1U};
    m_flows.clear();
    m_queue.clear();
    m_running.clear();
    m_averageBusy = 0;
    becomeCold(false);
    sendStatus();
}

void FakeTarget::turnColdSilently()
{
    becomeCold(true);
}

void FakeTarget::setSpeed(double speed)
{
    m_settings.speed = speed;
}

void FakeTarget::setDraining(bool isDraining)
{
    m_isDraining = isDraining;
    sendStatus();
}

Duration FakeTarget::busyTime() const
{
    return m_busyTime + (m_network.now() - m_busyAccounted) * static_cast<qint64>(m_running.size());
}

// Commands

void FakeTarget::handle(const TargetOpen &command)
{
    recordPacket(command.flow);
    const std::pair key(command.flow, command.nonce);
    if (!m_flows.contains(key) && m_flows.size() >= m_settings.connections) {
        reply(TargetFlowState{command.flow, command.nonce, false});
        return;
    }
    if (m_flows.insert(key).second) {
        m_history.append(virtualNow(), m_settings.name, TargetOpenedFlow{command.nonce, m_settings.dataCentre});
    }
    reply(TargetFlowState{command.flow, command.nonce, true});
}

void FakeTarget::handle(const TargetData &command)
{
    recordPacket(command.flow);
    if (!m_flows.contains({command.flow, command.nonce})) {
        reply(TargetFlowState{command.flow, command.nonce, false});
        return;
    }
    reply(TargetDataAck{command.flow, command.nonce, command.sequence});
}

void FakeTarget::handle(const TargetDataAck &)
{
}

void FakeTarget::handle(const TargetClose &command)
{
    m_flows.erase({command.flow, command.nonce});
}

void FakeTarget::handle(const TargetProbe &command)
{
    reply(TargetFlowState{command.flow, command.nonce, m_flows.contains({command.flow, command.nonce})});
}

void FakeTarget::handle(const TargetRequest &command)
{
    recordPacket(command.flow);
    const bool isShed = std::bernoulli_distribution(m_settings.shedProbability)(m_random);
    if (isShed || m_queue.size() >= m_settings.queueLimit) {
        reply(TargetShed{command.flow, command.nonce, command.number});
        return;
    }
    m_queue.push_back(command);
    startQueuedRequests();
}

void FakeTarget::handle(const TargetCancel &command)
{
    const auto queued =
        std::ranges::find_if(m_queue, [&](const TargetRequest &request) { return request.nonce == command.nonce && request.number == command.number; });
    if (queued != m_queue.end()) {
        m_queue.erase(queued);
        reply(TargetCancelled{command.flow, command.nonce, command.number, false});
        return;
    }
    const auto running = m_running.find({command.nonce, command.number});
    // Half of the cancellations come too late to stop the run.
    if (running == m_running.end() || std::bernoulli_distribution(0.5)(m_random)) {
        return;
    }
    accountBusyTime();
    const quint64 serial = running->second.serial;
    m_running.erase(running);
    m_history.append(virtualNow(), m_settings.name, TargetEndedRequest{command.nonce, serial});
    reply(TargetCancelled{command.flow, command.nonce, command.number, true});
    startQueuedRequests();
}

void FakeTarget::recordPacket(const FlowKey &flow)
{
    m_history.append(virtualNow(), m_settings.name, PacketReachedTarget{m_serviceNames(flow.service), m_settings.service, m_settings.dataCentre});
}

void FakeTarget::reply(TargetReplyBody body)
{
    if (m_sink) {
        m_sink(TargetReply{m_incarnation, std::move(body)});
    }
}

// Runs

void FakeTarget::startQueuedRequests()
{
    while (!m_queue.empty() && m_running.size() < static_cast<std::size_t>(m_settings.slotCount)) {
        const TargetRequest request = m_queue.front();
        m_queue.pop_front();
        startRun(request);
    }
}

void FakeTarget::startRun(const TargetRequest &request)
{
    accountBusyTime();
    const quint64 run = ++m_runs;
    m_running.emplace(RequestKey{request.nonce, request.number}, Run{run, serialOf(request)});
    QByteArray answer;
    for (int part = 0; part < m_settings.answerParts; ++part) {
        answer += answerPart(request, run, part);
    }
    m_history.append(virtualNow(), m_settings.name, TargetRanRequest{request.nonce, serialOf(request), hashBytes(answer)});
    if (warmShare() < 1) {
        m_peakColdLoad = std::max(m_peakColdLoad, static_cast<double>(m_running.size()) / std::max(1.0, std::floor(coldCapacity())));
    }
    m_network.after(drawRunTime(), [this, request, run, incarnation = m_incarnation](TimePoint) {
        if (incarnation == m_incarnation) {
            endRun(request, run);
        }
    });
}

void FakeTarget::endRun(const TargetRequest &request, quint64 run)
{
    const auto [begin, end] = m_running.equal_range({request.nonce, request.number});
    const auto found = std::find_if(begin, end, [&](const auto &entry) { return entry.second.number == run; });
    if (found == end) {
        return;
    }
    accountBusyTime();
    m_running.erase(found);
    m_history.append(virtualNow(), m_settings.name, TargetEndedRequest{request.nonce, serialOf(request)});
    sendAnswer(request, run);
    startQueuedRequests();
}

void FakeTarget::sendAnswer(const TargetRequest &request, quint64 run)
{
    std::vector<int> order(static_cast<std::size_t>(m_settings.answerParts));
    std::iota(order.begin(), order.end(), 0);
    std::ranges::shuffle(order, m_random);
    for (const int part : order) {
        const QByteArray body = answerPart(request, run, part);
        const int copies = std::bernoulli_distribution(m_settings.partRepetition)(m_random) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            reply(
                TargetAnswerPart{request.flow, request.nonce, request.number, static_cast<quint16>(part), static_cast<quint16>(m_settings.answerParts), body});
        }
    }
}

Duration FakeTarget::drawRunTime()
{
    const double factor = std::uniform_real_distribution<double>(1 - runTimeSpread, 1 + runTimeSpread)(m_random);
    double nanoseconds = static_cast<double>(m_settings.runTime.count()) * factor / m_settings.speed;
    const double capacity = coldCapacity();
    const bool isOverloaded = warmShare() < 1 && (static_cast<double>(m_running.size()) > std::max(1.0, capacity) || m_averageBusy > capacity);
    if (isOverloaded) {
        nanoseconds *= overloadSlowdown;
    }
    return Duration(static_cast<qint64>(nanoseconds));
}

// Cold phase

double FakeTarget::warmShare() const
{
    if (m_isWarm) {
        return 1;
    }
    const double progress = std::chrono::duration<double>(m_network.now() - m_coldSince) / std::chrono::duration<double>(m_settings.warmTime);
    return std::min(1.0, m_settings.coldShare + (1 - m_settings.coldShare) * progress);
}

double FakeTarget::coldCapacity() const
{
    return m_settings.slotCount * warmShare();
}

void FakeTarget::becomeCold(bool isSilent)
{
    m_isWarm = false;
    m_coldSince = m_network.now();
    m_history.append(virtualNow(),
                     m_settings.name,
                     TargetBecameCold{m_settings.slotCount, m_settings.coldShare, std::chrono::duration_cast<VirtualTime>(m_settings.warmTime), isSilent});
}

void FakeTarget::accountBusyTime()
{
    const TimePoint now = m_network.now();
    const double elapsed = std::chrono::duration<double>(now - m_busyAccounted).count();
    m_busyTime += (now - m_busyAccounted) * static_cast<qint64>(m_running.size());
    const double weight = std::exp(-elapsed / averageSeconds);
    m_averageBusy = m_averageBusy * weight + static_cast<double>(m_running.size()) * (1 - weight);
    m_busyAccounted = now;
}

VirtualTime FakeTarget::virtualNow() const
{
    return virtualTimeOf(m_network.now());
}

}
