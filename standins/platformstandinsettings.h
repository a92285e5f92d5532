#pragma once

#include <core/endpoint.h>
#include <core/timepoint.h>

#include <QString>
#include <QStringList>

namespace Rattanpick
{

/// Settings of a PlatformStandIn.
struct PlatformStandInSettings
{
    /// Directory with values/NAME, instances.json and control; all of them may change at any time.
    QString directory{};
    /// Port 0 selects a free port.
    Endpoint listen{0x7f000001, 0};
    /// Limit of calls per second for all callers together; a watch that waits counts as a call.
    int callsPerSecond = 2000;
    /// Time after which a watch without a change is answered.
    Duration watchTime = 30s;
    /// Time between two reads of the files.
    Duration pollInterval = 50ms;

    bool operator==(const PlatformStandInSettings &) const = default;
};

/// Faults that the stand-in simulates, as set by the lines KEY = VALUE of the file `control`.
struct PlatformStandInControl
{
    /// answers = yes | no. With "no", connections are accepted and left open without an answer.
    bool answers = true;
    /// stale = yes | no. With "yes", the values at the time of the switch are served from then on.
    bool isStale = false;
    /// delay-ms = NUMBER. Delay before each answer.
    int delayMilliseconds = 0;
    /// cut-off = NAME, NAME... Callers, by header X-Caller or by address, that receive no answer.
    QStringList cutOff{};

    bool operator==(const PlatformStandInControl &) const = default;

    /// Parses the lines of a control file; unknown keys are ignored.
    static PlatformStandInControl fromText(const QString &text);
};

}
