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
    /// The revision of the instance list at hand; the peer adds a later list to its answer.
    quint64 instanceRevision = 0;

    bool operator==(const PullDocument &) const = default;
};

/// What a call to the platform reads.
enum class PlatformSubject : quint8 {
    Document,
    Instances,
};

/// Make one call to the platform. It ends with onPlatformDocument(), onInstanceList(), onPlatformUnchanged() or
/// onPlatformFailure(); there is at most one call for each subject at a time.
struct ReadPlatform
{
    /// The revision that the platform gave last, which the call waits to change; 0 asks for an answer at once.
    quint64 afterRevision = 0;
    PlatformSubject subject = PlatformSubject::Document;

    bool operator==(const ReadPlatform &) const = default;
};

/// Put the configuration in force in this process.
struct ApplyConfiguration
{
    ConfigurationPointer configuration;

    bool operator==(const ApplyConfiguration &) const = default;
};

/// Enter an event in the log and the time line.
struct RecordSpreadEvent
{
    EventNumber number = EventNumber::ProcessStarted;
    QString detail;

    bool operator==(const RecordSpreadEvent &) const = default;
};

/// What the spread of the configuration asks its process to do.
using SpreadAction = std::variant<SendVersionNotice, PullDocument, ReadPlatform, ApplyConfiguration, RecordSpreadEvent>;

/// Actions in the order in which they are to be carried out.
using SpreadActions = std::vector<SpreadAction>;

}
