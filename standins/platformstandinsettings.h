#pragma once

#include <core/endpoint.h>
#include <core/timepoint.h>

#include <QString>
#include <QStringList>

namespace Rattanpick
{

/// What a PlatformStandIn is built from.
struct PlatformStandInSettings
{
    /// Holds values/NAME, instances.json and control; all of them may change at any time.
    QString directory{};
    /// Port 0 takes a free one.
    Endpoint listen{0x7f000001, 0};
    /// Calls allowed each second for all callers together; a waiting watch counts as a call.
    int callsPerSecond = 2000;
    /// Time for which a watch is held without a change.
    Duration watchTime = 30s;
    /// Time between two looks at the files.
    Duration pollInterval = 50ms;

    bool operator==(const PlatformStandInSettings &) const = default;
};

/// Faults of the stand-in. The file `control` holds them as lines KEY = VALUE.
struct PlatformStandInControl
{
    /// answers = yes | no. Without answers, connections are accepted and left open.
    bool answers = true;
    /// stale = yes | no. Serves what was served when it became stale.
    bool isStale = false;
    /// delay-ms = NUMBER. Waits before each answer.
    int delayMilliseconds = 0;
    /// cut-off = NAME, NAME... Callers (header X-Caller, or address) that get no answer.
    QStringList cutOff{};

    bool operator==(const PlatformStandInControl &) const = default;

    /// Reads the lines of a control file; unknown keys are ignored.
    static PlatformStandInControl fromText(const QString &text);
};

}
