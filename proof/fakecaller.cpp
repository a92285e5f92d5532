#include "proof/fakecaller.h"

#include "caller/callersession.h"
#include "proof/naiveassembler.h"

#include <map>
#include <optional>
#include <random>
#include <utility>

namespace Rattanpick::Proof
{

namespace
{

/// Delay before a refused or broken flow is replaced by a new one.
constexpr Duration reopenDelay = 300ms;

/// Mean time from sending a request to its cancellation, if it is cancelled.
constexpr Duration cancelDelay = 30ms;

Ending endingOf(RequestEnding ending)
{
    switch (ending) {
    case RequestEnding::Answered:
        return Ending::Answered;
    case RequestEnding::NotRun:
        return Ending::NotRun;
    case RequestEnding::OutcomeUnknown:
        break;
    }
    return Ending::OutcomeUnknown;
}

}

class FakeCaller::Private
{
public:
    Private(const FakeCallerSettings &callerSettings, History &runHistory, Send sendPacket)
        : settings(callerSettings)
        , history(runHistory)
        , send(std::move(sendPacket))
        , random(callerSettings.seed)
        , port(callerSettings.endpoint.port)
    {
    }

    /// A request that has not ended.
    struct Pending
    {
        quint64 serial = 0;
        TimePoint sentAt;
        std::optional<TimePoint> cancelAt;
    };

    // Flow

    void open(TimePoint now)
    {
        reopenAt.reset();
        CallerSessionSettings sessionSettings;
        sessionSettings.seed = random();
        session.emplace(sessionSettings);
        flow = FlowKey{Endpoint{settings.endpoint.address, ++port}, settings.service};
        openedAt = now;
        isClosing = false;
        pending.clear();
        dataSentAt.clear();
        assembler = NaiveAssembler();
        CallerActions actions;
        session->open(now, actions);
        execute(now, actions);
    }

    void onOpen(TimePoint now)
    {
        ++counts.openedFlows;
        openLatencies.push_back(CallerLatency{virtualTimeOf(now), now - openedAt});
        record(now, FlowOpened{session->nonce()});
        nextRequestAt = now + jittered(settings.requestInterval);
        nextDataAt = now + jittered(settings.dataInterval);
        closeAt = now + jittered(settings.flowLifetime);
    }

    void onEnd(TimePoint now)
    {
        pending.clear();
        if (settings.reopensFlow && !isStopped) {
            reopenAt = now + reopenDelay;
        }
    }

    void onBroken(TimePoint now, const QString &reason)
    {
        ++counts.brokenFlows;
        record(now, FlowBroken{session->nonce(), reason});
        onEnd(now);
    }

    // Requests

    void sendRequest(TimePoint now)
    {
        nextRequestAt = now + jittered(settings.requestInterval);
        const bool isIdempotent = draw(settings.idempotentShare);
        const TimePoint deadline = now + settings.requestDeadline;
        const quint64 serial = lastSerial + 1;
        CallerActions actions;
        // The body carries the identity of the request, so that a retry with another number counts as the same request.
        const std::optional<quint64> number = session->sendRequest(now, QByteArray::number(serial), isIdempotent, deadline, actions);
        if (!number) {
            return;
        }
        lastSerial = serial;
        ++counts.sentRequests;
        Pending &entry = pending[*number];
        entry = Pending{serial, now, std::nullopt};
        if (draw(settings.cancelShare)) {
            entry.cancelAt = now + jittered(cancelDelay);
        }
        record(now, CallerSentRequest{session->nonce(), serial, isIdempotent, virtualTimeOf(deadline)});
        execute(now, actions);
    }

    void cancelDue(TimePoint now)
    {
        std::vector<quint64> due;
        for (auto &[number, entry] : pending) {
            if (entry.cancelAt && now >= *entry.cancelAt) {
                entry.cancelAt.reset();
                due.push_back(number);
            }
        }
        for (const quint64 number : due) {
            record(now, CallerCancelledRequest{session->nonce(), pending.at(number).serial});
            CallerActions actions;
            session->cancel(now, number, actions);
            execute(now, actions);
        }
    }

    void endRequest(TimePoint now, quint64 number, Ending ending, const QByteArray &answer)
    {
        const auto found = pending.find(number);
        if (found == pending.end()) {
            return;
        }
        const bool isAnswered = ending == Ending::Answered;
        counts.answeredRequests += isAnswered ? 1 : 0;
        counts.notRunRequests += ending == Ending::NotRun ? 1 : 0;
        counts.unknownRequests += ending == Ending::OutcomeUnknown ? 1 : 0;
        requestLatencies.push_back(CallerLatency{virtualTimeOf(now), isAnswered ? now - found->second.sentAt : Duration::zero()});
        record(now, Proof::RequestEnded{session->nonce(), found->second.serial, ending, isAnswered ? hashBytes(answer) : 0});
        pending.erase(found);
    }

    // Data

    void sendData(TimePoint now)
    {
        nextDataAt = now + jittered(settings.dataInterval);
        CallerActions actions;
        if (const std::optional<quint64> sequence = session->sendData(now, QByteArrayLiteral("data"), actions)) {
            dataSentAt[*sequence] = now;
        }
        execute(now, actions);
    }

    void onDataAck(TimePoint now, const DataAck &ack)
    {
        const auto found = dataSentAt.find(ack.sequence);
        if (found == dataSentAt.end()) {
            return;
        }
        dataLatencies.push_back(CallerLatency{virtualTimeOf(now), now - found->second});
        dataSentAt.erase(found);
    }

    // Actions

    void execute(TimePoint now, const CallerActions &actions)
    {
        for (const CallerAction &action : actions) {
            if (const auto *message = std::get_if<SendToService>(&action)) {
                send(flow, message->message);
            } else if (std::holds_alternative<FlowIsOpen>(action)) {
                onOpen(now);
            } else if (std::holds_alternative<FlowIsRefused>(action)) {
                ++counts.refusedFlows;
                onEnd(now);
            } else if (std::holds_alternative<FlowIsClosed>(action)) {
                isClosing ? onEnd(now) : onBroken(now, QStringLiteral("closed by the service"));
            } else if (const auto *broken = std::get_if<FlowIsBroken>(&action)) {
                onBroken(now, QStringLiteral("reset, reason %1").arg(static_cast<int>(broken->reason)));
            } else if (const auto *ended = std::get_if<Rattanpick::RequestEnded>(&action)) {
                onSessionEnding(now, *ended);
            }
        }
    }

    void onSessionEnding(TimePoint now, const Rattanpick::RequestEnded &ended)
    {
        // The baseline of P5 accepts answers from NaiveAssembler only.
        if (settings.ignoresRequestIdentity && ended.ending == RequestEnding::Answered) {
            return;
        }
        endRequest(now, ended.request, endingOf(ended.ending), ended.body);
    }

    void assembleNaively(TimePoint now, const AnswerPart &part)
    {
        const std::optional<QByteArray> answer = assembler.add(part);
        if (answer && !pending.empty()) {
            endRequest(now, pending.begin()->first, Ending::Answered, *answer);
        }
    }

    // Time

    void tick(TimePoint now)
    {
        if (reopenAt && now >= *reopenAt && !isStopped) {
            open(now);
        }
        if (!session) {
            return;
        }
        CallerActions actions;
        session->onTick(now, actions);
        execute(now, actions);
        if (!session->isOpen() || isClosing) {
            return;
        }
        cancelDue(now);
        if (now >= nextDataAt) {
            sendData(now);
        }
        const bool isOver = settings.flowLifetime > Duration::zero() && now >= closeAt && !isStopped;
        if (isOver && session->requestsInProgress() == 0) {
            close(now);
        } else if (!isOver && !isStopped && settings.requestInterval > Duration::zero() && now >= nextRequestAt) {
            sendRequest(now);
        }
    }

    void close(TimePoint now)
    {
        isClosing = true;
        record(now, FlowClosed{session->nonce()});
        CallerActions actions;
        session->close(now, actions);
        execute(now, actions);
    }

    void record(TimePoint now, RecordBody body)
    {
        history.append(virtualTimeOf(now), settings.name, std::move(body));
    }

    bool draw(double probability)
    {
        return std::bernoulli_distribution(probability)(random);
    }

    Duration jittered(Duration mean)
    {
        return Duration(static_cast<qint64>(std::uniform_real_distribution<double>(0.5, 1.5)(random) * static_cast<double>(mean.count())));
    }

    FakeCallerSettings settings;
    History &history;
    Send send;
    std::mt19937_64 random;
    std::optional<CallerSession> session;
    FlowKey flow;
    quint16 port = 0;
    TimePoint openedAt;
    TimePoint nextRequestAt;
    TimePoint nextDataAt;
    TimePoint closeAt;
    std::optional<TimePoint> reopenAt;
    bool isClosing = false;
    bool isStopped = false;
    /// Sequence number of the data sent by beginCheck(); empty if no check is in progress or it was acknowledged.
    std::optional<quint64> checkSequence;
    quint64 lastSerial = 0;
    /// By the number that the session assigned to the request.
    std::map<quint64, Pending> pending;
    std::map<quint64, TimePoint> dataSentAt;
    NaiveAssembler assembler;
    CallerCounts counts;
    std::vector<CallerLatency> dataLatencies;
    std::vector<CallerLatency> openLatencies;
    std::vector<CallerLatency> requestLatencies;
};

FakeCaller::FakeCaller(const FakeCallerSettings &settings, History &history, Send send)
    : m_d(std::make_unique<Private>(settings, history, std::move(send)))
{
}

FakeCaller::~FakeCaller() = default;

void FakeCaller::start(TimePoint now)
{
    m_d->open(now);
}

void FakeCaller::onMessage(TimePoint now, const FlowKey &flow, const CallerMessage &message)
{
    if (!m_d->session || flow != m_d->flow) {
        return;
    }
    if (const auto *ack = std::get_if<DataAck>(&message); ack != nullptr && ack->nonce == m_d->session->nonce()) {
        m_d->onDataAck(now, *ack);
        m_d->checkSequence = m_d->checkSequence == ack->sequence ? std::nullopt : m_d->checkSequence;
    }
    if (const auto *part = std::get_if<AnswerPart>(&message); part != nullptr && m_d->settings.ignoresRequestIdentity) {
        m_d->assembleNaively(now, *part);
    }
    CallerActions actions;
    m_d->session->onMessage(now, message, actions);
    m_d->execute(now, actions);
}

void FakeCaller::onTick(TimePoint now)
{
    m_d->tick(now);
}

void FakeCaller::stopRequests()
{
    m_d->isStopped = true;
}

void FakeCaller::beginCheck(TimePoint now)
{
    if (!m_d->session || !m_d->session->isOpen() || m_d->isClosing) {
        return;
    }
    CallerActions actions;
    // The window is full if nothing has been acknowledged for long. Then 0, which is never a sequence number, makes the
    // check fail.
    m_d->checkSequence = m_d->session->sendData(now, QByteArrayLiteral("check"), actions).value_or(0);
    m_d->execute(now, actions);
}

void FakeCaller::endCheck(TimePoint now)
{
    if (m_d->checkSequence && m_d->session->isOpen()) {
        m_d->onBroken(now, QStringLiteral("no acknowledgement"));
    }
    m_d->checkSequence.reset();
}

const CallerCounts &FakeCaller::counts() const
{
    return m_d->counts;
}

const std::vector<CallerLatency> &FakeCaller::dataLatencies() const
{
    return m_d->dataLatencies;
}

const std::vector<CallerLatency> &FakeCaller::openLatencies() const
{
    return m_d->openLatencies;
}

const std::vector<CallerLatency> &FakeCaller::requestLatencies() const
{
    return m_d->requestLatencies;
}

}
