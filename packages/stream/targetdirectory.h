#pragma once

#include "stream/directorychange.h"
#include "stream/routehistory.h"
#include "stream/targetdirectorysettings.h"

#include <QHash>

#include <map>
#include <optional>
#include <vector>

namespace Rattanpick
{

/// The targets, data centres and routes that a process has from service discovery and the configuration.
///
/// Changes of the same object are ordered by position, so that a late read never reverts a newer change. When the source was
/// restored from an older copy, what this process knew of the era before stays in use until the writers had time to write it
/// again: an object that the copy lacks, or has in an earlier state, is taken over after that.
class TargetDirectory
{
public:
    /// How reliable the entry of a target is.
    enum class Listing : quint8 {
        Listed,
        /// The entry disappeared without a drain; a target that is alive will soon register again.
        Lapsed,
        /// The entry is gone; the machine is still recorded, since flows may end there.
        Departed,
    };

    /// A target and the state of its entry.
    struct Entry
    {
        StreamTarget target;
        /// Endpoint at which the agent of the target receives messages.
        Endpoint agent;
        /// Position of the latest change.
        DirectoryPosition position;
        /// Position at which the target was listed last.
        DirectoryPosition listedPosition;
        Listing listing = Listing::Listed;
        /// When a lapsed entry becomes a departed one, or a departed one is removed.
        TimePoint listingDeadline = TimePoint::max();
        /// When this process was notified of the drain; empty if the target is not draining.
        std::optional<TimePoint> drainingSince;
        /// Whether the active configuration names the service; another writer may have left entries of other services.
        bool isServiceNamed = true;
        /// Whether a later entry that may be used has the same address.
        bool isSuperseded = false;
        /// The agent of the target has reported the end of its process since the entry was listed or announced.
        bool hasEnded = false;

        /// Whether the entry may name the target at its address.
        bool isUsable() const
        {
            return listing != Listing::Departed && isServiceNamed;
        }

        /// Whether the target is still assumed to be alive.
        bool isPresent() const
        {
            return isUsable() && !isSuperseded;
        }

        /// Whether the target is known to hold no flows any more.
        bool isGone() const
        {
            return hasEnded && !isPresent();
        }
    };

    /// Builds an empty directory whose source is not available yet.
    explicit TargetDirectory(const TargetDirectorySettings &settings);

    // Input

    /// Applies a change.
    void apply(TimePoint now, const DirectoryChange &change);

    /// The agent of a target that is not listed announces it: records the target as departed, unless it is known.
    void recordUnlisted(TimePoint now, const Endpoint &address, ServiceId service);

    /// The agent of a target reports that the process has ended; a target that is not known is not recorded.
    void recordEnded(const Endpoint &address, ServiceId service);

    /// Marks lapsed entries as departed and removes departed ones, as they become due.
    void onTick(TimePoint now);

    // Targets

    /// The targets by identifier, including departed ones.
    const std::map<TargetId, Entry> &entries() const
    {
        return m_entries;
    }

    /// The entry of the target, or null.
    const Entry *find(TargetId id) const;

    /// The present target that receives segments at the address, or null.
    const Entry *findAt(const Endpoint &address) const;

    /// Whether a target at the address is listed at present.
    bool isListed(const Endpoint &address) const;

    /// Whether new flows may go to the target: it is present and not draining, and its data centre is in service.
    bool acceptsFlows(const Entry &entry) const;

    /// Whether the data centre was taken out of service by an operator.
    bool isOut(const QString &dataCentre) const
    {
        return m_dataCentres.value(dataCentre).isOut;
    }

    /// When the data centre was last seen to return to service; empty if it never was out.
    std::optional<TimePoint> returnTime(const QString &dataCentre) const
    {
        return m_dataCentres.value(dataCentre).returnedAt;
    }

    // Routes and source

    /// The active routes, or null.
    const RouteTablePointer &routes() const
    {
        return m_routes;
    }

    /// The services that the routes have used before.
    RouteHistory &routeHistory()
    {
        return m_routeHistory;
    }

    /// The services that the routes have used before.
    const RouteHistory &routeHistory() const
    {
        return m_routeHistory;
    }

    /// Whether targets of the service may hold flows to the address: its route uses the service, or has used it before.
    bool mayHoldFlows(const Endpoint &address, ServiceId service) const;

    /// Whether targets of both services may hold flows to the same address.
    bool mayShareFlows(ServiceId first, ServiceId second) const;

    /// Whether the source has been read completely at least once.
    bool isComplete() const
    {
        return m_isComplete;
    }

    /// When the first full read ended; empty before it.
    std::optional<TimePoint> completionTime() const
    {
        return m_isComplete ? std::optional(m_completedAt) : std::nullopt;
    }

    /// Whether the source has been available for long enough that missing entries are meaningful.
    bool isSettled(TimePoint now) const
    {
        return m_isSourceAvailable && now >= m_settledDeadline;
    }

    /// Whether every entry that is missing has been so for long enough to prove that its target is gone. Includes
    /// entries that this process has never seen because they lapsed before its first read.
    bool hasAllTargets(TimePoint now) const
    {
        return isSettled(now) && m_isComplete && now >= m_completedAt + m_settings.relistGrace;
    }

    /// Whether entries are missing that may still return.
    bool hasLapsedTargets(TimePoint now) const;

    /// The latest era of the source; 0 if it does not tell eras.
    quint64 era() const
    {
        return m_era;
    }

    /// Incremented by each change that may alter a decision.
    quint64 generation() const
    {
        return m_generation;
    }

    /// When onTick() has something to do next.
    TimePoint nextDeadline() const;

private:
    struct DataCentreState
    {
        DirectoryPosition position;
        bool isOut = false;
        std::optional<TimePoint> returnedAt;
    };

    void beginEra(TimePoint now, quint64 era);
    /// Whether a change of the present era reverts what this process knows of an earlier one.
    bool reverts(const TargetListed &change) const;
    bool reverts(const DataCentreSwitched &change) const;
    /// Puts a change that reverts an object off until its writer had time to write it again. Returns false if it is to be applied now.
    bool postpone(TimePoint now, const DirectoryChange &change);
    void applyPostponed(TimePoint now);
    void applyChange(TimePoint now, const TargetListed &change);
    void applyChange(TimePoint now, const TargetUnlisted &change);
    void applyChange(TimePoint now, const DataCentreSwitched &change);
    void applyChange(TimePoint now, const RoutesPublished &change);
    void applyChange(TimePoint now, const FullReadCompleted &change);
    void applyChange(TimePoint now, const SourceSwitched &change);
    void markUnlisted(TimePoint now, Entry &entry, const DirectoryPosition &position);
    void markDeparted(TimePoint now, Entry &entry);
    bool isServiceNamed(ServiceId service) const;
    /// Decides which of the entries with the address names the target there.
    void settleAddress(const Endpoint &address);

    TargetDirectorySettings m_settings;
    std::map<TargetId, Entry> m_entries;
    QHash<QString, DataCentreState> m_dataCentres;
    RouteTablePointer m_routes;
    RouteHistory m_routeHistory;
    bool m_isComplete = false;
    bool m_isSourceAvailable = false;
    /// When the first full read ended.
    TimePoint m_completedAt{};
    TimePoint m_settledDeadline{};
    quint64 m_era = 0;
    /// Until when writers write again what the source has lost by a restoration.
    TimePoint m_rewriteDeadline{};
    /// By object, the latest change that reverts it; applied at m_rewriteDeadline.
    std::map<QString, DirectoryChange> m_postponed;
    /// When this directory was first used.
    std::optional<TimePoint> m_firstUsedAt;
    quint64 m_generation = 0;
};

}
