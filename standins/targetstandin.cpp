#include "standins/targetstandin.h"

#include <agent/targetmessagecodec.h>

#include <QFile>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Rattanpick
{

namespace
{

constexpr Duration pollInterval = 2ms;
constexpr Duration statusInterval = 200ms;
constexpr Duration controlInterval = 50ms;
constexpr Duration dataRepeatInterval = 200ms;
constexpr Duration lateDelay = 300ms;
constexpr Duration shortDelay = 20ms;
/// The load of a cold target is averaged over this window.
constexpr Duration loadWindow = 1s;
/// A cold target crashes at this multiple of its share; the margin is needed since single requests cannot be divided.
constexpr double coldTolerance = 2.0;

}

TargetStandIn::TargetStandIn(const TargetStandInSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_record(settings.recordFile)
{
}

int TargetStandIn::run()
{
    if (!m_socket.bind(m_settings.listen)) {
        std::fprintf(stderr, "standin target: %s\n", qPrintable(m_socket.lastError()));
        return 1;
    }
    startIncarnation(Clock::now());
    const std::array<UdpSocket *, 1> sockets{&m_socket};
    while (!StandInProcess::shouldStop()) {
        UdpSocket::waitForAny(sockets, pollInterval);
        const TimePoint now = Clock::now();
        readControl(now);
        for (const ReceivedDatagram &datagram : m_socket.receive()) {
            if (const auto command = decodeTargetCommand(datagram.bytes)) {
                std::visit([this, now](const auto &body) { handle(now, body); }, *command);
            }
        }
        finishRequests(now);
        sendDelayedReplies(now);
        sendData(now);
        if (now >= m_nextStatusTime) {
            m_nextStatusTime = now + statusInterval;
            const auto busy = static_cast<quint16>(1000 * m_running.size() / static_cast<std::size_t>(m_settings.slots));
            sendReply(TargetStatus{m_isDraining, busy});
        }
    }
    return 0;
}

// Commands

void TargetStandIn::handle(TimePoint now, const TargetOpen &command)
{
    m_flows.try_emplace({command.flow, command.nonce}, Flow{0, {}, now + m_settings.dataInterval});
    sendReply(TargetFlowState{command.flow, command.nonce, true});
}

void TargetStandIn::handle(TimePoint, const TargetData &command)
{
    if (m_flows.contains({command.flow, command.nonce})) {
        sendReply(TargetDataAck{command.flow, command.nonce, command.sequence});
    }
}

void TargetStandIn::handle(TimePoint, const TargetDataAck &command)
{
    const auto flow = m_flows.find({command.flow, command.nonce});
    if (flow != m_flows.end()) {
        flow->second.unacknowledged.erase(command.sequence);
    }
}

void TargetStandIn::handle(TimePoint, const TargetClose &command)
{
    m_flows.erase({command.flow, command.nonce});
}

void TargetStandIn::handle(TimePoint, const TargetProbe &command)
{
    sendReply(TargetFlowState{command.flow, command.nonce, m_flows.contains({command.flow, command.nonce})});
}

void TargetStandIn::handle(TimePoint now, const TargetRequest &command)
{
    const RequestId id{command.flow, command.nonce, command.number};
    if (m_cancelled.contains(id)) {
        sendReply(TargetCancelled{command.flow, command.nonce, command.number, false});
        return;
    }
    const bool isFull = m_running.size() >= static_cast<std::size_t>(m_settings.slots);
    if (isFull || command.remainingMilliseconds == 0 || drawPercent(m_random, m_shedPercent)) {
        sendReply(TargetShed{command.flow, command.nonce, command.number});
        return;
    }
    // Every delivery is run and recorded, so that the record shows requests that were delivered twice.
    m_record.write({{QStringLiteral("event"), QStringLiteral("run")},
                    {QStringLiteral("target"), QString::fromStdString(m_settings.name)},
                    {QStringLiteral("incarnation"), QString::number(static_cast<quint64>(m_incarnation), 16)},
                    {QStringLiteral("flow"), command.flow.toString()},
                    {QStringLiteral("number"), static_cast<qint64>(command.number)},
                    {QStringLiteral("body"), QString::fromUtf8(command.body)}});
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const auto time = std::chrono::duration_cast<Duration>(m_settings.serviceTime * (spread(m_random) * 100.0 / m_settings.speedPercent));
    m_recentRuns.emplace_back(now, time);
    m_running[id] = {now + time, command.body};
    if (!canBearLoad(now)) {
        crash(now);
    }
}

void TargetStandIn::handle(TimePoint, const TargetCancel &command)
{
    const RequestId id{command.flow, command.nonce, command.number};
    const bool hasRun = m_running.erase(id) > 0;
    m_cancelled.insert(id);
    sendReply(TargetCancelled{command.flow, command.nonce, command.number, hasRun});
}

// Replies

void TargetStandIn::sendReply(const TargetReplyBody &body)
{
    m_socket.send(m_settings.agent, encodeTargetReply({m_incarnation, body}));
}

void TargetStandIn::sendReplyAt(TimePoint due, const TargetReplyBody &body)
{
    m_delayedReplies.push_back({due, body});
}

void TargetStandIn::sendAnswer(TimePoint now, const RequestId &id, const QByteArray &body)
{
    const auto &[flow, nonce, number] = id;
    const int parts = answerParts(body);
    for (int part = 0; part < parts; ++part) {
        const TargetAnswerPart message{flow, nonce, number, static_cast<quint16>(part), static_cast<quint16>(parts), answerPart(body, part)};
        if (drawPercent(m_random, m_settings.repeatPercent)) {
            sendReplyAt(now + shortDelay, message);
        }
        if (drawPercent(m_random, m_settings.latePercent)) {
            sendReplyAt(now + lateDelay, message);
        } else if (drawPercent(m_random, m_settings.reorderPercent)) {
            sendReplyAt(now + shortDelay, message);
        } else {
            sendReply(message);
        }
    }
}

// Timers

void TargetStandIn::finishRequests(TimePoint now)
{
    for (auto running = m_running.begin(); running != m_running.end();) {
        if (now < running->second.end) {
            ++running;
            continue;
        }
        sendAnswer(now, running->first, running->second.body);
        running = m_running.erase(running);
    }
}

void TargetStandIn::sendDelayedReplies(TimePoint now)
{
    std::vector<DelayedReply> due;
    std::erase_if(m_delayedReplies, [now, &due](const DelayedReply &delayed) {
        if (delayed.due > now) {
            return false;
        }
        due.push_back(delayed);
        return true;
    });
    for (const DelayedReply &delayed : due) {
        sendReply(delayed.body);
    }
}

void TargetStandIn::sendData(TimePoint now)
{
    if (m_settings.dataInterval == Duration::zero()) {
        return;
    }
    for (auto &[id, flow] : m_flows) {
        if (now >= flow.nextDataTime) {
            flow.nextDataTime = now + m_settings.dataInterval;
            const quint64 sequence = ++flow.lastSent;
            flow.unacknowledged[sequence] = {"data " + QByteArray::number(sequence), now};
        }
        for (auto &[sequence, content] : flow.unacknowledged) {
            if (now >= content.second) {
                content.second = now + dataRepeatInterval;
                sendReply(TargetData{id.first, id.second, sequence, content.first});
            }
        }
    }
}

void TargetStandIn::readControl(TimePoint now)
{
    if (m_settings.controlFile.empty() || now < m_nextControlTime) {
        return;
    }
    m_nextControlTime = now + controlInterval;
    QFile file(QString::fromStdString(m_settings.controlFile));
    if (!file.open(QIODevice::ReadOnly)) {
        return;
    }
    for (const QByteArray &line : file.readAll().split('\n')) {
        const QList<QByteArray> fields = line.split('=');
        if (fields.size() != 2) {
            continue;
        }
        const QByteArray key = fields[0].trimmed();
        const QByteArray value = fields[1].trimmed();
        if (key == "drain") {
            m_isDraining = value == "yes";
        } else if (key == "shed") {
            m_shedPercent = value.toInt();
        }
    }
}

bool TargetStandIn::canBearLoad(TimePoint now)
{
    if (m_settings.coldTime == Duration::zero() || now >= m_startTime + m_settings.coldTime) {
        return true;
    }
    while (!m_recentRuns.empty() && m_recentRuns.front().first + loadWindow < now) {
        m_recentRuns.pop_front();
    }
    Duration busy{};
    for (const auto &[start, time] : m_recentRuns) {
        busy += time;
    }
    const double warmedShare = std::chrono::duration<double>(now - m_startTime) / std::chrono::duration<double>(m_settings.coldTime);
    const double share = m_settings.coldSharePercent / 100.0 + (1 - m_settings.coldSharePercent / 100.0) * warmedShare;
    const Duration capacity = std::chrono::duration_cast<Duration>(loadWindow * (share * m_settings.slots * coldTolerance));
    // One request at a time is always within the capacity, however long it takes.
    return m_recentRuns.size() <= 1 || busy <= capacity;
}

void TargetStandIn::crash(TimePoint now)
{
    m_record.write({{QStringLiteral("event"), QStringLiteral("fell-over")}, {QStringLiteral("target"), QString::fromStdString(m_settings.name)}});
    startIncarnation(now);
}

void TargetStandIn::startIncarnation(TimePoint now)
{
    m_incarnation = Incarnation{m_random() | 1U};
    m_startTime = now;
    m_flows.clear();
    m_running.clear();
    m_cancelled.clear();
    m_delayedReplies.clear();
    m_recentRuns.clear();
}

}
