#pragma once

#include "core/timepoint.h"
#include "proof/record.h"

#include <vector>

namespace Rattanpick::Proof
{

/// Clock value at which every run starts; not zero, so that a default-constructed time point is never a time of a run.
inline constexpr TimePoint runStart{std::chrono::hours(1)};

/// The virtual time since the start of the run.
inline VirtualTime virtualTimeOf(TimePoint now)
{
    return std::chrono::duration_cast<VirtualTime>(now - runStart);
}

/// The records of all parties of a run, in the order of virtual time.
class History
{
public:
    /// Appends a record; times must not decrease.
    void append(VirtualTime at, const QString &party, RecordBody body);

    /// All records; reports refer to a record by its index.
    const std::vector<Record> &records() const
    {
        return m_records;
    }

    /// A one-line description of the record at @p index.
    QString describe(std::size_t index) const;

private:
    std::vector<Record> m_records;
};

}
