#pragma once

#include "standins/platformstandinsettings.h"

#include <QString>

#include <memory>

namespace Rattanpick
{

/// What a PlatformStandIn has counted.
struct PlatformStandInStatistics
{
    quint64 calls = 0;
    /// Calls refused with HTTP status 429.
    quint64 refusedCalls = 0;
    /// Most calls in any second, waiting watches included.
    quint64 peakCalls = 0;

    bool operator==(const PlatformStandInStatistics &) const = default;
};

/// Stands in for the configuration service: serves values and the instance list of a directory, read-only, by HTTP.
///
/// GET /value/NAME?after=REVISION and GET /instances?after=REVISION answer with status 200, the header X-Revision and
/// the value as soon as its revision differs from REVISION; 304 when the watch ends without a change; 404 for an
/// unknown value; 429 above the limit of calls. GET /statistics gives the counters as JSON and is not counted.
class PlatformStandIn
{
public:
    /// Builds a stand-in that does not listen yet.
    explicit PlatformStandIn(const PlatformStandInSettings &settings);
    ~PlatformStandIn();

    PlatformStandIn(const PlatformStandIn &) = delete;
    PlatformStandIn &operator=(const PlatformStandIn &) = delete;

    /// Reads the files and listens; false if the port is taken, see lastError().
    bool start();

    /// Where it listens; the port is known after start().
    Endpoint endpoint() const;

    /// Looks at the files at once instead of at the next interval.
    void poll();

    /// Sets the faults; a later change of the control file replaces them.
    void setControl(const PlatformStandInControl &control);

    /// The counters.
    PlatformStandInStatistics statistics() const;

    /// Why start() failed.
    const QString &lastError() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
