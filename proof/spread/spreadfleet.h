#pragma once

#include "proof/spread/spreadfleetsettings.h"

#include <spread/spreadnode.h>

#include <QByteArray>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace Rattanpick::Proof
{

/// What one run of a SpreadFleet has measured since resetMeasures().
struct SpreadMeasures
{
    quint64 notices = 0;
    quint64 pulls = 0;
    /// Bytes sent and received, summed over all nodes.
    quint64 bytes = 0;
    /// Bytes sent and received by the node with the most.
    quint64 mostBytes = 0;
    /// Calls started in the busiest second, with the watches that wait during it.
    quint64 platformCallsPeak = 0;
    quint64 platformCalls = 0;
    /// Adoptions of a version lower than the one before.
    quint64 reverts = 0;
};

/// Many SpreadNode objects in one process with a queue of messages and a platform; no sockets, threads or clocks.
class SpreadFleet
{
public:
    /// Regions of the fleet; nodes of one region share a replica of the platform.
    static constexpr int regionCount = 2;
    static constexpr int dataCentreCount = 6;

    /// Builds a fleet whose nodes have not started.
    explicit SpreadFleet(const SpreadFleetSettings &settings);
    ~SpreadFleet();

    // Faults and changes

    /// Starts every node anew at the present time, without any state.
    void startAll();

    /// Starts one node anew.
    void start(int node);

    /// Stops one node.
    void stop(int node);

    /// Stops all nodes of a data centre.
    void stopDataCentre(int dataCentre);

    /// Stops the nodes that read the platform in a data centre.
    void stopReaders(int dataCentre);

    /// Keeps a random share of the running nodes from running for the time; messages to them are lost.
    void pause(double share, Duration time);

    /// Puts a document at the replica of the platform in the region.
    void setDocument(int region, const QByteArray &text);

    /// Puts a document at all replicas.
    void setDocument(const QByteArray &text);

    /// Whether the replica of the region answers.
    void setPlatformAnswers(int region, bool answers);

    /// Whether messages pass between the regions.
    void setRegionsConnected(bool areConnected);

    /// A share of all messages and pulls is lost.
    void setLoss(double share);

    /// The next pulls are answered with what the function makes of the answer; for damaged answers.
    void setAnswerFilter(std::function<std::optional<QByteArray>(int server, const QByteArray &answer)> filter);

    // Run

    /// Passes time and delivers what is due.
    void run(Duration time);

    /// Passes time until the condition holds, checked each 10 ms; the time passed, or nothing if @p limit was reached.
    std::optional<Duration> runUntil(const std::function<bool()> &condition, Duration limit);

    /// The present time.
    TimePoint now() const
    {
        return m_now;
    }

    // State

    /// Whether all nodes that run and are not paused have the version of the document in force.
    bool isInForceEverywhere(const QByteArray &text) const;

    /// Whether all nodes that run have any same version in force; paused ones included.
    bool isConverged() const;

    /// Whether all nodes that run are ready to serve.
    bool areAllReady() const;

    /// The node; it must run.
    SpreadNode &node(int index);

    /// Whether the node runs.
    bool isRunning(int index) const;

    /// The data centre of the node.
    static int dataCentreOf(int node);

    /// The region of the node.
    static int regionOf(int node);

    /// Number of pulls on the longest way from the platform to a node, for the version in force there.
    int longestPath() const;

    /// The measures since resetMeasures().
    SpreadMeasures measures() const;

    /// Starts measuring anew.
    void resetMeasures();

    /// A document with the number and a text that tells documents with one number apart.
    static QByteArray makeDocument(quint64 number, const QByteArray &tag = {});

    /// Parses what makeDocument() wrote: number and digest only.
    static ParsedDocument parse(const QByteArray &text);

private:
    struct Node;
    struct Event;
    struct Replica;
    class SharedSnapshots;

    void post(TimePoint time, Event event);
    void deliver(const Event &event);
    void tick(int index);
    void carryOut(int index, int source, SpreadActions &actions);
    void perform(int index, int source, const SpreadAction &action);
    void sendNotice(int from, const SendVersionNotice &action);
    void sendPull(int from, const PullDocument &action);
    void answerPull(const Event &event);
    void callPlatform(int from, const ReadPlatform &action);
    void answerPlatform(const Event &event);
    void countCall();
    void countBytes(int from, int to, quint64 bytes);
    bool passes(int from, int to);
    Duration latency(int from, int to) const;
    bool isAwake(int index) const;

    SpreadFleetSettings m_settings;
    std::mt19937_64 m_random;
    TimePoint m_now;
    quint64 m_sequence = 0;
    std::vector<Node> m_nodes;
    InstanceList m_instances;
    std::shared_ptr<SharedSnapshots> m_snapshots;
    std::vector<Event> m_events;
    std::array<std::unique_ptr<Replica>, regionCount> m_replicas;
    bool m_areRegionsConnected = true;
    double m_loss = 0;
    std::function<std::optional<QByteArray>(int, const QByteArray &)> m_answerFilter;
    SpreadMeasures m_measures;
    std::map<qint64, quint64> m_callsBySecond;
    std::set<quint64> m_waitingWatches;
};

}
