#include "proof/fakenetwork.h"

#include "core/assertion.h"

#include <algorithm>

namespace Rattanpick::Proof
{

namespace
{

constexpr Duration defaultLatency = 200us;

/// Maximum jitter of a delivery as a share of its latency.
constexpr double jitterShare = 0.2;

}

FakeNetwork::FakeNetwork(quint64 seed, TimePoint start)
    : m_random(seed)
    , m_now(start)
{
}

// Parties and links

PartyId FakeNetwork::addParty(int site)
{
    m_sites.push_back(site);
    return m_sites.size() - 1;
}

void FakeNetwork::setLatency(int firstSite, int secondSite, Duration latency)
{
    m_latencies[std::minmax(firstSite, secondSite)] = latency;
}

void FakeNetwork::setLinkSettings(const LinkSettings &settings)
{
    m_settings = settings;
}

void FakeNetwork::setPairSettings(PartyId first, PartyId second, const LinkSettings &settings)
{
    m_pairSettings[std::minmax(first, second)] = settings;
}

void FakeNetwork::clearPairSettings(PartyId first, PartyId second)
{
    m_pairSettings.erase(std::minmax(first, second));
}

void FakeNetwork::cut(PartyId first, PartyId second)
{
    // Cuts are counted, because two overlapping faults may cut the same pair.
    ++m_cuts[std::minmax(first, second)];
}

void FakeNetwork::heal(PartyId first, PartyId second)
{
    const auto found = m_cuts.find(std::minmax(first, second));
    RP_ASSERT(found != m_cuts.end());
    if (--found->second == 0) {
        m_cuts.erase(found);
    }
}

void FakeNetwork::freeze(PartyId party)
{
    m_held.try_emplace(party);
}

void FakeNetwork::resume(PartyId party)
{
    const auto found = m_held.find(party);
    if (found == m_held.end()) {
        return;
    }
    std::vector<Delivery> held = std::move(found->second);
    m_held.erase(found);
    for (Delivery &delivery : held) {
        push(m_now, party, std::move(delivery), false);
    }
}

bool FakeNetwork::isFrozen(PartyId party) const
{
    return m_held.contains(party);
}

// Messages

void FakeNetwork::sendDatagram(PartyId from, PartyId to, Delivery delivery)
{
    // The same number of random values is drawn whatever their results, so that shrinking one fault changes little else.
    const auto pair = m_pairSettings.find(std::minmax(from, to));
    const LinkSettings &settings = pair != m_pairSettings.end() ? pair->second : m_settings;
    const bool isLost = draw(settings.loss);
    const bool isRepeated = draw(settings.duplication);
    const bool isDelayed = draw(settings.reordering);
    const Duration latency = latencyOf(from, to);
    if (isLost || isCut(from, to)) {
        return;
    }
    const Duration extra =
        isDelayed ? Duration(static_cast<qint64>(std::uniform_real_distribution<double>()(m_random) * static_cast<double>(settings.reorderDelay.count())))
                  : Duration::zero();
    if (isRepeated) {
        push(m_now + latency + extra + latencyOf(from, to), to, delivery, false);
    }
    push(m_now + latency + extra, to, std::move(delivery), false);
}

void FakeNetwork::sendReliably(PartyId from, PartyId to, Delivery delivery)
{
    if (isCut(from, to)) {
        return;
    }
    // No jitter, so that messages over one link keep their order.
    const auto found = m_latencies.find(std::minmax(m_sites[from], m_sites[to]));
    push(m_now + (found != m_latencies.end() ? found->second : defaultLatency), to, std::move(delivery), false);
}

void FakeNetwork::after(Duration delay, Delivery callback)
{
    push(m_now + delay, 0, std::move(callback), true);
}

// Time

TimePoint FakeNetwork::now() const
{
    return m_now;
}

void FakeNetwork::runUntil(TimePoint end)
{
    while (!m_queue.empty() && m_queue.top().at <= end) {
        Pending pending = m_queue.top();
        m_queue.pop();
        m_now = std::max(m_now, pending.at);
        if (pending.isCallback) {
            pending.delivery(m_now);
            continue;
        }
        const auto held = m_held.find(pending.to);
        if (held != m_held.end()) {
            held->second.push_back(std::move(pending.delivery));
            continue;
        }
        ++m_delivered;
        pending.delivery(m_now);
    }
    m_now = std::max(m_now, end);
}

quint64 FakeNetwork::deliveredMessages() const
{
    return m_delivered;
}

bool FakeNetwork::draw(double probability)
{
    return std::uniform_real_distribution<double>()(m_random) < probability;
}

bool FakeNetwork::isCut(PartyId first, PartyId second) const
{
    return m_cuts.contains(std::minmax(first, second));
}

Duration FakeNetwork::latencyOf(PartyId from, PartyId to)
{
    const auto found = m_latencies.find(std::minmax(m_sites[from], m_sites[to]));
    const Duration latency = found != m_latencies.end() ? found->second : defaultLatency;
    const double jitter = std::uniform_real_distribution<double>()(m_random) * jitterShare;
    return latency + Duration(static_cast<qint64>(jitter * static_cast<double>(latency.count())));
}

void FakeNetwork::push(TimePoint at, PartyId to, Delivery delivery, bool isCallback)
{
    m_queue.push(Pending{at, m_sequence++, to, isCallback, std::move(delivery)});
}

}
