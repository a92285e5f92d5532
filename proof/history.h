#pragma once

#include "core/timepoint.h"
#include "proof/record.h"

#include <vector>

namespace Rattanpick::Proof
{

/// The point of the monotonic clock at which every run starts; not zero, so that a null time point is no time of a run.
inline constexpr TimePoint runStart{std::chrono::hours(1)};

/// The time since the start of the run.
inline Moment momentOf(TimePoint now)
{
    return std::chrono::duration_cast<Moment>(now - runStart);
}

/// The records of all parties of a run, in the order of virtual time.
class History
{
public:
    /// Appends a record; times must not run backwards.
    void append(Moment at, const QString &party, RecordBody body);

    /// All records; the index of a record is its number in reports.
    const std::vector<Record> &records() const
    {
        return m_records;
    }

    /// One line for the record at @p index, for reports.
    QString describe(std::size_t index) const;

private:
    std::vector<Record> m_records;
};

}
