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

/// Measurements of a SpreadFleet since resetMeasures().
struct SpreadMeasures
{
    quint64 notices = 0;
    quint64 pulls = 0;
    /// Bytes sent and received, summed over all nodes.
    quint64 bytes = 0;
    /// Bytes sent and received by the busiest node.
    quint64 maximumNodeBytes = 0;
    /// Platform calls in the busiest second, waiting watches included.
    quint64 platformCallsPeak = 0;
    quint64 platformCalls = 0;
    /// Number of times that a node applied a lower version than its current one.
    quint64 reverts = 0;
};

/// Simulates many SpreadNode objects in one thread, with a message queue and a platform in virtual time.
class SpreadFleet
{
public:
    /// Number of regions; the nodes of a region use the same replica of the platform.
    static constexpr int regionCount = 2;
    static constexpr int dataCentreCount = 6;

    /// Creates a fleet whose nodes have not started.
    explicit SpreadFleet(const SpreadFleetSettings &settings);
    ~SpreadFleet();

    // Faults and changes

    /// Starts or restarts all nodes without any state.
    void startAll();

    /// Starts or restarts one node without any state.
    void start(int node);

    void stop(int node);

    /// Stops all nodes of a data centre.
    void stopDataCentre(int dataCentre);

    /// Stops the readers of a data centre.
    void stopReaders(int dataCentre);

    /// Suspends a random share of the nodes for the time; messages to them are lost.
    void pause(double share, Duration time);

    /// Stores a document in the platform replica of a region.
    void setDocument(int region, const QByteArray &text);

    /// Stores a document in all platform replicas.
    void setDocument(const QByteArray &text);

    /// Sets whether the platform replica of a region answers calls.
    void setPlatformAnswers(int region, bool isAnswering);

    /// Sets whether messages and pulls are delivered between regions.
    void setRegionsConnected(bool areConnected);

    /// Sets the share of messages and pulls that is lost.
    void setLoss(double share);

    /// Sets a function that replaces the answers of pulls, to simulate damaged answers.
    void setAnswerFilter(std::function<std::optional<QByteArray>(int server, const QByteArray &answer)> filter);

    // Run

    /// Advances virtual time and delivers all messages that are due.
    void run(Duration time);

    /// Advances virtual time until the condition holds, checked every 10 ms; returns the time passed, or nothing if
    /// @p limit was reached.
    std::optional<Duration> runUntil(const std::function<bool()> &condition, Duration limit);

    /// The virtual time.
    TimePoint now() const
    {
        return m_now;
    }

    // State

    /// Whether the version of the document is in force on all nodes that run and are not paused.
    bool isInForceEverywhere(const QByteArray &text) const;

    /// Whether the same version is in force on all nodes that run, paused ones included.
    bool isConverged() const;

    /// Whether all nodes that run and are not paused are ready to serve.
    bool areAllReady() const;

    /// The node, which must be running.
    SpreadNode &node(int index);

    bool isRunning(int index) const;

    static int dataCentreOf(int node);

    static int regionOf(int node);

    /// Maximum number of pulls through which the version in force on a node has come from the platform.
    int longestPath() const;

    /// The measurements since resetMeasures().
    SpreadMeasures measures() const;

    /// Resets the measurements.
    void resetMeasures();

    /// A document with the number; @p tag distinguishes documents with the same number.
    static QByteArray makeDocument(quint64 number, const QByteArray &tag = {});

    /// Parses a document of makeDocument(): number and digest only.
    static ParsedDocument parse(const QByteArray &text);

private:
    struct Node;
    struct Event;
    struct Replica;
    class SharedSnapshotFactory;

    void post(TimePoint time, Event event);
    void deliver(const Event &event);
    void tick(int index);
    void execute(int index, int source, SpreadActions &actions);
    void executeAction(int index, int source, const SpreadAction &action);
    void sendNotice(int from, const SendVersionNotice &action);
    void sendPull(int from, const PullDocument &action);
    void answerPull(const Event &event);
    void callPlatform(int from, const ReadPlatform &action);
    void answerPlatform(const Event &event);
    void countCall();
    void countBytes(int from, int to, quint64 bytes);
    bool isTransmitted(int from, int to);
    Duration latency(int from, int to) const;
    bool isActive(int index) const;

    SpreadFleetSettings m_settings;
    std::mt19937_64 m_random;
    TimePoint m_now;
    quint64 m_sequence = 0;
    std::vector<Node> m_nodes;
    InstanceList m_instances;
    std::shared_ptr<SharedSnapshotFactory> m_snapshots;
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
