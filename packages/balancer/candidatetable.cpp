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

// log2 of a mantissa in [1, 2) is interpolated linearly from a table in integer arithmetic: results of the mathematics
// library may differ in the last bit between machines, and every node must compute the same candidate table. Computing
// the digits one by one took 2.9 ms for a table of 10 targets, too slow for a change that affects 2,000 services.
constexpr int indexBits = 10;
constexpr std::size_t indexCount = std::size_t{1} << indexBits;

/// log2(mantissa / 2^63) with 32 fraction bits; the mantissa has its top bit set.
constexpr quint64 computeLog2(quint64 mantissa)
{
    quint64 fraction = 0;
    for (int bit = 0; bit < fractionBits; ++bit) {
        const auto square = static_cast<unsigned __int128>(mantissa) * mantissa;
        const bool isAboveTwo = (square >> 127) != 0;
        mantissa = static_cast<quint64>(square >> (isAboveTwo ? 64 : 63));
        fraction = (fraction << 1) | (isAboveTwo ? 1U : 0U);
    }
    return fraction;
}

constexpr std::array<quint64, indexCount + 1> makeLog2Table()
{
    std::array<quint64, indexCount + 1> table{};
    for (std::size_t index = 0; index < indexCount; ++index) {
        table[index] = computeLog2((quint64{1} << 63) | (quint64{index} << (63 - indexBits)));
    }
    table[indexCount] = quint64{1} << fractionBits;
    return table;
}

constexpr auto log2Table = makeLog2Table();

/// -log2(hash / 2^64) with 32 fraction bits.
quint64 negativeLog2(quint64 hash)
{
    if (hash == 0) {
        return quint64{64} << fractionBits;
    }
    const int zeros = std::countl_zero(hash);
    // Of the bits below the leading one, the first 10 select the entry; the next 32 interpolate to the following entry.
    const quint64 digits = (hash << zeros) << 1;
    const std::size_t index = digits >> (64 - indexBits);
    const quint64 rest = (digits << indexBits) >> fractionBits;
    const quint64 step = log2Table[index + 1] - log2Table[index];
    const quint64 fraction = log2Table[index] + ((step * rest) >> fractionBits);
    return (static_cast<quint64>(zeros + 1) << fractionBits) - fraction;
}

/// A target's rank in a bucket; a smaller distance / weight is better.
struct Rank
{
    quint64 distance = 0;
    quint64 weight = 1;
    quint16 target = noTarget;

    /// Cross-multiplied; products stay below 2^53, since distances are below 2^39 and weights at most 10,000.
    bool isBetterThan(const Rank &other) const
    {
        const quint64 mine = distance * other.weight;
        const quint64 theirs = other.distance * weight;
        return mine != theirs ? mine < theirs : target < other.target;
    }
};

/// The highest-ranked targets of one bucket, best first.
class TopRanks
{
public:
    void add(quint64 hash, quint64 weight, quint16 target)
    {
        // 1 - x is a lower bound of -log2(x), so most targets are rejected without computing the logarithm.
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
        std::size_t position = m_size - 1;
        for (; position > 0 && rank.isBetterThan(m_ranks[position - 1]); --position) {
            m_ranks[position] = m_ranks[position - 1];
        }
        m_ranks[position] = rank;
    }

    quint16 targetAt(std::size_t position) const
    {
        return position < m_size ? m_ranks[position].target : noTarget;
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
        TopRanks topRanks;
        for (std::size_t index = 0; index < m_targets.size(); ++index) {
            const quint64 hash = hashPair(bucket, static_cast<quint32>(m_targets[index].target));
            topRanks.add(hash, m_weights[index], static_cast<quint16>(index));
        }
        for (std::size_t position = 0; position < candidateCount; ++position) {
            m_buckets.push_back(topRanks.targetAt(position));
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
    for (std::size_t position = 0; position < candidateCount; ++position) {
        const quint16 index = m_buckets[first + position];
        if (index != noTarget) {
            candidates[position] = m_targets[index];
        }
    }
    return candidates;
}

std::size_t CandidateTable::memoryBytes() const
{
    return sizeof(*this) + m_targets.capacity() * sizeof(Hop) + m_weights.capacity() * sizeof(quint32) + m_buckets.capacity() * sizeof(quint16);
}

}
