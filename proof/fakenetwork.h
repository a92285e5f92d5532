#pragma once

#include "core/timepoint.h"

#include <QtGlobal>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace Rattanpick::Proof
{

/// Identifies a party: a process, a caller or the platform.
using PartyId = std::size_t;

/// Behaviour of datagram links.
struct LinkSettings
{
    /// Probabilities for each message, 0 to 1.
    double loss = 0;
    double duplication = 0;
    /// Probability that a message gets an extra delay of up to reorderDelay, so that later ones can overtake it.
    double reordering = 0;
    Duration reorderDelay = 30ms;

    bool operator==(const LinkSettings &) const = default;
};

/// A simulated network in virtual time, with delay, loss, duplication, reordering, partitions and frozen receivers.
///
/// All random numbers come from one seed, so that a run can be repeated exactly.
class FakeNetwork
{
public:
    /// Called when a message arrives.
    using Delivery = std::function<void(TimePoint now)>;

    /// Creates a network without parties at the virtual time @p start.
    FakeNetwork(quint64 seed, TimePoint start);

    // Parties and links

    /// Adds a party at a site; the latency between two parties is that of their sites, see setLatency().
    PartyId addParty(int site);

    /// Sets the one-way latency between two sites for both directions; 200 µs unless set.
    void setLatency(int firstSite, int secondSite, Duration latency);

    /// Sets the behaviour of all datagram links.
    void setLinkSettings(const LinkSettings &settings);

    /// Overrides the behaviour of datagrams between two parties, in both directions.
    void setPairSettings(PartyId first, PartyId second, const LinkSettings &settings);

    /// Removes the override of setPairSettings().
    void clearPairSettings(PartyId first, PartyId second);

    /// Cuts two parties off from each other: all messages between them are lost until heal(). Cuts are counted.
    void cut(PartyId first, PartyId second);

    /// Ends one cut between two parties.
    void heal(PartyId first, PartyId second);

    /// Freezes a party: messages to it are queued until resume().
    void freeze(PartyId party);

    /// Delivers the queued messages of a frozen party in the order of their arrival and ends freeze().
    void resume(PartyId party);

    bool isFrozen(PartyId party) const;

    // Messages

    /// Sends a datagram, which may be lost, duplicated or reordered.
    void sendDatagram(PartyId from, PartyId to, Delivery delivery);

    /// Sends a message that arrives exactly once unless the parties are cut; for calls over TCP and for local links.
    void sendReliably(PartyId from, PartyId to, Delivery delivery);

    /// Calls back after a delay, independently of any party.
    void after(Duration delay, Delivery callback);

    // Time

    /// The virtual time.
    TimePoint now() const;

    /// Delivers all messages that are due until @p end, then advances the time to it.
    void runUntil(TimePoint end);

    /// Number of messages delivered so far.
    quint64 deliveredMessages() const;

private:
    struct Pending
    {
        TimePoint at;
        /// Orders messages with equal times, so that runs are deterministic.
        quint64 sequence = 0;
        /// Receiver; unused for callbacks.
        PartyId to = 0;
        bool isCallback = false;
        Delivery delivery;

        bool operator>(const Pending &other) const
        {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };

    bool draw(double probability);
    bool isCut(PartyId first, PartyId second) const;
    Duration latencyOf(PartyId from, PartyId to);
    void push(TimePoint at, PartyId to, Delivery delivery, bool isCallback);

    std::mt19937_64 m_random;
    TimePoint m_now;
    quint64 m_sequence = 0;
    quint64 m_delivered = 0;
    LinkSettings m_settings;
    std::map<std::pair<PartyId, PartyId>, LinkSettings> m_pairSettings;
    std::vector<int> m_sites;
    std::map<std::pair<int, int>, Duration> m_latencies;
    std::map<std::pair<PartyId, PartyId>, int> m_cuts;
    std::map<PartyId, std::vector<Delivery>> m_held;
    std::priority_queue<Pending, std::vector<Pending>, std::greater<>> m_queue;
};

}
