#pragma once

#include "stream/routetable.h"
#include "stream/streamtarget.h"

#include <QSet>
#include <QString>

#include <variant>

namespace Rattanpick
{

/// A target registered itself or changed its entry.
struct TargetListed
{
    quint64 revision = 0;
    StreamTarget target;

    bool operator==(const TargetListed &) const = default;
};

/// The entry of a target was removed.
struct TargetUnlisted
{
    quint64 revision = 0;
    QString name;

    bool operator==(const TargetUnlisted &) const = default;
};

/// An operator took a data centre out of service or back in.
struct DataCentreSwitched
{
    quint64 revision = 0;
    QString name;
    bool isOut = false;

    bool operator==(const DataCentreSwitched &) const = default;
};

/// A new version of the routes was published.
struct RoutesPublished
{
    quint64 revision = 0;
    RouteTablePointer routes;
    /// Whether the source has delivered every version after the previous one that this process had. A full read and a peer tell the
    /// latest version only.
    bool isGapless = false;

    bool operator==(const RoutesPublished &) const = default;
};

/// A full read has ended: whatever it did not contain was removed at or before the revision.
struct FullReadCompleted
{
    quint64 revision = 0;
    QSet<QString> targets;
    QSet<QString> dataCentresOut;
    /// Whether this process has read the source itself; a peer may serve what it read before this process has started.
    bool isFromSource = false;

    bool operator==(const FullReadCompleted &) const = default;
};

/// The source of the directory has become available or unavailable.
struct SourceSwitched
{
    bool isAvailable = false;
    /// Why the source is considered unavailable.
    QString reason;

    bool operator==(const SourceSwitched &) const = default;
};

/// One update of a TargetDirectory. Changes of the same object are ordered by revision.
using DirectoryChange = std::variant<TargetListed, TargetUnlisted, DataCentreSwitched, RoutesPublished, FullReadCompleted, SourceSwitched>;

}
