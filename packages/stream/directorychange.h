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

/// Operators took a data centre out, or back in.
struct DataCentreSwitched
{
    quint64 revision = 0;
    QString name;
    bool isOut = false;

    bool operator==(const DataCentreSwitched &) const = default;
};

/// A version of the routes.
struct RoutesPublished
{
    quint64 revision = 0;
    RouteTablePointer routes;

    bool operator==(const RoutesPublished &) const = default;
};

/// A complete reading has ended: what it did not show was removed at or before the revision.
struct ReadingCompleted
{
    quint64 revision = 0;
    QSet<QString> targets;
    QSet<QString> dataCentresOut;

    bool operator==(const ReadingCompleted &) const = default;
};

/// The source of the directory answers again, or no longer.
struct SourceSwitched
{
    bool isAvailable = false;
    /// Why the source counts as unavailable.
    QString reason;

    bool operator==(const SourceSwitched &) const = default;
};

/// One piece of news for a TargetDirectory; revisions order changes of the same thing.
using DirectoryChange = std::variant<TargetListed, TargetUnlisted, DataCentreSwitched, RoutesPublished, ReadingCompleted, SourceSwitched>;

}
