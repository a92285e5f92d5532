#pragma once

#include "stream/directoryposition.h"
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
    DirectoryPosition position;
    StreamTarget target;

    bool operator==(const TargetListed &) const = default;
};

/// The entry of a target was removed.
struct TargetUnlisted
{
    DirectoryPosition position;
    QString name;

    bool operator==(const TargetUnlisted &) const = default;
};

/// An operator took a data centre out of service or back in.
struct DataCentreSwitched
{
    DirectoryPosition position;
    QString name;
    bool isOut = false;

    bool operator==(const DataCentreSwitched &) const = default;
};

/// A new version of the routes was published.
struct RoutesPublished
{
    DirectoryPosition position;
    RouteTablePointer routes;
    /// Whether the source has delivered every version after the previous one that this process had. A full read and a peer tell the
    /// latest version only.
    bool isGapless = false;

    bool operator==(const RoutesPublished &) const = default;
};

/// A full read has ended: whatever it did not contain was removed at or before the position.
struct FullReadCompleted
{
    DirectoryPosition position;
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

/// One update of a TargetDirectory. Changes of the same object are ordered by position.
using DirectoryChange = std::variant<TargetListed, TargetUnlisted, DataCentreSwitched, RoutesPublished, FullReadCompleted, SourceSwitched>;

/// Where in the history of the source the change was made; null for a SourceSwitched.
DirectoryPosition positionOf(const DirectoryChange &change);

}
