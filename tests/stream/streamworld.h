#pragma once

#include "plainformat.h"

#include <stream/streamagent.h>
#include <stream/streambalancer.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace Rattanpick
{

/// What a StreamWorld is built from.
struct StreamWorldSettings
{
    quint64 seed = 1;
    int balancers = 2;
    int targets = 4;
    /// Requests that a target runs at the same time, and that wait in it; further ones are shed.
    int slotCount = 2;
    int targetQueue = 8;
    /// Mean time that a target works on a request.
    Duration workTime = 20ms;
    /// Time after which a caller gives a request up, and further attempts that it makes before.
    Duration callerTimeout = 500ms;
    int callerRetries = 2;
    /// Share of the datagrams that are lost.
    double loss = 0;
    /// The settings of the agents that the test varies.
    StreamAgentSettings agent;
};

/// What became of a request.
enum class RequestEnd : quint8 {
    Pending,
    Answered,
    /// Every attempt was reset, shed or not opened.
    Refused,
    TimedOut,
};

/// One request of a caller and what the caller saw of it.
struct WorldRequest
{
    TimePoint begin;
    TimePoint end{};
    RequestEnd result = RequestEnd::Pending;
    int attempts = 0;
    /// Resets that the caller got on flows that a living target held.
    int wrongResets = 0;
};

/// Balancers, agents, targets and callers in simulated time; the network delays and loses datagrams by the seed.
///
/// The decision objects are those of the daemons. Targets bounce what they do not hold, as the platform's do.
class StreamWorld
{
public:
    /// Builds a world whose processes know all targets.
    explicit StreamWorld(const StreamWorldSettings &settings);
    ~StreamWorld();

    // Time

    /// The simulated time.
    TimePoint now() const
    {
        return m_now;
    }

    /// Does something at a time.
    void at(TimePoint time, std::function<void()> action);

    /// Lets time pass.
    void runUntil(TimePoint time);

    // Callers

    /// A caller opens a flow and makes a request on it; the flow stays open and may carry others.
    int request();

    /// A caller makes another request on the flow of an earlier one, or on a new flow if that one is over.
    int requestAgain(int earlier);

    /// All requests by number.
    const std::vector<WorldRequest> &requests() const
    {
        return m_requests;
    }

    /// The share of the requests that were answered within the time.
    double answeredWithin(Duration time) const;

    // Faults

    /// Replaces a balancer process by one that knows the targets and no flow.
    void restartBalancer(int index);

    /// Ends the process beside a target; a new one starts after the time.
    void restartAgent(int index, Duration downTime);

    /// Ends the target process; another one takes its place after the time, and the store tells it later still.
    void replaceTarget(int index, Duration downTime);

    /// The target begins to drain.
    void drainTarget(int index);

    /// Packets of callers go to balancers by another hash.
    void reshuffle()
    {
        ++m_hashSeed;
    }

    // What targets saw

    /// Requests that a target has begun.
    int runs(int target) const;

    /// Openings that a target took later than the time after its drain began.
    int openingsAfterDrain(int target, Duration time) const;

private:
    class Target;
    struct Caller;

    void deliverMessage(const Endpoint &to, const StreamMessage &message);
    void carryOut(StreamActions &actions, int agentIndex);
    void toTarget(int index, const QByteArray &packet);
    void fromTarget(int index, const Segment &segment);
    void toCaller(const QByteArray &packet);
    void fromCaller(const Segment &segment);
    void tick();
    void tellDirectory(const DirectoryChange &change, Duration delay);
    std::vector<DirectoryChange> directoryNow() const;
    std::unique_ptr<StreamBalancer> makeBalancer(int index);
    std::unique_ptr<StreamAgent> makeAgent(int index);
    Duration delay();
    bool isLost();

    // Callers
    void open(Caller &caller);
    void sendRequest(Caller &caller);
    void repeatRequest(quint64 id, quint32 sequence, Duration interval);
    void endAttempt(Caller &caller);
    void finish(Caller &caller, RequestEnd result);

    StreamWorldSettings m_settings;
    PlainFormat m_format;
    std::mt19937_64 m_random;
    TimePoint m_now;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<std::unique_ptr<StreamBalancer>> m_balancers;
    std::vector<std::unique_ptr<StreamAgent>> m_agents;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::map<quint64, std::unique_ptr<Caller>> m_callers;
    std::map<Endpoint, quint64> m_callerByPort;
    std::vector<WorldRequest> m_requests;
    quint64 m_nextAttempt = 1;
    quint64 m_hashSeed = 0;
    quint64 m_revision = 1000;
    quint16 m_nextPort = 1024;
    quint32 m_nextAddress = 0x64400001;
};

}
