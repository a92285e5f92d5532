#pragma once

#include "core/flowkey.h"
#include "fabric/hoplist.h"
#include "operators/configuration.h"

#include <array>
#include <cstddef>
#include <vector>

namespace Rattanpick
{

/// Ordered candidates for every bucket of one service, computed by weighted rendezvous hashing.
///
/// The table depends only on the configuration, so that every node computes the same one.
class CandidateTable
{
public:
    /// The number of candidates of a bucket.
    static constexpr std::size_t candidateCount = 3;
    /// Minimum number of buckets per target; enough that shares match the weights within a few percent.
    static constexpr std::size_t bucketsPerTarget = 64;
    /// Minimum number of buckets of a service.
    static constexpr std::size_t minimumBuckets = 256;

    /// The candidates of one bucket, best first; unused elements have target 0.
    using Candidates = std::array<Hop, candidateCount>;

    /// Builds the table from the serving targets of the service in O(buckets * targets).
    CandidateTable(const Configuration &configuration, ServiceId service);

    /// The number of buckets, a power of two.
    std::size_t bucketCount() const
    {
        return m_bucketCount;
    }

    /// The number of serving targets.
    std::size_t targetCount() const
    {
        return m_targets.size();
    }

    /// The serving targets, ordered by identifier.
    const std::vector<Hop> &targets() const
    {
        return m_targets;
    }

    /// The bucket of a flow.
    std::size_t bucketOf(const FlowKey &flow) const
    {
        return static_cast<std::size_t>(flow.hash()) & (m_bucketCount - 1);
    }

    /// The candidates of the flow, best first; allocates nothing.
    Candidates candidatesOf(const FlowKey &flow) const;

    /// Whether a table built from the configuration would be equal to this one; cheaper than building it.
    bool isBuiltFrom(const Configuration &configuration, ServiceId service) const;

    /// Memory used by the table, in bytes.
    std::size_t memoryBytes() const;

    bool operator==(const CandidateTable &) const = default;

private:
    std::size_t m_bucketCount = minimumBuckets;
    std::vector<Hop> m_targets;
    std::vector<quint32> m_weights;
    /// candidateCount indices into m_targets per bucket; noTarget if there are fewer targets.
    std::vector<quint16> m_buckets;
};

}
