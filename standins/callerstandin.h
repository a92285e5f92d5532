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

/// Settings of a CallerStandIn.
struct CallerStandInSettings
{
    Endpoint fabric;
    /// Flows are assigned to these services in turn.
    std::vector<Endpoint> services;
    /// Source address of all flows; each uses a port of its own.
    quint32 address = 0x7f000001;
    quint64 seed = 1;
    int flows = 50;
    Duration duration = 10s;
    /// Mean time between two requests of a flow.
    Duration requestInterval = 500ms;
    /// Time between two data messages of a flow.
    Duration dataInterval = 500ms;
    Duration requestDeadline = 3s;
    /// Percentage of requests that may run more than once.
    int idempotentPercent = 50;
    /// File to which each result is appended as a JSON line.
    std::string recordFile;
};

/// Stand-in for callers: keeps many flows open, with data in both directions and with idempotent and other requests.
class CallerStandIn
{
public:
    /// Creates a stand-in; it sends nothing before run().
    explicit CallerStandIn(const CallerStandInSettings &settings);

    /// Runs for the configured duration and prints a summary as one line of JSON. Returns the exit code.
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
        TimePoint nextRequestTime;
        TimePoint nextDataTime;
        TimePoint nextOpenTime;
        int incarnation = 0;
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

    bool createFlows();
    void startSession(TimePoint now, std::size_t index);
    void receive(TimePoint now, Flow &flow);
    void updateFlow(TimePoint now, std::size_t index);
    void sendRequest(TimePoint now, std::size_t index);
    void execute(TimePoint now, Flow &flow);
    void onRequestEnded(TimePoint now, Flow &flow, const RequestEnded &ended);
    void onFlowEnded(TimePoint now, Flow &flow, const char *ending, RefusalReason reason);
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
