#pragma once

#include <QtGlobal>

namespace Rattanpick
{

/// The numbers of all events. docs/EVENTS.md is the catalogue; a test checks that both agree.
///
/// 1xx process lifecycle, 2xx configuration, 3xx flows, 4xx requests, 5xx membership, 6xx limits, 7xx dropped packets.
enum class EventNumber : quint16 {
    ProcessStarted = 101,
    ProcessStopping = 102,
    ProcessStopped = 103,
    PauseNoticed = 104,
    SettingsRefused = 105,
    RingFull = 106,
    LinesSuppressed = 107,
    SettingsReloaded = 108,
    ConfigurationAccepted = 201,
    ConfigurationRefused = 202,
    ConfigurationConflict = 203,
    PlatformUnavailable = 204,
    PlatformReturned = 205,
    ReaderElected = 206,
    ReaderDismissed = 207,
    DirectoryEntryRefused = 208,
    DirectoryRead = 209,
    WatchDeaf = 210,
    DirectoryPulled = 211,
    DirectoryOutdated = 212,
    DirectoryCurrent = 213,
    RouteHistoryQueried = 214,
    RouteHistoryReceived = 215,
    DirectoryEraChanged = 216,
    DirectoryEraInvalid = 217,
    FlowOpened = 301,
    FlowRefused = 302,
    FlowClosed = 303,
    FlowBroken = 304,
    FlowRebound = 305,
    FlowHandedOver = 306,
    FlowSearchFailed = 307,
    FlowOffered = 308,
    OfferUnanswered = 309,
    FlowWaiting = 310,
    FlowPassedOn = 311,
    FlowLocated = 312,
    FlowDenied = 313,
    RequestDelivered = 401,
    RequestAnswered = 402,
    RequestNotRun = 403,
    RequestOutcomeUnknown = 404,
    RequestRepeated = 405,
    RequestCancelled = 406,
    PeerSuspected = 501,
    PeerRefuted = 502,
    DataCentreOut = 503,
    DataCentreIn = 504,
    TargetListed = 505,
    TargetUnlisted = 506,
    TargetsRead = 507,
    TargetCold = 601,
    TargetWarm = 602,
    TargetDraining = 603,
    TargetLost = 604,
    TargetEjected = 605,
    TargetReadmitted = 606,
    PacketDropped = 701,
};

}
