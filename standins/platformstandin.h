#pragma once

#include "standins/platformstandinsettings.h"

#include <QString>

#include <memory>

namespace Rattanpick
{

/// Counters of a PlatformStandIn.
struct PlatformStandInStatistics
{
    quint64 calls = 0;
    /// Calls refused with HTTP status 429.
    quint64 refusedCalls = 0;
    /// Highest number of calls within one second, including watches that wait.
    quint64 peakCalls = 0;

    bool operator==(const PlatformStandInStatistics &) const = default;
};

/// Stand-in for the configuration service: serves the values and the instance list of a directory read-only over HTTP.
///
/// GET /value/NAME?after=REVISION and GET /instances?after=REVISION answer with status 200, the header X-Revision and
/// the value as soon as its revision differs from REVISION; 304 when the watch ends without a change; 404 for an
/// unknown value; 429 above the call limit. GET /statistics returns the counters as JSON and is not counted itself.
class PlatformStandIn
{
public:
    /// Creates a stand-in; it does not listen before start().
    explicit PlatformStandIn(const PlatformStandInSettings &settings);
    ~PlatformStandIn();

    PlatformStandIn(const PlatformStandIn &) = delete;
    PlatformStandIn &operator=(const PlatformStandIn &) = delete;

    /// Reads the files and starts to listen. Returns false if the port is in use; see lastError().
    bool start();

    /// The address and port of the server; the port is valid after start().
    Endpoint endpoint() const;

    /// Reads the files now instead of at the next poll interval.
    void poll();

    /// Sets the faults. The next change of the control file overrides them.
    void setControl(const PlatformStandInControl &control);

    PlatformStandInStatistics statistics() const;

    /// The reason for which start() failed.
    const QString &lastError() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
