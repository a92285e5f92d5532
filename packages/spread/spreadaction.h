#pragma once

#include "core/configurationversion.h"
#include "core/endpoint.h"
#include "core/eventnumber.h"
#include "fabric/peermessage.h"
#include "operators/configuration.h"

#include <QString>

#include <variant>
#include <vector>

namespace Rattanpick
{

/// Tell a peer the version in force.
struct SendVersionNotice
{
    Endpoint to;
    VersionNotice notice;

    bool operator==(const SendVersionNotice &) const = default;
};

/// Ask a peer by JSON-RPC for the difference from the given version; a null version asks for the whole document.
struct PullDocument
{
    Endpoint admin;
    ConfigurationVersion from;

    bool operator==(const PullDocument &) const = default;
};

/// Start or go on reading and watching the platform.
struct ReadPlatform
{
    /// The version that the platform gave last, which a watch waits to change.
    quint64 afterRevision = 0;

    bool operator==(const ReadPlatform &) const = default;
};

/// Put the configuration in force in this process.
struct Adopt
{
    ConfigurationPointer configuration;

    bool operator==(const Adopt &) const = default;
};

/// Enter an event in the log and the time line.
struct RecordSpreadEvent
{
    EventNumber number = EventNumber::ProcessStarted;
    QString detail;

    bool operator==(const RecordSpreadEvent &) const = default;
};

/// What the spread of the configuration asks its process to do.
using SpreadAction = std::variant<SendVersionNotice, PullDocument, ReadPlatform, Adopt, RecordSpreadEvent>;

/// Actions in the order in which they are to be carried out.
using SpreadActions = std::vector<SpreadAction>;

}
