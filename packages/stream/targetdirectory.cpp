#include "stream/targetdirectory.h"

#include <algorithm>

namespace Rattanpick
{

namespace
{

/// Name of a target that is known by an announcement only, which does not contain its name.
QString unlistedName(const Endpoint &address)
{
    return QStringLiteral("unlisted-") + address.toString();
}

}

TargetDirectory::TargetDirectory(const TargetDirectorySettings &settings)
    : m_settings(settings)
    , m_routeHistory(settings.routeHistory)
{
}

// Input

void TargetDirectory::apply(TimePoint now, const DirectoryChange &change)
{
    onTick(now);
    if (const quint64 era = positionOf(change).era; era > m_era) {
        beginEra(now, era);
    }
    if (!postpone(now, change)) {
        std::visit([this, now](const auto &part) { applyChange(now, part); }, change);
    }
}

void TargetDirectory::recordUnlisted(TimePoint now, const Endpoint &address, ServiceId service)
{
    bool isKnown = false;
    for (auto &[id, entry] : m_entries) {
        if (entry.target.address != address || entry.target.service != service) {
            continue;
        }
        isKnown = true;
        entry.hasEnded = false;
        if (entry.listing == Listing::Departed) {
            entry.listingDeadline = now + m_settings.departedRetention;
        }
    }
    if (isKnown) {
        return;
    }
    const QString name = unlistedName(address);
    Entry &entry = m_entries[targetIdOf(name.toUtf8())];
    entry.target.name = name;
    entry.target.id = targetIdOf(name.toUtf8());
    entry.target.service = service;
    entry.target.address = address;
    entry.agent = {address.address, m_settings.agentPort};
    ++m_generation;
    markDeparted(now, entry);
}

void TargetDirectory::recordEnded(const Endpoint &address, ServiceId service)
{
    for (auto &[id, entry] : m_entries) {
        if (entry.target.address == address && entry.target.service == service) {
            entry.hasEnded = true;
        }
    }
}

void TargetDirectory::onTick(TimePoint now)
{
    m_firstUsedAt = m_firstUsedAt.value_or(now);
    m_routeHistory.onTick(now);
    if (now >= m_rewriteDeadline && !m_postponed.empty()) {
        applyPostponed(now);
    }
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (now < entry->second.listingDeadline) {
            ++entry;
            continue;
        }
        ++m_generation;
        if (entry->second.listing == Listing::Departed) {
            entry = m_entries.erase(entry);
            continue;
        }
        markDeparted(now, entry->second);
        ++entry;
    }
}

void TargetDirectory::applyChange(TimePoint now, const TargetListed &change)
{
    Entry &entry = m_entries[change.target.id];
    if (change.position < entry.position) {
        return;
    }
    m_entries.erase(targetIdOf(unlistedName(change.target.address).toUtf8()));
    const bool isNewIncarnation = entry.target.incarnation != change.target.incarnation;
    if (!change.target.isDraining) {
        entry.drainingSince.reset();
    } else if (!entry.drainingSince || isNewIncarnation) {
        entry.drainingSince = now;
    }
    const Endpoint earlierAddress = entry.target.address;
    entry.target = change.target;
    entry.agent = {change.target.address.address, m_settings.agentPort};
    entry.position = change.position;
    entry.listedPosition = change.position;
    entry.listing = Listing::Listed;
    entry.listingDeadline = TimePoint::max();
    entry.hasEnded = false;
    entry.isServiceNamed = isServiceNamed(change.target.service);
    ++m_generation;
    settleAddress(change.target.address);
    if (earlierAddress != change.target.address) {
        settleAddress(earlierAddress);
    }
}

void TargetDirectory::applyChange(TimePoint now, const TargetUnlisted &change)
{
    const TargetId id = targetIdOf(change.name.toUtf8());
    const auto [found, isUnknown] = m_entries.try_emplace(id);
    Entry &entry = found->second;
    if (!isUnknown) {
        markUnlisted(now, entry, change.position);
        return;
    }
    // An earlier listing may arrive after the removal.
    entry.target.name = change.name;
    entry.target.id = id;
    entry.position = change.position;
    markDeparted(now, entry);
}

void TargetDirectory::applyChange(TimePoint now, const DataCentreSwitched &change)
{
    DataCentreState &state = m_dataCentres[change.name];
    if (change.position < state.position) {
        return;
    }
    // A return that is later than all that was read shows an order in between that this process has skipped.
    const bool hasSkippedOrder = m_isComplete && change.position > state.position;
    if (!change.isOut && (state.isOut || hasSkippedOrder)) {
        state.returnedAt = now;
    }
    state.position = change.position;
    state.isOut = change.isOut;
    ++m_generation;
}

void TargetDirectory::applyChange(TimePoint now, const RoutesPublished &change)
{
    // The version never decreases within the lifetime of a process, even if an outdated read arrives.
    if (m_routes != nullptr && change.routes->version() < m_routes->version()) {
        m_routeHistory.onEarlierRoutes(now, *change.routes, *m_routes);
        return;
    }
    // Peers of an earlier version serve the routes of a configuration without their objectives.
    if (m_routes != nullptr && change.routes->addsObjectivesTo(*m_routes)) {
        m_routes = change.routes;
        ++m_generation;
        return;
    }
    if (m_routes == nullptr || change.routes->version() > m_routes->version()) {
        m_routeHistory.onRoutes(now, m_routes.get(), *change.routes, change.isGapless);
        m_routes = change.routes;
        ++m_generation;
        for (auto &[id, entry] : m_entries) {
            const bool isNamed = isServiceNamed(entry.target.service);
            if (entry.isServiceNamed != isNamed) {
                entry.isServiceNamed = isNamed;
                settleAddress(entry.target.address);
            }
        }
    }
}

void TargetDirectory::applyChange(TimePoint now, const FullReadCompleted &change)
{
    for (auto &[id, entry] : m_entries) {
        if (!change.targets.contains(entry.target.name)) {
            markUnlisted(now, entry, change.position);
        }
    }
    std::erase_if(m_postponed, [&change](const auto &item) {
        const auto *listed = std::get_if<TargetListed>(&item.second);
        return listed != nullptr && listed->position <= change.position && !change.targets.contains(listed->target.name);
    });
    std::vector<QString> returned;
    for (auto state = m_dataCentres.begin(); state != m_dataCentres.end(); ++state) {
        if (state->isOut && state->position <= change.position && !change.dataCentresOut.contains(state.key())) {
            returned.push_back(state.key());
        }
    }
    for (const QString &dataCentre : returned) {
        apply(now, DataCentreSwitched{change.position, dataCentre, false});
    }
    if (!m_isComplete && now - *m_firstUsedAt > m_settings.promptReadLimit) {
        // The source was unavailable when this process started; entries may have lapsed in the meantime.
        m_settledDeadline = std::max(m_settledDeadline, now + m_settings.relistGrace);
    }
    m_completedAt = m_isComplete ? m_completedAt : now;
    m_isComplete = true;
    ++m_generation;
}

void TargetDirectory::applyChange(TimePoint now, const SourceSwitched &change)
{
    if (change.isAvailable && !m_isSourceAvailable && m_isComplete) {
        m_settledDeadline = now + m_settings.relistGrace;
    }
    m_isSourceAvailable = change.isAvailable;
}

void TargetDirectory::markUnlisted(TimePoint now, Entry &entry, const DirectoryPosition &position)
{
    if (entry.position > position) {
        return;
    }
    entry.position = position;
    if (entry.listing == Listing::Departed) {
        return;
    }
    ++m_generation;
    // A copy that the source was restored from may lack the entry of a draining target that still serves its flows.
    if (entry.target.isDraining && now >= m_rewriteDeadline) {
        markDeparted(now, entry);
        return;
    }
    // Entries can be lost while their targets are alive: they expire while the source is unavailable, or the source
    // drops them. A live target registers again within the grace period.
    entry.listing = Listing::Lapsed;
    entry.listingDeadline = std::max(m_settledDeadline, now + m_settings.relistGrace);
}

void TargetDirectory::markDeparted(TimePoint now, Entry &entry)
{
    entry.listing = Listing::Departed;
    entry.listingDeadline = now + m_settings.departedRetention;
    settleAddress(entry.target.address);
}

bool TargetDirectory::isServiceNamed(ServiceId service) const
{
    return m_routes == nullptr || m_routes->names(service);
}

void TargetDirectory::settleAddress(const Endpoint &address)
{
    // An address has one target. The outcome follows from the entries and the configuration alone, in whatever order they
    // are read; if the latest entry cannot be used any more, the one before it names the target again.
    Entry *latest = nullptr;
    for (auto &[id, entry] : m_entries) {
        if (entry.target.address != address) {
            continue;
        }
        entry.isSuperseded = true;
        if (entry.isUsable() && (latest == nullptr || entry.listedPosition > latest->listedPosition)) {
            latest = &entry;
        }
    }
    if (latest != nullptr) {
        latest->isSuperseded = false;
    }
}

// Eras

void TargetDirectory::beginEra(TimePoint now, quint64 era)
{
    m_era = era;
    m_postponed.clear();
    if (!m_isComplete) {
        return;
    }
    m_rewriteDeadline = now + m_settings.relistGrace;
    m_settledDeadline = std::max(m_settledDeadline, m_rewriteDeadline);
    m_routeHistory.onGap(now);
    ++m_generation;
}

bool TargetDirectory::reverts(const TargetListed &change) const
{
    const Entry *known = find(change.target.id);
    if (known == nullptr || known->position.era >= change.position.era) {
        return false;
    }
    const bool isSameProcess = known->target.incarnation == change.target.incarnation;
    const bool hasEnded = isSameProcess && !known->isPresent();
    const bool wasDraining = isSameProcess && known->target.isDraining && !change.target.isDraining;
    const bool isEarlierProcess = !isSameProcess && change.target.startTime < known->target.startTime;
    return hasEnded || wasDraining || isEarlierProcess;
}

bool TargetDirectory::reverts(const DataCentreSwitched &change) const
{
    const DataCentreState known = m_dataCentres.value(change.name);
    return known.isOut && !change.isOut && known.position.era < change.position.era;
}

bool TargetDirectory::postpone(TimePoint now, const DirectoryChange &change)
{
    const auto *listed = std::get_if<TargetListed>(&change);
    const auto *unlisted = std::get_if<TargetUnlisted>(&change);
    const auto *switched = std::get_if<DataCentreSwitched>(&change);
    if (listed == nullptr && unlisted == nullptr && switched == nullptr) {
        return false;
    }
    const QString key = switched != nullptr ? QStringLiteral("data centre ") + switched->name
                                            : QStringLiteral("target ") + (listed != nullptr ? listed->target.name : unlisted->name);
    const auto earlier = m_postponed.find(key);
    if (earlier != m_postponed.end() && positionOf(earlier->second) > positionOf(change)) {
        return true;
    }
    if (earlier != m_postponed.end()) {
        m_postponed.erase(earlier);
    }
    const bool isReverting = (listed != nullptr && reverts(*listed)) || (switched != nullptr && reverts(*switched));
    if (now >= m_rewriteDeadline || !isReverting) {
        return false;
    }
    m_postponed.emplace(key, change);
    return true;
}

void TargetDirectory::applyPostponed(TimePoint now)
{
    std::map<QString, DirectoryChange> postponed;
    std::swap(postponed, m_postponed);
    for (const auto &[key, change] : postponed) {
        std::visit([this, now](const auto &part) { applyChange(now, part); }, change);
    }
}

// Routes

bool TargetDirectory::mayHoldFlows(const Endpoint &address, ServiceId service) const
{
    return m_routes != nullptr && (m_routes->allows(address, service) || m_routeHistory.contains(address, service));
}

bool TargetDirectory::mayShareFlows(ServiceId first, ServiceId second) const
{
    return m_routes == nullptr || m_routes->shareRoute(first, second) || m_routeHistory.shareRoute(first, second, *m_routes);
}

// Targets

const TargetDirectory::Entry *TargetDirectory::find(TargetId id) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() ? &found->second : nullptr;
}

const TargetDirectory::Entry *TargetDirectory::findAt(const Endpoint &address) const
{
    const auto found =
        std::ranges::find_if(m_entries, [&address](const auto &item) { return item.second.target.address == address && item.second.isPresent(); });
    return found != m_entries.end() ? &found->second : nullptr;
}

bool TargetDirectory::isListed(const Endpoint &address) const
{
    const Entry *entry = findAt(address);
    return entry != nullptr && entry->listing == Listing::Listed;
}

bool TargetDirectory::hasLapsedTargets(TimePoint now) const
{
    return !isSettled(now)
           || std::ranges::any_of(m_entries, [](const auto &item) { return item.second.isPresent() && item.second.listing == Listing::Lapsed; });
}

bool TargetDirectory::acceptsFlows(const Entry &entry) const
{
    return entry.isPresent() && !entry.target.isDraining && !isOut(entry.target.dataCentre);
}

TimePoint TargetDirectory::nextDeadline() const
{
    TimePoint next = m_postponed.empty() ? m_routeHistory.nextDeadline() : std::min(m_rewriteDeadline, m_routeHistory.nextDeadline());
    for (const auto &[id, entry] : m_entries) {
        next = std::min(next, entry.listingDeadline);
    }
    return next;
}

}
