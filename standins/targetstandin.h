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

/// What a TargetStandIn is built from.
struct TargetStandInSettings
{
    std::string name;
    /// Where the agent sends commands.
    Endpoint listen;
    /// Where the agent listens for replies.
    Endpoint agent;
    quint64 seed = 1;
    int slots = 2;
    /// Mean time of a request at full speed.
    Duration serviceTime = 20ms;
    /// Speed in percent; 50 takes twice the time.
    int speedPercent = 100;
    /// After its start the target bears only a share that rises to 100% within this time; 0 means it is never cold.
    Duration coldTime{};
    int coldSharePercent = 10;
    /// Time between two messages of data on each flow; 0 means none.
    Duration dataInterval = 500ms;
    /// Percentage of answer parts that come late, twice, or after the next ones.
    int latePercent = 0;
    int repeatPercent = 0;
    int reorderPercent = 0;
    /// Lines "drain = yes|no" and "shed = PERCENT"; read again when it changes.
    std::string controlFile;
    /// Each run of a request is appended as a JSON line.
    std::string recordFile;
};

/// Stands in for a target: runs requests in slots, holds flows, and can drain, shed, start cold and fall over.
class TargetStandIn
{
public:
    /// Builds a stand-in that does not listen yet.
    explicit TargetStandIn(const TargetStandInSettings &settings);

    /// Works until a stop signal; the exit code.
    int run();

private:
    using FlowId = std::pair<FlowKey, quint64>;
    using RequestId = std::tuple<FlowKey, quint64, quint64>;

    struct Flow
    {
        quint64 lastSent = 0;
        std::map<quint64, std::pair<QByteArray, TimePoint>> unacknowledged;
        TimePoint dataDeadline;
    };
    struct Running
    {
        TimePoint end{};
        QByteArray body;
    };
    struct Later
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

    void reply(const TargetReplyBody &body);
    void replyLater(TimePoint due, const TargetReplyBody &body);
    void answer(TimePoint now, const RequestId &id, const QByteArray &body);
    void finishRuns(TimePoint now);
    void sendDue(TimePoint now);
    void sendData(TimePoint now);
    void readControl(TimePoint now);
    bool bearsOneMore(TimePoint now);
    void fallOver(TimePoint now);
    void startLife(TimePoint now);

    TargetStandInSettings m_settings;
    std::mt19937_64 m_random;
    UdpSocket m_socket;
    JsonLines m_record;
    Incarnation m_incarnation{};
    TimePoint m_started;
    std::map<FlowId, Flow> m_flows;
    std::map<RequestId, Running> m_running;
    std::set<RequestId> m_cancelled;
    std::vector<Later> m_later;
    std::deque<std::pair<TimePoint, Duration>> m_starts;
    TimePoint m_statusDeadline;
    TimePoint m_controlDeadline;
    bool m_isDraining = false;
    int m_shedPercent = 0;
};

}
