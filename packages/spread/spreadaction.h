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

/// Send a peer the version in force.
struct SendVersionNotice
{
    Endpoint to;
    VersionNotice notice;

    bool operator==(const SendVersionNotice &) const = default;
};

/// Request the difference from the given version from a peer by JSON-RPC; a null version requests the whole document.
struct PullDocument
{
    Endpoint admin;
    ConfigurationVersion from;
    /// Revision of the instance list at this node; the peer includes its list in the answer if it is newer.
    quint64 instanceRevision = 0;

    bool operator==(const PullDocument &) const = default;
};

/// The data that a call to the platform reads.
enum class PlatformSubject : quint8 {
    Document,
    Instances,
};

/// Make one call to the platform. It completes with onPlatformDocument(), onInstanceList(), onPlatformUnchanged() or
/// onPlatformFailure(); at most one call per subject is in progress at a time.
struct ReadPlatform
{
    /// The last revision received from the platform; the call waits for a newer one. 0 requests an immediate answer.
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

/// Write an event to the log and the timeline.
struct RecordSpreadEvent
{
    EventNumber number = EventNumber::ProcessStarted;
    QString detail;

    bool operator==(const RecordSpreadEvent &) const = default;
};

/// An action that a SpreadNode requests from its process.
using SpreadAction = std::variant<SendVersionNotice, PullDocument, ReadPlatform, ApplyConfiguration, RecordSpreadEvent>;

/// Actions in the order of their execution.
using SpreadActions = std::vector<SpreadAction>;

}
