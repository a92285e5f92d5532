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

constexpr Duration waitLimit = 2ms;
constexpr Duration statusInterval = 200ms;
constexpr Duration controlInterval = 50ms;
constexpr Duration dataRepeat = 200ms;
constexpr Duration latePart = 300ms;
constexpr Duration shortDelay = 20ms;
/// Load is judged over this window.
constexpr Duration loadWindow = 1s;
/// A cold target falls over at this multiple of its share, since single requests cannot be divided.
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
    startLife(Clock::now());
    const std::array<UdpSocket *, 1> sockets{&m_socket};
    while (!StandInProcess::shouldStop()) {
        UdpSocket::waitForAny(sockets, waitLimit);
        const TimePoint now = Clock::now();
        readControl(now);
        for (const ReceivedDatagram &datagram : m_socket.receive()) {
            if (const auto command = decodeTargetCommand(datagram.bytes)) {
                std::visit([this, now](const auto &body) { handle(now, body); }, *command);
            }
        }
        finishRuns(now);
        sendDue(now);
        sendData(now);
        if (now >= m_statusDeadline) {
            m_statusDeadline = now + statusInterval;
            const auto busy = static_cast<quint16>(1000 * m_running.size() / static_cast<std::size_t>(m_settings.slots));
            reply(TargetStatus{m_isDraining, busy});
        }
    }
    return 0;
}

// Commands

void TargetStandIn::handle(TimePoint now, const TargetOpen &command)
{
    m_flows.try_emplace({command.flow, command.nonce}, Flow{0, {}, now + m_settings.dataInterval});
    reply(TargetFlowState{command.flow, command.nonce, true});
}

void TargetStandIn::handle(TimePoint, const TargetData &command)
{
    if (m_flows.contains({command.flow, command.nonce})) {
        reply(TargetDataAck{command.flow, command.nonce, command.sequence});
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
    reply(TargetFlowState{command.flow, command.nonce, m_flows.contains({command.flow, command.nonce})});
}

void TargetStandIn::handle(TimePoint now, const TargetRequest &command)
{
    const RequestId id{command.flow, command.nonce, command.number};
    if (m_cancelled.contains(id)) {
        reply(TargetCancelled{command.flow, command.nonce, command.number, false});
        return;
    }
    const bool isFull = m_running.size() >= static_cast<std::size_t>(m_settings.slots);
    if (isFull || command.remainingMilliseconds == 0 || drawPercent(m_random, m_shedPercent)) {
        reply(TargetShed{command.flow, command.nonce, command.number});
        return;
    }
    // Every delivery runs: a second one is the fault that the record is to show.
    m_record.write({{QStringLiteral("event"), QStringLiteral("run")},
                    {QStringLiteral("target"), QString::fromStdString(m_settings.name)},
                    {QStringLiteral("incarnation"), QString::number(static_cast<quint64>(m_incarnation), 16)},
                    {QStringLiteral("flow"), command.flow.toString()},
                    {QStringLiteral("number"), static_cast<qint64>(command.number)},
                    {QStringLiteral("body"), QString::fromUtf8(command.body)}});
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const auto time = std::chrono::duration_cast<Duration>(m_settings.serviceTime * (spread(m_random) * 100.0 / m_settings.speedPercent));
    m_starts.emplace_back(now, time);
    m_running[id] = {now + time, command.body};
    if (!bearsOneMore(now)) {
        fallOver(now);
    }
}

void TargetStandIn::handle(TimePoint, const TargetCancel &command)
{
    const RequestId id{command.flow, command.nonce, command.number};
    const bool hasRun = m_running.erase(id) > 0;
    m_cancelled.insert(id);
    reply(TargetCancelled{command.flow, command.nonce, command.number, hasRun});
}

// Replies

void TargetStandIn::reply(const TargetReplyBody &body)
{
    m_socket.send(m_settings.agent, encodeTargetReply({m_incarnation, body}));
}

void TargetStandIn::replyLater(TimePoint due, const TargetReplyBody &body)
{
    m_later.push_back({due, body});
}

void TargetStandIn::answer(TimePoint now, const RequestId &id, const QByteArray &body)
{
    const auto &[flow, nonce, number] = id;
    const int parts = answerParts(body);
    for (int part = 0; part < parts; ++part) {
        const TargetAnswerPart message{flow, nonce, number, static_cast<quint16>(part), static_cast<quint16>(parts), answerPart(body, part)};
        if (drawPercent(m_random, m_settings.repeatPercent)) {
            replyLater(now + shortDelay, message);
        }
        if (drawPercent(m_random, m_settings.latePercent)) {
            replyLater(now + latePart, message);
        } else if (drawPercent(m_random, m_settings.reorderPercent)) {
            replyLater(now + shortDelay, message);
        } else {
            reply(message);
        }
    }
}

// Time

void TargetStandIn::finishRuns(TimePoint now)
{
    for (auto running = m_running.begin(); running != m_running.end();) {
        if (now < running->second.end) {
            ++running;
            continue;
        }
        answer(now, running->first, running->second.body);
        running = m_running.erase(running);
    }
}

void TargetStandIn::sendDue(TimePoint now)
{
    std::vector<Later> due;
    std::erase_if(m_later, [now, &due](const Later &later) {
        if (later.due > now) {
            return false;
        }
        due.push_back(later);
        return true;
    });
    for (const Later &later : due) {
        reply(later.body);
    }
}

void TargetStandIn::sendData(TimePoint now)
{
    if (m_settings.dataInterval == Duration::zero()) {
        return;
    }
    for (auto &[id, flow] : m_flows) {
        if (now >= flow.dataDeadline) {
            flow.dataDeadline = now + m_settings.dataInterval;
            const quint64 sequence = ++flow.lastSent;
            flow.unacknowledged[sequence] = {"data " + QByteArray::number(sequence), now};
        }
        for (auto &[sequence, content] : flow.unacknowledged) {
            if (now >= content.second) {
                content.second = now + dataRepeat;
                reply(TargetData{id.first, id.second, sequence, content.first});
            }
        }
    }
}

void TargetStandIn::readControl(TimePoint now)
{
    if (m_settings.controlFile.empty() || now < m_controlDeadline) {
        return;
    }
    m_controlDeadline = now + controlInterval;
    QFile file(QString::fromStdString(m_settings.controlFile));
    if (!file.open(QIODevice::ReadOnly)) {
        return;
    }
    for (const QByteArray &line : file.readAll().split('\n')) {
        const QList<QByteArray> words = line.split('=');
        if (words.size() != 2) {
            continue;
        }
        const QByteArray key = words[0].trimmed();
        const QByteArray value = words[1].trimmed();
        if (key == "drain") {
            m_isDraining = value == "yes";
        } else if (key == "shed") {
            m_shedPercent = value.toInt();
        }
    }
}

bool TargetStandIn::bearsOneMore(TimePoint now)
{
    if (m_settings.coldTime == Duration::zero() || now >= m_started + m_settings.coldTime) {
        return true;
    }
    while (!m_starts.empty() && m_starts.front().first + loadWindow < now) {
        m_starts.pop_front();
    }
    Duration busy{};
    for (const auto &[start, time] : m_starts) {
        busy += time;
    }
    const double warmed = std::chrono::duration<double>(now - m_started) / std::chrono::duration<double>(m_settings.coldTime);
    const double share = m_settings.coldSharePercent / 100.0 + (1 - m_settings.coldSharePercent / 100.0) * warmed;
    const Duration borne = std::chrono::duration_cast<Duration>(loadWindow * (share * m_settings.slots * coldTolerance));
    // One request at a time must always be borne, however long it takes.
    return m_starts.size() <= 1 || busy <= borne;
}

void TargetStandIn::fallOver(TimePoint now)
{
    m_record.write({{QStringLiteral("event"), QStringLiteral("fell-over")}, {QStringLiteral("target"), QString::fromStdString(m_settings.name)}});
    startLife(now);
}

void TargetStandIn::startLife(TimePoint now)
{
    m_incarnation = Incarnation{m_random() | 1U};
    m_started = now;
    m_flows.clear();
    m_running.clear();
    m_cancelled.clear();
    m_later.clear();
    m_starts.clear();
}

}
