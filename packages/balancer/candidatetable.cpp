#include "balancer/candidatetable.h"

#include "core/assertion.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace Rattanpick
{

namespace
{

constexpr quint16 noTarget = std::numeric_limits<quint16>::max();
constexpr int fractionBits = 32;

/// -log2(hash / 2^64) with 32 fraction bits.
///
/// Integer arithmetic only: a result of the mathematics library may differ in its last bit between machines,
/// and every node must compute the same table.
quint64 negativeLog2(quint64 hash)
{
    if (hash == 0) {
        return quint64{64} << fractionBits;
    }
    const int zeros = std::countl_zero(hash);
    quint64 mantissa = hash << zeros;
    quint64 fraction = 0;
    for (int bit = 0; bit < fractionBits; ++bit) {
        const auto square = static_cast<unsigned __int128>(mantissa) * mantissa;
        const bool isAboveTwo = (square >> 127) != 0;
        mantissa = static_cast<quint64>(square >> (isAboveTwo ? 64 : 63));
        fraction = (fraction << 1) | (isAboveTwo ? 1U : 0U);
    }
    return (static_cast<quint64>(zeros + 1) << fractionBits) - fraction;
}

/// A target's rank in a bucket: the smaller distance / weight is the better one.
struct Rank
{
    quint64 distance = 0;
    quint64 weight = 1;
    quint16 target = noTarget;

    /// Products stay below 2^53: distances below 2^39, weights up to 10,000.
    bool isBetterThan(const Rank &other) const
    {
        const quint64 mine = distance * other.weight;
        const quint64 theirs = other.distance * weight;
        return mine != theirs ? mine < theirs : target < other.target;
    }
};

/// The best ranks of one bucket, best first.
class Podium
{
public:
    void consider(quint64 hash, quint64 weight, quint16 target)
    {
        // 1 - x is a lower bound of -log2(x), so most targets are ruled out without the logarithm.
        const quint64 lowerBound = ~hash >> fractionBits;
        const Rank &last = m_ranks.back();
        if (m_size == m_ranks.size() && lowerBound * last.weight > last.distance * weight) {
            return;
        }
        Rank rank{negativeLog2(hash), weight, target};
        if (m_size < m_ranks.size()) {
            ++m_size;
        } else if (!rank.isBetterThan(last)) {
            return;
        }
        std::size_t place = m_size - 1;
        for (; place > 0 && rank.isBetterThan(m_ranks[place - 1]); --place) {
            m_ranks[place] = m_ranks[place - 1];
        }
        m_ranks[place] = rank;
    }

    quint16 targetAt(std::size_t place) const
    {
        return place < m_size ? m_ranks[place].target : noTarget;
    }

private:
    std::array<Rank, CandidateTable::candidateCount> m_ranks{};
    std::size_t m_size = 0;
};

}

CandidateTable::CandidateTable(const Configuration &configuration, ServiceId service)
{
    for (const Target *target : configuration.targetsOf(service)) {
        if (!configuration.isServing(*target)) {
            continue;
        }
        m_targets.push_back({target->id, target->agent});
        m_weights.push_back(target->weight);
    }
    RP_ASSERT(m_targets.size() < noTarget);
    m_bucketCount = std::bit_ceil(std::max(minimumBuckets, m_targets.size() * bucketsPerTarget));
    m_buckets.reserve(m_bucketCount * candidateCount);
    for (std::size_t bucket = 0; bucket < m_bucketCount; ++bucket) {
        Podium podium;
        for (std::size_t index = 0; index < m_targets.size(); ++index) {
            const quint64 hash = hashPair(bucket, static_cast<quint32>(m_targets[index].target));
            podium.consider(hash, m_weights[index], static_cast<quint16>(index));
        }
        for (std::size_t place = 0; place < candidateCount; ++place) {
            m_buckets.push_back(podium.targetAt(place));
        }
    }
}

bool CandidateTable::isBuiltFrom(const Configuration &configuration, ServiceId service) const
{
    std::size_t index = 0;
    for (const Target *target : configuration.targetsOf(service)) {
        if (!configuration.isServing(*target)) {
            continue;
        }
        if (index == m_targets.size() || m_targets[index] != Hop{target->id, target->agent} || m_weights[index] != target->weight) {
            return false;
        }
        ++index;
    }
    return index == m_targets.size();
}

CandidateTable::Candidates CandidateTable::candidatesOf(const FlowKey &flow) const
{
    Candidates candidates{};
    const std::size_t first = bucketOf(flow) * candidateCount;
    for (std::size_t place = 0; place < candidateCount; ++place) {
        const quint16 index = m_buckets[first + place];
        if (index != noTarget) {
            candidates[place] = m_targets[index];
        }
    }
    return candidates;
}

std::size_t CandidateTable::memoryBytes() const
{
    return sizeof(*this) + m_targets.capacity() * sizeof(Hop) + m_weights.capacity() * sizeof(quint32) + m_buckets.capacity() * sizeof(quint16);
}

}
