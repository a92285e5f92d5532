#include "standins/callerstandin.h"

#include <caller/callermessagecodec.h>
#include <fabric/innerpacket.h>

#include <QJsonDocument>

#include <algorithm>
#include <cstdio>

namespace Rattanpick
{

namespace
{

constexpr Duration pollInterval = 5ms;
/// Delay until a caller that was refused, or whose data centre was taken out, opens a new flow.
constexpr Duration reopenDelay = 300ms;
/// Openings are spread over this time, since the callers of a fleet do not all arrive at once.
constexpr Duration openingPeriod = 2s;
/// Requests in progress are awaited at most this long beyond their deadlines.
constexpr Duration finishMargin = 2s;
/// Limit for the flows to close at the end of the run.
constexpr Duration closeTimeout = 3s;
constexpr std::size_t socketBatch = 4;

}

CallerStandIn::CallerStandIn(const CallerStandInSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_record(settings.recordFile)
{
}

int CallerStandIn::run()
{
    if (!createFlows()) {
        return 1;
    }
    std::vector<UdpSocket *> sockets;
    for (const Flow &flow : m_flows) {
        sockets.push_back(flow.socket.get());
    }
    const TimePoint finishAt = Clock::now() + m_settings.duration;
    const TimePoint closeAt = finishAt + m_settings.requestDeadline + finishMargin;
    TimePoint endAt = closeAt + closeTimeout;
    bool isClosing = false;
    while (Clock::now() < endAt) {
        UdpSocket::waitForAny(sockets, pollInterval);
        const TimePoint now = Clock::now();
        m_isFinishing = now >= finishAt || StandInProcess::shouldStop();
        for (std::size_t index = 0; index < m_flows.size(); ++index) {
            receive(now, m_flows[index]);
            updateFlow(now, index);
        }
        if (!isClosing && m_isFinishing && (isIdle() || now >= closeAt)) {
            isClosing = true;
            endAt = now + closeTimeout;
            closeAll();
        }
        if (isClosing && std::ranges::all_of(m_flows, [](const Flow &flow) { return flow.session == nullptr || flow.session->isEnded(); })) {
            break;
        }
    }
    printSummary();
    return 0;
}

bool CallerStandIn::createFlows()
{
    std::uniform_int_distribution<Duration::rep> spread(0, openingPeriod.count());
    for (int number = 0; number < m_settings.flows; ++number) {
        Flow flow;
        flow.socket = std::make_unique<UdpSocket>(socketBatch);
        if (!flow.socket->bind({m_settings.address, 0})) {
            std::fprintf(stderr, "standin caller: %s\n", qPrintable(flow.socket->lastError()));
            return false;
        }
        flow.key = {flow.socket->endpoint(), m_settings.services[static_cast<std::size_t>(number) % m_settings.services.size()], 17};
        flow.nextOpenTime = Clock::now() + Duration(spread(m_random));
        m_flows.push_back(std::move(flow));
    }
    return true;
}

void CallerStandIn::startSession(TimePoint now, std::size_t index)
{
    Flow &flow = m_flows[index];
    CallerSessionSettings settings;
    settings.seed = hashPair(m_settings.seed, (index << 16) + static_cast<std::size_t>(++flow.incarnation));
    flow.session = std::make_unique<CallerSession>(settings);
    flow.requests.clear();
    flow.nextRequestTime = now + m_settings.requestInterval;
    flow.nextDataTime = now + m_settings.dataInterval;
    flow.session->open(now, m_actions);
    execute(now, flow);
}

void CallerStandIn::receive(TimePoint now, Flow &flow)
{
    for (const ReceivedDatagram &datagram : flow.socket->receive()) {
        const auto packet = InnerPacket::toCaller(datagram.bytes);
        if (!packet || packet->flow != flow.key || flow.session == nullptr) {
            continue;
        }
        if (const auto message = decodeCallerMessage(packet->payload)) {
            flow.session->onMessage(now, *message, m_actions);
            execute(now, flow);
        }
    }
}

void CallerStandIn::updateFlow(TimePoint now, std::size_t index)
{
    Flow &flow = m_flows[index];
    if (flow.session == nullptr || flow.session->isEnded()) {
        if (!m_isFinishing && !flow.isEnded && now >= flow.nextOpenTime) {
            startSession(now, index);
        }
        return;
    }
    flow.session->onTick(now, m_actions);
    execute(now, flow);
    if (m_isFinishing || !flow.session->isOpen()) {
        return;
    }
    if (now >= flow.nextRequestTime) {
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        flow.nextRequestTime = now + std::chrono::duration_cast<Duration>(m_settings.requestInterval * spread(m_random));
        sendRequest(now, index);
    }
    if (now >= flow.nextDataTime) {
        flow.nextDataTime = now + m_settings.dataInterval;
        m_summary.dataSent += flow.session->sendData(now, "data of a caller", m_actions).has_value() ? 1 : 0;
        execute(now, flow);
    }
}

void CallerStandIn::sendRequest(TimePoint now, std::size_t index)
{
    Flow &flow = m_flows[index];
    const bool isIdempotent = drawPercent(m_random, m_settings.idempotentPercent);
    const QByteArray body = (isIdempotent ? QByteArray("any-") : QByteArray("once-")) + QByteArray::number(index) + '-' + QByteArray::number(flow.incarnation)
                            + '-' + QByteArray::number(m_summary.requests);
    const auto number = flow.session->sendRequest(now, body, isIdempotent, now + m_settings.requestDeadline, m_actions);
    if (number) {
        ++m_summary.requests;
        flow.requests[*number] = {body, isIdempotent};
    }
    execute(now, flow);
}

void CallerStandIn::execute(TimePoint now, Flow &flow)
{
    CallerActions actions;
    std::swap(actions, m_actions);
    for (const CallerAction &action : actions) {
        if (const auto *send = std::get_if<SendToService>(&action)) {
            flow.socket->send(m_settings.fabric, InnerPacket{flow.key, false, encodeCallerMessage(send->message)}.encode());
        } else if (std::holds_alternative<FlowIsOpen>(action)) {
            ++m_summary.flows;
            m_record.write({{QStringLiteral("event"), QStringLiteral("opened")}, {QStringLiteral("flow"), flow.key.toString()}});
        } else if (const auto *refused = std::get_if<FlowIsRefused>(&action)) {
            ++m_summary.notOpened;
            onFlowEnded(now, flow, "not-opened", refused->reason);
        } else if (const auto *broken = std::get_if<FlowIsBroken>(&action)) {
            // Not broken: by design, flows of a data centre that operators take out are given up.
            const bool isGivenUp = broken->reason == RefusalReason::DataCentreOut;
            ++(isGivenUp ? m_summary.givenUp : m_summary.broken);
            onFlowEnded(now, flow, isGivenUp ? "given-up" : "broken", broken->reason);
        } else if (std::holds_alternative<FlowIsClosed>(action)) {
            onFlowEnded(now, flow, "closed", RefusalReason::None);
            flow.isEnded = true;
        } else if (std::holds_alternative<DataArrived>(action)) {
            ++m_summary.dataReceived;
        } else if (const auto *ended = std::get_if<RequestEnded>(&action)) {
            onRequestEnded(now, flow, *ended);
        }
    }
}

void CallerStandIn::onRequestEnded(TimePoint, Flow &flow, const RequestEnded &ended)
{
    const SentRequest request = flow.requests[ended.request];
    flow.requests.erase(ended.request);
    const char *ending = "unknown";
    if (ended.ending == RequestEnding::Answered) {
        QByteArray expected;
        for (int part = 0; part < answerParts(request.body); ++part) {
            expected += answerPart(request.body, part);
        }
        const bool isCorrect = ended.body == expected;
        ending = isCorrect ? "answered" : "wrong";
        ++(isCorrect ? m_summary.answered : m_summary.wrongAnswers);
    } else if (ended.ending == RequestEnding::NotRun) {
        ending = "not-run";
        ++m_summary.refused;
    } else {
        ++m_summary.unknown;
    }
    m_record.write({{QStringLiteral("event"), QStringLiteral("ended")},
                    {QStringLiteral("flow"), flow.key.toString()},
                    {QStringLiteral("body"), QString::fromUtf8(request.body)},
                    {QStringLiteral("ending"), QString::fromLatin1(ending)},
                    {QStringLiteral("reason"), static_cast<int>(ended.reason)}});
}

void CallerStandIn::onFlowEnded(TimePoint now, Flow &flow, const char *ending, RefusalReason reason)
{
    flow.nextOpenTime = now + reopenDelay;
    m_record.write({{QStringLiteral("event"), QString::fromLatin1(ending)},
                    {QStringLiteral("flow"), flow.key.toString()},
                    {QStringLiteral("reason"), static_cast<int>(reason)}});
}

bool CallerStandIn::isIdle() const
{
    return std::ranges::all_of(m_flows, [](const Flow &flow) { return flow.session == nullptr || flow.session->requestsInProgress() == 0; });
}

void CallerStandIn::closeAll()
{
    for (Flow &flow : m_flows) {
        if (flow.session != nullptr) {
            flow.session->close(Clock::now(), m_actions);
            execute(Clock::now(), flow);
        }
    }
}

void CallerStandIn::printSummary() const
{
    const QJsonObject summary{{QStringLiteral("flows"), m_summary.flows},
                              {QStringLiteral("broken"), m_summary.broken},
                              {QStringLiteral("givenUp"), m_summary.givenUp},
                              {QStringLiteral("notOpened"), m_summary.notOpened},
                              {QStringLiteral("requests"), m_summary.requests},
                              {QStringLiteral("answered"), m_summary.answered},
                              {QStringLiteral("refused"), m_summary.refused},
                              {QStringLiteral("unknown"), m_summary.unknown},
                              {QStringLiteral("wrongAnswers"), m_summary.wrongAnswers},
                              {QStringLiteral("dataSent"), m_summary.dataSent},
                              {QStringLiteral("dataReceived"), m_summary.dataReceived}};
    std::printf("%s\n", QJsonDocument(summary).toJson(QJsonDocument::Compact).constData());
}

}
