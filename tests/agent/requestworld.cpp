#include "tests/agent/requestworld.h"

namespace Rattanpick
{

namespace
{

// Below RequestTableSettings::retrySettling, the assumed maximum lifetime of a handed-over request in the network.
constexpr Duration longestHandOver = 9s;

const ModelTarget::Settings erraticTarget{2, 15ms, 0.1, 2s, 2.0, 10, 15, 40};

}

RequestWorld::RequestWorld(const RequestTableSettings &settings, quint64 seed)
    : m_settings(settings)
    , m_random(seed)
    , m_callers(3)
{
    for (std::size_t index = 0; index < m_agents.size(); ++index) {
        m_agents[index].target = std::make_unique<ModelTarget>(erraticTarget, draw(), m_now);
        m_agents[index].target->setBegunHandler([this](const TargetRequest &request) { onBegun(request); });
        startAgent(index);
    }
    for (std::size_t index = 0; index < m_callers.size(); ++index) {
        m_callers[index].flow = FlowKey{{1, static_cast<quint16>(index + 1)}, {2, 2}, 17};
        startCaller(index);
    }
    // From here on both agents run handed-over requests.
    pass(10s);
}

void RequestWorld::apply(const Step &step)
{
    const auto pick = [&step](std::size_t size) {
        return step.choice % size;
    };
    Caller &caller = m_callers[pick(m_callers.size())];
    const std::size_t callerIndex = pick(m_callers.size());
    const std::size_t agentIndex = (step.choice / 16) % m_agents.size();
    CallerActions callerActions;
    AgentActions agentActions;
    switch (static_cast<Fault>(step.fault)) {
    case Fault::Deliver:
    case Fault::Misroute:
        for (quint32 count = 0; count <= step.choice / 1024 % 8 && !m_network.empty(); ++count) {
            const auto place = m_network.begin() + static_cast<qsizetype>((step.choice + count * 7919) % m_network.size());
            Datagram datagram = *place;
            m_network.erase(place);
            if (static_cast<Fault>(step.fault) == Fault::Misroute && datagram.towards == Towards::Agent) {
                datagram.agent = 1 - datagram.agent;
            }
            deliver(std::move(datagram));
        }
        break;
    case Fault::DeliverCopy:
        if (!m_network.empty()) {
            deliver(m_network[pick(m_network.size())]);
        }
        break;
    case Fault::Drop:
        if (!m_network.empty()) {
            m_network.erase(m_network.begin() + static_cast<qsizetype>(pick(m_network.size())));
        }
        break;
    case Fault::Pass:
        pass(std::chrono::milliseconds(1 + step.choice % (step.choice % 8 == 0 ? 900 : 60)));
        break;
    case Fault::Request: {
        const bool isIdempotent = (step.choice / 8) % 2 == 0;
        const QByteArray body = "request " + QByteArray::number(++m_bodies) + QByteArray(static_cast<qsizetype>(step.choice % 37), '.');
        const TimePoint deadline = m_now + std::chrono::milliseconds(1 + (step.choice / 32) % 1500);
        m_isIdempotent[body] = isIdempotent;
        if (const auto number = caller.session->sendRequest(m_now, body, isIdempotent, deadline, callerActions)) {
            caller.sent[*number] = Sent{body, false};
        }
        break;
    }
    case Fault::Cancel:
        if (!caller.sent.empty()) {
            caller.session->cancel(
                m_now, caller.sent.rbegin()->first - std::min<quint64>(caller.sent.rbegin()->first - 1, (step.choice / 64) % 3), callerActions);
        }
        break;
    case Fault::LoseTarget: {
        Agent &agent = m_agents[agentIndex];
        agent.target->restart(m_now);
        agent.table->onTargetLost(m_now, agentActions);
        // The new process has no flows; some stay open here, as if it had taken them over.
        const std::map<FlowKey, Owned> owned = agent.owned;
        for (const auto &[flow, known] : owned) {
            if (draw() % 2 == 0) {
                agent.table->closeFlow(m_now, flow, agentActions);
                agent.owned.erase(flow);
                agentActions.emplace_back(SendToCaller{flow, Reset{known.nonce, RefusalReason::TargetLost}});
            }
        }
        execute(agentIndex, agentActions);
        break;
    }
    case Fault::RestartAgent: {
        Agent &agent = m_agents[agentIndex];
        startAgent(agentIndex);
        for (auto &[flow, known] : agent.owned) {
            known.flowIncarnation = Incarnation{draw() | 1};
            agent.table->openFlow(flow, known.nonce, known.flowIncarnation, true);
            m_network.push_back(Datagram{Towards::Caller, agentIndex, flow, Rebound{known.nonce, known.flowIncarnation}, m_now});
        }
        break;
    }
    case Fault::ReplaceFlow:
        caller.session->close(m_now, callerActions);
        execute(callerIndex, callerActions);
        callerActions.clear();
        startCaller(callerIndex);
        break;
    case Fault::Drain:
        m_agents[agentIndex].table->refuseNewRequests(step.choice % 3 == 0 ? RefusalReason::Draining : RefusalReason::None);
        break;
    case Fault::Count:
        break;
    }
    execute(callerIndex, callerActions);
}

void RequestWorld::finish()
{
    m_isQuiet = true;
    // Longer than every deadline and than the retention of answers that are never acknowledged.
    for (int round = 0; round < 500; ++round) {
        pass(round < 200 ? 10ms : 50ms);
        const std::vector<Datagram> arrived = std::exchange(m_network, {});
        for (const Datagram &datagram : arrived) {
            deliver(datagram);
        }
    }
    for (const Caller &caller : m_callers) {
        check(caller.session->requestsInProgress() == 0, "a request never ended");
        for (const auto &[number, sent] : caller.sent) {
            check(sent.hasEnded, "a request was not reported as ended: " + sent.body.toStdString());
        }
    }
    for (Agent &agent : m_agents) {
        check(agent.table->isIdle(), "an agent has requests or answers after all callers have ended");
    }
}

void RequestWorld::startAgent(std::size_t index)
{
    m_agents[index].table = std::make_unique<RequestTable>(m_settings);
}

void RequestWorld::startCaller(std::size_t index)
{
    Caller &caller = m_callers[index];
    for (const auto &[number, sent] : caller.sent) {
        check(sent.hasEnded, "closing did not end a request: " + sent.body.toStdString());
    }
    caller.sent.clear();
    CallerSessionSettings settings;
    settings.seed = draw();
    settings.hedgeDelay = 60ms;
    settings.retryBudgetPercent = 50;
    caller.session = std::make_unique<CallerSession>(settings);
    CallerActions actions;
    caller.session->open(m_now, actions);
    // Most flows are opened at once, so that most steps of a sequence concern requests.
    const bool isPrompt = draw() % 4 != 0;
    execute(index, actions);
    if (isPrompt) {
        const std::size_t agent = draw() % 2;
        toAgent(agent, caller.flow, Open{caller.session->nonce()});
        deliver(m_network.back());
    }
}

void RequestWorld::deliver(Datagram datagram)
{
    switch (datagram.towards) {
    case Towards::Agent:
        toAgent(datagram.agent, datagram.flow, datagram.message);
        return;
    case Towards::OtherAgent:
        if (m_now - datagram.sentAt < longestHandOver) {
            AgentActions actions;
            m_agents[datagram.agent].table->onRetriedRequest(m_now, datagram.flow, std::get<Request>(datagram.message), actions);
            execute(datagram.agent, actions);
        }
        return;
    case Towards::Caller:
        for (std::size_t index = 0; index < m_callers.size(); ++index) {
            if (m_callers[index].flow == datagram.flow) {
                CallerActions actions;
                m_callers[index].session->onMessage(m_now, datagram.message, actions);
                execute(index, actions);
            }
        }
        return;
    }
}

void RequestWorld::toAgent(std::size_t index, const FlowKey &flow, const CallerMessage &message)
{
    Agent &agent = m_agents[index];
    AgentActions actions;
    const auto known = agent.owned.find(flow);
    const bool isOwned = known != agent.owned.end() && known->second.nonce == nonceOf(message);
    if (std::holds_alternative<Open>(message)) {
        if (!isOwned) {
            agent.owned[flow] = Owned{nonceOf(message), Incarnation{draw() | 1}};
            agent.table->openFlow(flow, nonceOf(message), agent.owned[flow].flowIncarnation, false);
        }
        actions.emplace_back(SendToCaller{flow, Opened{nonceOf(message), agent.owned[flow].flowIncarnation}});
    } else if (const auto *const request = std::get_if<Request>(&message)) {
        agent.table->onRequest(m_now, flow, *request, actions);
    } else if (const auto *const cancel = std::get_if<Cancel>(&message)) {
        agent.table->onCancel(m_now, flow, *cancel, actions);
    } else if (const auto *const ack = std::get_if<AnswerAck>(&message)) {
        agent.table->onAnswerAck(m_now, flow, *ack, actions);
    } else if (std::holds_alternative<KeepAlive>(message) && isOwned) {
        actions.emplace_back(SendToCaller{flow, Rebound{nonceOf(message), known->second.flowIncarnation}});
    } else if (std::holds_alternative<Close>(message) && isOwned) {
        agent.table->closeFlow(m_now, flow, actions);
        agent.owned.erase(known);
        actions.emplace_back(SendToCaller{flow, Closed{nonceOf(message)}});
    }
    execute(index, actions);
}

void RequestWorld::execute(std::size_t index, const AgentActions &actions)
{
    for (const AgentAction &action : actions) {
        if (const auto *const sent = std::get_if<SendToCaller>(&action)) {
            onSentToCaller(sent->message);
            m_network.push_back(Datagram{Towards::Caller, index, sent->flow, sent->message, m_now});
        } else if (const auto *const command = std::get_if<SendToTarget>(&action)) {
            m_agents[index].target->onCommand(m_now, command->command);
        } else if (const auto *const retry = std::get_if<RetryElsewhere>(&action)) {
            m_network.push_back(Datagram{Towards::OtherAgent, 1 - index, retry->flow, retry->request, m_now});
        }
    }
}

void RequestWorld::execute(std::size_t caller, const CallerActions &actions)
{
    for (const CallerAction &action : actions) {
        if (const auto *const sent = std::get_if<SendToService>(&action)) {
            // A flow that was opened during a network partition may be owned by both agents.
            const std::size_t agent = m_isQuiet || draw() % 8 != 0 ? caller % m_agents.size() : draw() % m_agents.size();
            m_network.push_back(Datagram{Towards::Agent, agent, m_callers[caller].flow, sent->message, m_now});
        } else if (const auto *const ended = std::get_if<RequestEnded>(&action)) {
            onEnded(m_callers[caller], *ended);
        }
    }
}

void RequestWorld::onSentToCaller(const CallerMessage &message)
{
    const auto *const refused = std::get_if<Refused>(&message);
    if (!refused || refused->outcome != Outcome::NotRun) {
        return;
    }
    const MessageId id{refused->nonce, refused->number};
    check(!m_runsOf.contains(id), "P6: reported as not run after it had run");
    m_reportedNotRun.insert(id);
}

void RequestWorld::onEnded(Caller &caller, const RequestEnded &ended)
{
    const auto found = caller.sent.find(ended.request);
    if (found == caller.sent.end() || found->second.hasEnded) {
        check(false, "a request ended twice or was never sent");
        return;
    }
    Sent &sent = found->second;
    sent.hasEnded = true;
    if (ended.ending == RequestEnding::Answered) {
        ++m_answered;
        check(ended.body == ModelTarget::answerTo(sent.body), "P5: wrong or incomplete answer: " + ended.body.toStdString());
        check(m_runsOfBody.contains(sent.body), "P5: answered without a run");
    } else if (ended.ending == RequestEnding::NotRun) {
        check(!m_runsOfBody.contains(sent.body), "P6: ended as not run after a run");
        m_endedNotRun.insert(sent.body);
    }
}

void RequestWorld::onBegun(const TargetRequest &request)
{
    const MessageId id{request.nonce, request.number};
    ++m_runs;
    ++m_runsOf[id];
    const int runs = ++m_runsOfBody[request.body];
    check(runs == 1 || m_isIdempotent[request.body], "P7: ran twice: " + request.body.toStdString());
    check(!m_reportedNotRun.contains(id), "P6: ran after it was reported as not run");
    check(!m_endedNotRun.contains(request.body), "P6: ran after it had ended as not run");
}

void RequestWorld::pass(Duration elapsed)
{
    const TimePoint end = m_now + elapsed;
    while (m_now < end) {
        m_now = std::min(end, m_now + (elapsed > 1s ? 100ms : std::min<Duration>(elapsed, 10ms)));
        for (std::size_t index = 0; index < m_agents.size(); ++index) {
            replies(index);
            AgentActions actions;
            m_agents[index].table->onTick(m_now, actions);
            execute(index, actions);
        }
        for (std::size_t index = 0; index < m_callers.size(); ++index) {
            CallerActions actions;
            m_callers[index].session->onTick(m_now, actions);
            execute(index, actions);
        }
    }
}

void RequestWorld::replies(std::size_t index)
{
    RequestTable &table = *m_agents[index].table;
    for (const TargetReplyBody &reply : m_agents[index].target->advance(m_now)) {
        AgentActions actions;
        if (const auto *const part = std::get_if<TargetAnswerPart>(&reply)) {
            table.onTargetAnswerPart(m_now, *part, actions);
        } else if (const auto *const shed = std::get_if<TargetShed>(&reply)) {
            table.onTargetShed(m_now, *shed, actions);
        } else if (const auto *const cancelled = std::get_if<TargetCancelled>(&reply)) {
            table.onTargetCancelled(m_now, *cancelled, actions);
        }
        execute(index, actions);
    }
}

}
