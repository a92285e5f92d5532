#include "spread/spreadnode.h"

#include "configservice/backoff.h"
#include "core/assertion.h"
#include "spread/pauseguard.h"
#include "spread/platformwatch.h"
#include "spread/pullschedule.h"

#include <algorithm>
#include <deque>
#include <random>
#include <unordered_map>
#include <utility>

namespace Rattanpick
{

namespace
{

/// Draws of a random peer before a condition on it is given up.
constexpr int maximumDraws = 32;

/// Versions remembered that peers have in force and this node refuses, so that they are not pulled again and again.
constexpr std::size_t maximumRefusedVersions = 16;

/// Bounds of the delay before a random peer is asked for a version whose known holders all failed.
constexpr Duration retryMinimum = 100ms;
constexpr Duration retryMaximum = 500ms;

/// Which peers a random draw may give.
enum class PeerScope : quint8 {
    Any,
    OwnDataCentre,
    OtherDataCentre,
};

}

class SpreadNode::Private
{
public:
    Private(const SpreadNodeSettings &givenSettings, const SpreadStrategy &givenStrategy, TimePoint now);

    // Documents
    void offerDocument(TimePoint now, const QByteArray &text, const ConfigurationVersion &claimed, SpreadActions &actions);
    void adopt(TimePoint now, SpreadActions &actions);
    bool isWanted(const ConfigurationVersion &version) const;

    // Instance list
    void useSnapshot(TimePoint now, const InstanceSnapshotPointer &given, SpreadActions &actions);
    void updateElection(SpreadActions &actions);
    const InstanceList &instances() const;
    bool hasPeers() const;
    const Instance *randomPeer(PeerScope scope);

    // Notices
    void sendNotice(const Endpoint &to, bool wantsAnswer, SpreadActions &actions) const;
    void sendNoticesToRandomPeers(bool wantsAnswer, SpreadActions &actions);
    void answer(TimePoint now, const Endpoint &tunnel, bool wantsAnswer, SpreadActions &actions);
    void compareWithRandomPeer(TimePoint now, SpreadActions &actions);
    void noteHeard(TimePoint now, const ConfigurationVersion &version);
    void noteComparison(const Endpoint &peer);
    void noteConflict(const ConfigurationVersion &version, SpreadActions &actions);

    // Pulls
    void refillListBudget(TimePoint now);
    void pull(const Endpoint &admin, const ConfigurationVersion &from, SpreadActions &actions) const;
    void continuePulls(TimePoint now, SpreadActions &actions);
    void compareInstancesWithRandomPeer(TimePoint now, SpreadActions &actions);
    void usePeerAnswer(TimePoint now, const Endpoint &admin, const PeerAnswer &answer, SpreadActions &actions);

    // Platform
    PlatformWatch &watchOf(PlatformSubject subject);
    void callPlatform(TimePoint now, PlatformSubject subject, bool isWatch, SpreadActions &actions);
    void notePlatformAnswer(PlatformSubject subject, SpreadActions &actions);
    void notePlatformFailure(TimePoint now, const QString &reason, PlatformSubject subject, SpreadActions &actions);
    void readPlatform(TimePoint now, SpreadActions &actions);
    void readAlone(TimePoint now, SpreadActions &actions);

    const SpreadNodeSettings settings;
    const SpreadStrategy strategy;
    std::mt19937_64 random;
    ConfigurationStore store;
    PauseGuard pauseGuard;
    PullSchedule pulls;
    InstanceSnapshotPointer snapshot;
    /// Bytes of instance lists that may be given; a list is given while it is positive and may make it negative.
    qint64 listBudget;
    TimePoint nextRefill;

    // Peers
    ConfigurationVersion highestHeard;
    /// Until then the highest version is looked for; a peer that claimed it may be gone or wrong.
    TimePoint highestHeardDeadline{};
    ConfigurationVersion conflict;
    std::deque<ConfigurationVersion> refusedVersions;
    std::vector<Endpoint> comparedPeers;
    std::unordered_map<Endpoint, int> answersInWindow;
    TimePoint answerWindowDeadline{};
    TimePoint nextComparison;
    /// Until then comparisons are frequent.
    TimePoint spreadDeadline{};
    TimePoint nextInstanceComparison;
    TimePoint joinDeadline = TimePoint::max();
    Backoff retryBackoff{retryMinimum, retryMaximum};

    // Platform
    PlatformWatch documentWatch;
    PlatformWatch instanceWatch;
    bool isElected = false;
    bool isPlatformDown = false;
    TimePoint silenceDeadline;
    /// When a node that hears no peer calls the platform next; set when silence begins.
    std::optional<TimePoint> aloneDeadline;
    PlatformSubject nextAloneSubject = PlatformSubject::Instances;
};

SpreadNode::Private::Private(const SpreadNodeSettings &givenSettings, const SpreadStrategy &givenStrategy, TimePoint now)
    : settings(givenSettings)
    , strategy(givenStrategy)
    , random(givenSettings.seed)
    , store(givenStrategy.parser, givenSettings.deltaHistory, givenStrategy.accepts)
    , pauseGuard(givenSettings.pauseLimit, givenSettings.pauseHold)
    , pulls(givenSettings)
    , listBudget(givenSettings.listBytesBurst)
    , nextRefill(now + 1s)
    , nextComparison(now + randomDuration(givenSettings.antiEntropyInterval, random))
    , nextInstanceComparison(now + randomDuration(givenSettings.instanceInterval, random))
    , documentWatch(givenSettings)
    , instanceWatch(givenSettings)
    , isElected(givenStrategy.reads({}, givenSettings))
    , silenceDeadline(now)
    , aloneDeadline(now + randomDuration(givenSettings.startSpread, random))
{
    RP_ASSERT(settings.pushFanOut > 0 && settings.joinPeers > 0 && settings.answersPerSecond > 0);
}

// Documents

void SpreadNode::Private::offerDocument(TimePoint now, const QByteArray &text, const ConfigurationVersion &claimed, SpreadActions &actions)
{
    const ConfigurationVersion before = store.version();
    switch (store.offer(text)) {
    case OfferResult::Accepted:
        RP_ASSERT(strategy.accepts != acceptsHigherVersion || store.version() > before);
        adopt(now, actions);
        return;
    case OfferResult::NotHigher:
        return;
    case OfferResult::Refused: {
        QStringList reasons;
        for (const Finding &finding : store.findings()) {
            reasons.append(finding.toString());
        }
        actions.push_back(RecordSpreadEvent{EventNumber::ConfigurationRefused, reasons.join(QLatin1Char('\n'))});
        break;
    }
    case OfferResult::RefusedBefore:
        break;
    }
    if (claimed > before && isWanted(claimed)) {
        refusedVersions.push_back(claimed);
        if (refusedVersions.size() > maximumRefusedVersions) {
            refusedVersions.pop_front();
        }
    }
}

void SpreadNode::Private::adopt(TimePoint now, SpreadActions &actions)
{
    const bool isFirst = joinDeadline == TimePoint::max();
    if (isFirst) {
        joinDeadline = now + settings.joinLimit;
    }
    spreadDeadline = now + settings.spreadTime;
    nextComparison = std::min(nextComparison, now + settings.spreadInterval);
    pulls.removeOffersUpTo(store.version());
    retryBackoff.succeed();
    actions.push_back(ApplyConfiguration{store.configuration()});
    actions.push_back(RecordSpreadEvent{EventNumber::ConfigurationAccepted, store.version().toString()});
    // A node that joins needs the answers to compare versions before it serves.
    sendNoticesToRandomPeers(isFirst, actions);
}

bool SpreadNode::Private::isWanted(const ConfigurationVersion &version) const
{
    return version > store.version() && std::ranges::find(refusedVersions, version) == refusedVersions.end();
}

// Instance list

void SpreadNode::Private::useSnapshot(TimePoint now, const InstanceSnapshotPointer &given, SpreadActions &actions)
{
    const bool isFirst = !snapshot;
    // The list lags and may come from a stale platform or peer; a later revision is never replaced by an earlier one.
    if (!isFirst && given->revision != 0 && given->revision <= snapshot->revision) {
        return;
    }
    snapshot = given;
    updateElection(actions);
    if (isFirst) {
        pulls.removeOffersUpTo(store.version());
        // Nodes that start together learn the list from each other instead of the platform.
        sendNoticesToRandomPeers(true, actions);
        nextComparison = std::min(nextComparison, now + settings.antiEntropyInterval / 2);
    }
}

void SpreadNode::Private::updateElection(SpreadActions &actions)
{
    const bool wasElected = isElected;
    isElected = strategy.reads(instances(), settings);
    if (isElected != wasElected) {
        actions.push_back(RecordSpreadEvent{isElected ? EventNumber::ReaderElected : EventNumber::ReaderDismissed, settings.dataCentre});
    }
}

const InstanceList &SpreadNode::Private::instances() const
{
    static const InstanceList none;
    return snapshot ? snapshot->instances : none;
}

bool SpreadNode::Private::hasPeers() const
{
    const InstanceList &list = instances();
    return std::ranges::any_of(list, [this](const Instance &instance) { return instance.name != settings.name; });
}

const Instance *SpreadNode::Private::randomPeer(PeerScope scope)
{
    const InstanceList &list = instances();
    if (list.isEmpty()) {
        return nullptr;
    }
    std::uniform_int_distribution<qsizetype> anyIndex(0, list.size() - 1);
    const Instance *fallback = nullptr;
    for (int draw = 0; draw < maximumDraws; ++draw) {
        const Instance &instance = list[anyIndex(random)];
        if (instance.name == settings.name) {
            continue;
        }
        const bool isOwn = instance.dataCentre == settings.dataCentre;
        if (scope == PeerScope::Any || isOwn == (scope == PeerScope::OwnDataCentre)) {
            return &instance;
        }
        fallback = &instance;
    }
    return fallback;
}

// Notices

void SpreadNode::Private::sendNotice(const Endpoint &to, bool wantsAnswer, SpreadActions &actions) const
{
    actions.push_back(SendVersionNotice{to, {settings.admin, wantsAnswer}});
}

void SpreadNode::Private::sendNoticesToRandomPeers(bool wantsAnswer, SpreadActions &actions)
{
    if (!strategy.usesPeers) {
        return;
    }
    for (int copy = 0; copy < settings.pushFanOut; ++copy) {
        if (const Instance *peer = randomPeer(PeerScope::Any)) {
            sendNotice(peer->tunnel, wantsAnswer, actions);
        }
    }
}

void SpreadNode::Private::answer(TimePoint now, const Endpoint &tunnel, bool wantsAnswer, SpreadActions &actions)
{
    if (now >= answerWindowDeadline) {
        answersInWindow.clear();
        answerWindowDeadline = now + 1s;
    }
    int &answers = answersInWindow[tunnel];
    if (answers >= settings.answersPerSecond) {
        return;
    }
    ++answers;
    sendNotice(tunnel, wantsAnswer, actions);
}

void SpreadNode::Private::compareWithRandomPeer(TimePoint now, SpreadActions &actions)
{
    if (now < nextComparison) {
        return;
    }
    const bool isSpreading = now < spreadDeadline;
    nextComparison = now + (isSpreading ? settings.spreadInterval : settings.antiEntropyInterval);
    const PeerScope scope = std::bernoulli_distribution(0.5)(random) ? PeerScope::OtherDataCentre : PeerScope::OwnDataCentre;
    if (const Instance *peer = randomPeer(scope)) {
        // A peer with another version answers in any case.
        sendNotice(peer->tunnel, !isSpreading, actions);
    }
}

void SpreadNode::Private::noteHeard(TimePoint now, const ConfigurationVersion &version)
{
    silenceDeadline = now + settings.silenceLimit;
    if (version >= highestHeard || now >= highestHeardDeadline) {
        highestHeard = version;
        highestHeardDeadline = now + settings.silenceLimit;
    }
}

void SpreadNode::Private::noteComparison(const Endpoint &peer)
{
    pauseGuard.onCompared();
    // Comparing nothing with nothing tells no node what is in force.
    if (!store.configuration() || std::ssize(comparedPeers) >= settings.joinPeers) {
        return;
    }
    if (std::ranges::find(comparedPeers, peer) == comparedPeers.end()) {
        comparedPeers.push_back(peer);
    }
}

void SpreadNode::Private::noteConflict(const ConfigurationVersion &version, SpreadActions &actions)
{
    const ConfigurationVersion inForce = store.version();
    if (version.number != inForce.number || version.digest == inForce.digest || version == conflict) {
        return;
    }
    conflict = version;
    actions.push_back(
        RecordSpreadEvent{EventNumber::ConfigurationConflict,
                          QStringLiteral("two documents have number %1: %2 and %3").arg(version.number).arg(inForce.toString(), version.toString())});
}

// Pulls

void SpreadNode::Private::refillListBudget(TimePoint now)
{
    while (now >= nextRefill && listBudget < settings.listBytesBurst) {
        listBudget = std::min(settings.listBytesBurst, listBudget + settings.listBytesPerSecond);
        nextRefill += 1s;
    }
    nextRefill = std::max(nextRefill, now);
}

void SpreadNode::Private::pull(const Endpoint &admin, const ConfigurationVersion &from, SpreadActions &actions) const
{
    actions.push_back(PullDocument{admin, from, snapshot ? snapshot->revision : 0});
}

void SpreadNode::Private::continuePulls(TimePoint now, SpreadActions &actions)
{
    pulls.expire(now);
    if (!pulls.mayStart(now)) {
        return;
    }
    if (const std::optional<Endpoint> admin = pulls.startOffered(now)) {
        pull(*admin, store.version(), actions);
        return;
    }
    // The known holders of the version failed or do not answer: any other peer may have it by now.
    if (now >= highestHeardDeadline || !isWanted(highestHeard) || !retryBackoff.isDue(now)) {
        return;
    }
    retryBackoff.fail(now, random);
    const Instance *peer = randomPeer(PeerScope::Any);
    if (peer != nullptr && pulls.start(now, peer->admin)) {
        pull(peer->admin, store.version(), actions);
    }
}

void SpreadNode::Private::compareInstancesWithRandomPeer(TimePoint now, SpreadActions &actions)
{
    if (now < nextInstanceComparison) {
        return;
    }
    nextInstanceComparison = now + settings.instanceInterval / 2 + randomDuration(settings.instanceInterval, random);
    const Instance *peer = isElected ? nullptr : randomPeer(PeerScope::Any);
    if (peer != nullptr && pulls.start(now, peer->admin)) {
        pull(peer->admin, store.version(), actions);
    }
}

void SpreadNode::Private::usePeerAnswer(TimePoint now, const Endpoint &admin, const PeerAnswer &answer, SpreadActions &actions)
{
    if (!answer.instances.isEmpty()) {
        if (const InstanceSnapshotPointer given = strategy.snapshots->decode(answer.instances)) {
            useSnapshot(now, given, actions);
        }
    }
    if (answer.kind != PeerAnswerKind::Nothing && isWanted(answer.to)) {
        const std::optional<QByteArray> text = store.textOf(answer);
        if (!text && answer.kind == PeerAnswerKind::Delta) {
            // The delta is damaged, or another version came into force while it was on the way.
            if (pulls.start(now, admin)) {
                pull(admin, {}, actions);
            }
            return;
        }
        if (!text) {
            pulls.fail(admin);
            return;
        }
        offerDocument(now, *text, answer.to, actions);
    }
    if (answer.to <= store.version()) {
        noteComparison(admin);
    }
}

// Platform

PlatformWatch &SpreadNode::Private::watchOf(PlatformSubject subject)
{
    return subject == PlatformSubject::Document ? documentWatch : instanceWatch;
}

void SpreadNode::Private::callPlatform(TimePoint now, PlatformSubject subject, bool isWatch, SpreadActions &actions)
{
    PlatformWatch &watch = watchOf(subject);
    watch.start(now);
    actions.push_back(ReadPlatform{isWatch ? watch.revision() : 0, subject});
}

void SpreadNode::Private::notePlatformAnswer(PlatformSubject subject, SpreadActions &actions)
{
    watchOf(subject).succeed();
    if (std::exchange(isPlatformDown, false)) {
        actions.push_back(RecordSpreadEvent{EventNumber::PlatformReturned, {}});
    }
}

void SpreadNode::Private::notePlatformFailure(TimePoint now, const QString &reason, PlatformSubject subject, SpreadActions &actions)
{
    watchOf(subject).fail(now, random);
    if (!std::exchange(isPlatformDown, true)) {
        actions.push_back(RecordSpreadEvent{EventNumber::PlatformUnavailable, reason});
    }
}

void SpreadNode::Private::readPlatform(TimePoint now, SpreadActions &actions)
{
    for (const PlatformSubject subject : {PlatformSubject::Document, PlatformSubject::Instances}) {
        if (watchOf(subject).isOverdue(now)) {
            notePlatformFailure(now, QStringLiteral("the call did not end in time"), subject, actions);
        }
        if (isElected && watchOf(subject).isDue(now)) {
            callPlatform(now, subject, true, actions);
        }
    }
    if (!isElected) {
        readAlone(now, actions);
    }
}

void SpreadNode::Private::readAlone(TimePoint now, SpreadActions &actions)
{
    if (now < silenceDeadline) {
        aloneDeadline.reset();
        return;
    }
    // A random delay comes before the first call too, since the event that silenced this node may have silenced all.
    if (!aloneDeadline) {
        aloneDeadline = now + randomDuration(settings.aloneInterval, random);
    }
    if (now < *aloneDeadline) {
        return;
    }
    aloneDeadline = now + randomDuration(settings.aloneInterval, random);
    // Without a list the list comes first: it names peers that have the document, or readers that will.
    const PlatformSubject subject = snapshot ? nextAloneSubject : PlatformSubject::Instances;
    nextAloneSubject = subject == PlatformSubject::Instances ? PlatformSubject::Document : PlatformSubject::Instances;
    if (!watchOf(subject).isCalling()) {
        callPlatform(now, subject, false, actions);
    }
}

// SpreadNode

SpreadNode::SpreadNode(const SpreadNodeSettings &settings, const SpreadStrategy &strategy, TimePoint now)
    : m_d(std::make_unique<Private>(settings, strategy, now))
{
}

SpreadNode::~SpreadNode() = default;

void SpreadNode::onPlatformDocument(TimePoint now, quint64 revision, const QByteArray &text, SpreadActions &actions)
{
    m_d->notePlatformAnswer(PlatformSubject::Document, actions);
    m_d->documentWatch.setRevision(revision);
    m_d->offerDocument(now, text, {}, actions);
}

void SpreadNode::onInstanceList(TimePoint now, const InstanceList &instances, SpreadActions &actions, quint64 revision)
{
    if (revision != 0 || m_d->instanceWatch.isCalling()) {
        m_d->notePlatformAnswer(PlatformSubject::Instances, actions);
        m_d->instanceWatch.setRevision(revision);
    }
    m_d->useSnapshot(now, m_d->strategy.snapshots->make(revision, instances), actions);
}

void SpreadNode::onPlatformUnchanged(TimePoint, PlatformSubject subject, SpreadActions &actions)
{
    m_d->notePlatformAnswer(subject, actions);
}

void SpreadNode::onPlatformFailure(TimePoint now, const QString &reason, SpreadActions &actions, PlatformSubject subject)
{
    m_d->notePlatformFailure(now, reason, subject, actions);
}

void SpreadNode::onPeerVersion(TimePoint now,
                               const Endpoint &tunnel,
                               const ConfigurationVersion &version,
                               const std::optional<VersionNotice> &notice,
                               SpreadActions &actions)
{
    if (!m_d->strategy.usesPeers) {
        return;
    }
    m_d->noteHeard(now, version);
    m_d->noteConflict(version, actions);
    const ConfigurationVersion inForce = m_d->store.version();
    const bool isWanted = m_d->isWanted(version);
    if (notice && (isWanted || !m_d->snapshot)) {
        m_d->pulls.addOffer(notice->adminEndpoint, version);
        m_d->continuePulls(now, actions);
    } else if (isWanted) {
        // Only a notice tells where the sender serves documents.
        m_d->answer(now, tunnel, true, actions);
    }
    if (notice && version <= inForce) {
        m_d->noteComparison(notice->adminEndpoint);
    }
    if (version < inForce || (notice && notice->wantsAnswer)) {
        m_d->answer(now, tunnel, false, actions);
    }
}

void SpreadNode::onPulledDocument(TimePoint now, const Endpoint &admin, const std::optional<QByteArray> &answer, SpreadActions &actions)
{
    const std::optional<PeerAnswer> decoded = answer ? PeerAnswer::fromBytes(*answer) : std::nullopt;
    if (!decoded) {
        m_d->pulls.fail(admin);
        m_d->continuePulls(now, actions);
        return;
    }
    m_d->noteHeard(now, decoded->to);
    m_d->pulls.succeed(admin);
    m_d->usePeerAnswer(now, admin, *decoded, actions);
    m_d->continuePulls(now, actions);
}

QByteArray SpreadNode::documentDelta(const ConfigurationVersion &from, quint64 instanceRevision) const
{
    PeerAnswer answer = m_d->store.difference(from);
    if (m_d->snapshot && m_d->snapshot->revision > instanceRevision && m_d->listBudget > 0) {
        answer.instances = m_d->snapshot->encoded;
        m_d->listBudget -= answer.instances.size();
    }
    return answer.toBytes();
}

ConfigurationPointer SpreadNode::configuration() const
{
    return m_d->store.configuration();
}

const InstanceList &SpreadNode::instances() const
{
    return m_d->instances();
}

quint64 SpreadNode::instanceRevision() const
{
    return m_d->snapshot ? m_d->snapshot->revision : 0;
}

bool SpreadNode::isReady(TimePoint now) const
{
    if (!m_d->store.configuration() || m_d->pauseGuard.isHolding(now)) {
        return false;
    }
    const bool hasCompared = std::ssize(m_d->comparedPeers) >= m_d->settings.joinPeers;
    return hasCompared || now >= m_d->joinDeadline || (m_d->snapshot && !m_d->hasPeers());
}

bool SpreadNode::isReader() const
{
    return m_d->isElected;
}

void SpreadNode::onTick(TimePoint now, SpreadActions &actions)
{
    if (m_d->pauseGuard.step(now)) {
        actions.push_back(RecordSpreadEvent{EventNumber::PauseNoticed, {}});
        m_d->sendNoticesToRandomPeers(true, actions);
    }
    m_d->refillListBudget(now);
    m_d->readPlatform(now, actions);
    if (!m_d->strategy.usesPeers) {
        return;
    }
    m_d->compareWithRandomPeer(now, actions);
    m_d->continuePulls(now, actions);
    m_d->compareInstancesWithRandomPeer(now, actions);
}

}
