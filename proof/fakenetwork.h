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

/// Names a party of the network.
using PartyId = std::size_t;

/// How the links between all parties behave.
struct LinkSettings
{
    /// Probabilities for one message, 0 to 1.
    double loss = 0;
    double duplication = 0;
    /// Probability that a message is delayed by up to reorderDelay more, so that later ones overtake it.
    double reordering = 0;
    Duration reorderDelay = 30ms;

    bool operator==(const LinkSettings &) const = default;
};

/// A queue of messages in virtual time with seeded delay, loss, duplication, reordering, cuts and frozen receivers.
class FakeNetwork
{
public:
    /// What happens when a message arrives.
    using Delivery = std::function<void(TimePoint now)>;

    /// Builds a network without parties at the virtual time @p start.
    FakeNetwork(quint64 seed, TimePoint start);

    // Parties and links

    /// Adds a party; the latency between parties of two sites is that of the pair, see setLatency().
    PartyId addParty(int site);

    /// One-way latency between two sites, in both directions; 200 µs for pairs not set.
    void setLatency(int firstSite, int secondSite, Duration latency);

    /// Behaviour of all datagram links from now on.
    void setLinkSettings(const LinkSettings &settings);

    /// Behaviour of datagrams between two parties from now on, in both directions, in place of the general one.
    void setPairSettings(PartyId first, PartyId second, const LinkSettings &settings);

    /// Ends setPairSettings().
    void clearPairSettings(PartyId first, PartyId second);

    /// Messages of either kind between the two parties are lost while cut.
    void cut(PartyId first, PartyId second);

    /// Ends the cut between two parties.
    void heal(PartyId first, PartyId second);

    /// Messages to the party are held from now on.
    void freeze(PartyId party);

    /// Messages held for the party arrive now, in the order of their arrival.
    void resume(PartyId party);

    /// Whether the party is frozen.
    bool isFrozen(PartyId party) const;

    // Messages

    /// Sends a datagram, which may be lost, repeated or overtaken.
    void sendDatagram(PartyId from, PartyId to, Delivery delivery);

    /// Sends a message that arrives once unless the parties are cut; for calls over TCP and for local links.
    void sendReliably(PartyId from, PartyId to, Delivery delivery);

    /// Calls back after a delay; belongs to no party.
    void after(Duration delay, Delivery callback);

    // Time

    /// The virtual time.
    TimePoint now() const;

    /// Delivers everything that is due until @p end, then moves the time to it.
    void runUntil(TimePoint end);

    /// Messages delivered so far.
    quint64 deliveredMessages() const;

private:
    struct Pending
    {
        TimePoint at;
        /// Orders messages of the same moment, so that every run repeats exactly.
        quint64 sequence = 0;
        /// Number of parties for a callback that belongs to none.
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
