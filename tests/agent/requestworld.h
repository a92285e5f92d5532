#pragma once

#include "tests/agent/modeltarget.h"

#include <agent/requesttable.h>
#include <caller/callersession.h>

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Rattanpick
{

/// Simulates callers, a network that repeats, reorders, delays and loses datagrams, and two agents with their targets.
///
/// Records the runs at the targets and every guarantee (P5 to P7) that is violated.
class RequestWorld
{
public:
    enum class Fault : quint8 { Deliver, DeliverCopy, Drop, Pass, Request, Cancel, LoseTarget, RestartAgent, ReplaceFlow, Drain, Misroute, Count };

    struct Step
    {
        quint8 fault = 0;
        quint32 choice = 0;
    };

    RequestWorld(const RequestTableSettings &settings, quint64 seed);

    /// Executes one step.
    void apply(const Step &step);

    /// Runs until all requests should have ended, with a network that no longer loses or delays datagrams.
    void finish();

    /// Descriptions of all violated guarantees.
    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }

    std::size_t answered() const
    {
        return m_answered;
    }

    std::size_t runs() const
    {
        return m_runs;
    }

private:
    struct Owned
    {
        quint64 nonce = 0;
        Incarnation flowIncarnation{};
    };

    struct Agent
    {
        std::unique_ptr<RequestTable> table;
        std::unique_ptr<ModelTarget> target;
        std::map<FlowKey, Owned> owned;
    };

    struct Sent
    {
        QByteArray body;
        bool hasEnded = false;
    };

    struct Caller
    {
        FlowKey flow;
        std::unique_ptr<CallerSession> session;
        std::map<quint64, Sent> sent;
    };

    enum class Towards : quint8 { Agent, Caller, OtherAgent };

    struct Datagram
    {
        Towards towards = Towards::Agent;
        std::size_t agent = 0;
        FlowKey flow;
        CallerMessage message;
        TimePoint sentAt{};
    };

    using MessageId = std::pair<quint64, quint64>;

    void check(bool isKept, const std::string &promise)
    {
        if (!isKept) {
            m_violations.push_back(promise);
        }
    }

    quint64 draw()
    {
        return m_random();
    }

    void startAgent(std::size_t index);
    void startCaller(std::size_t index);
    void deliver(Datagram datagram);
    void toAgent(std::size_t index, const FlowKey &flow, const CallerMessage &message);
    void execute(std::size_t index, const AgentActions &actions);
    void execute(std::size_t caller, const CallerActions &actions);
    void onSentToCaller(const CallerMessage &message);
    void onEnded(Caller &caller, const RequestEnded &ended);
    void onBegun(const TargetRequest &request);
    void pass(Duration elapsed);
    void replies(std::size_t index);

    RequestTableSettings m_settings;
    std::mt19937_64 m_random;
    TimePoint m_now{1h};
    std::array<Agent, 2> m_agents;
    std::vector<Caller> m_callers;
    std::vector<Datagram> m_network;
    bool m_isQuiet = false;
    quint64 m_bodies = 0;

    std::map<MessageId, int> m_runsOf;
    std::map<QByteArray, int> m_runsOfBody;
    std::map<QByteArray, bool> m_isIdempotent;
    std::set<MessageId> m_reportedNotRun;
    std::set<QByteArray> m_endedNotRun;
    std::vector<std::string> m_violations;
    std::size_t m_answered = 0;
    std::size_t m_runs = 0;
};

}
