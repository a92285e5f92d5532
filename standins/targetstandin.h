#pragma once

#include "standins/standinprocess.h"

#include <agent/targetmessage.h>
#include <core/endpoint.h>
#include <core/timepoint.h>
#include <fabric/udpsocket.h>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Rattanpick
{

/// Settings of a TargetStandIn.
struct TargetStandInSettings
{
    std::string name;
    /// Endpoint that receives the commands of the agent.
    Endpoint listen;
    /// Endpoint of the agent that receives the replies.
    Endpoint agent;
    quint64 seed = 1;
    int slots = 2;
    /// Mean run time of a request at full speed.
    Duration serviceTime = 20ms;
    /// Speed in percent; 50 doubles the run time.
    int speedPercent = 100;
    /// Time after the start within which the capacity rises from the cold share to 100%; 0 means that it is never cold.
    Duration coldTime{};
    int coldSharePercent = 10;
    /// Time between two data messages on each flow; 0 means that none are sent.
    Duration dataInterval = 500ms;
    /// Percentages of answer parts that are sent late, twice, or after later parts.
    int latePercent = 0;
    int repeatPercent = 0;
    int reorderPercent = 0;
    /// File with lines "drain = yes|no" and "shed = PERCENT"; changes take effect while the stand-in runs.
    std::string controlFile;
    /// File to which each run of a request is appended as a JSON line.
    std::string recordFile;
};

/// Stand-in for a target: runs requests in slots, holds flows, drains, sheds, starts cold and crashes on overload.
class TargetStandIn
{
public:
    /// Creates a stand-in; it does not listen before run().
    explicit TargetStandIn(const TargetStandInSettings &settings);

    /// Runs until a stop signal. Returns the exit code.
    int run();

private:
    using FlowId = std::pair<FlowKey, quint64>;
    using RequestId = std::tuple<FlowKey, quint64, quint64>;

    struct Flow
    {
        quint64 lastSent = 0;
        std::map<quint64, std::pair<QByteArray, TimePoint>> unacknowledged;
        TimePoint nextDataTime;
    };
    struct RunningRequest
    {
        TimePoint end{};
        QByteArray body;
    };
    struct DelayedReply
    {
        TimePoint due{};
        TargetReplyBody body;
    };

    void handle(TimePoint now, const TargetOpen &command);
    void handle(TimePoint now, const TargetData &command);
    void handle(TimePoint now, const TargetDataAck &command);
    void handle(TimePoint now, const TargetClose &command);
    void handle(TimePoint now, const TargetProbe &command);
    void handle(TimePoint now, const TargetRequest &command);
    void handle(TimePoint now, const TargetCancel &command);

    void sendReply(const TargetReplyBody &body);
    void sendReplyAt(TimePoint due, const TargetReplyBody &body);
    void sendAnswer(TimePoint now, const RequestId &id, const QByteArray &body);
    void finishRequests(TimePoint now);
    void sendDelayedReplies(TimePoint now);
    void sendData(TimePoint now);
    void readControl(TimePoint now);
    bool canBearLoad(TimePoint now);
    void crash(TimePoint now);
    void startIncarnation(TimePoint now);

    TargetStandInSettings m_settings;
    std::mt19937_64 m_random;
    UdpSocket m_socket;
    JsonLines m_record;
    Incarnation m_incarnation{};
    TimePoint m_startTime;
    std::map<FlowId, Flow> m_flows;
    std::map<RequestId, RunningRequest> m_running;
    std::set<RequestId> m_cancelled;
    std::vector<DelayedReply> m_delayedReplies;
    std::deque<std::pair<TimePoint, Duration>> m_recentRuns;
    TimePoint m_nextStatusTime;
    TimePoint m_nextControlTime;
    bool m_isDraining = false;
    int m_shedPercent = 0;
};

}
