#pragma once

#include "standins/standinprocess.h"

#include <caller/callersession.h>
#include <core/endpoint.h>
#include <core/timepoint.h>
#include <fabric/udpsocket.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Rattanpick
{

/// What a CallerStandIn is built from.
struct CallerStandInSettings
{
    Endpoint fabric;
    /// Flows are spread over these services in turn.
    std::vector<Endpoint> services;
    /// The address that all flows come from; each has a port of its own.
    quint32 address = 0x7f000001;
    quint64 seed = 1;
    int flows = 50;
    Duration duration = 10s;
    /// Mean time between two requests of a flow.
    Duration requestInterval = 500ms;
    /// Time between two messages of data of a flow.
    Duration dataInterval = 500ms;
    Duration requestDeadline = 3s;
    /// Percentage of requests that may run more than once.
    int idempotentPercent = 50;
    /// Each result is appended as a JSON line.
    std::string recordFile;
};

/// Stands in for callers: holds many flows open, with data both ways and requests of both kinds.
class CallerStandIn
{
public:
    /// Builds a stand-in that sends nothing yet.
    explicit CallerStandIn(const CallerStandInSettings &settings);

    /// Works for the duration, prints a summary as one line of JSON; the exit code.
    int run();

private:
    struct SentRequest
    {
        QByteArray body;
        bool isIdempotent = false;
    };
    struct Flow
    {
        std::unique_ptr<UdpSocket> socket;
        FlowKey key;
        std::unique_ptr<CallerSession> session;
        std::map<quint64, SentRequest> requests;
        TimePoint requestDeadline;
        TimePoint dataDeadline;
        TimePoint openDeadline;
        int life = 0;
        bool isEnded = false;
    };
    struct Summary
    {
        int flows = 0;
        int broken = 0;
        int givenUp = 0;
        int notOpened = 0;
        int requests = 0;
        int answered = 0;
        int refused = 0;
        int unknown = 0;
        int wrongAnswers = 0;
        int dataSent = 0;
        int dataReceived = 0;
    };

    bool openSockets();
    void startSession(TimePoint now, std::size_t index);
    void receive(TimePoint now, Flow &flow);
    void work(TimePoint now, std::size_t index);
    void sendRequest(TimePoint now, std::size_t index);
    void carryOut(TimePoint now, Flow &flow);
    void onEnded(TimePoint now, Flow &flow, const RequestEnded &ended);
    void onFlowEnded(TimePoint now, Flow &flow, const char *how, RefusalReason reason);
    bool isIdle() const;
    void closeAll();
    void printSummary() const;

    CallerStandInSettings m_settings;
    std::mt19937_64 m_random;
    JsonLines m_record;
    std::vector<Flow> m_flows;
    Summary m_summary;
    CallerActions m_actions;
    bool m_isFinishing = false;
};

}
