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

/// Attempts to draw a random peer from the requested scope before falling back to any peer.
constexpr int maximumDraws = 32;

/// Recorded versions that peers have in force and this node refuses, so that they are not pulled repeatedly.
constexpr std::size_t maximumRefusedVersions = 16;

/// Bounds of the delay before a random peer is asked for a version after all pulls from its known holders failed.
constexpr Duration retryMinimum = 100ms;
constexpr Duration retryMaximum = 500ms;

/// Data centres from which a random peer is drawn.
enum class PeerScope : quint8 {
    Any,
    OwnDataCentre,
    OtherDataCentre,
};

}

class SpreadNode::Private
{
public:
    Private(const SpreadNodeSettings &nodeSettings, const SpreadStrategy &nodeStrategy, TimePoint now);

    // Documents
    void offerDocument(TimePoint now, const QByteArray &text, const ConfigurationVersion &claimed, SpreadActions &actions);
    void onDocumentAccepted(TimePoint now, SpreadActions &actions);
    bool isWanted(const ConfigurationVersion &version) const;

    // Instance list
    void applySnapshot(TimePoint now, const InstanceSnapshotPointer &received, SpreadActions &actions);
    void updateElection(SpreadActions &actions);
    const InstanceList &instances() const;
    bool hasPeers() const;
    const Instance *randomPeer(PeerScope scope);

    // Notices
    void sendNotice(const Endpoint &to, bool wantsAnswer, SpreadActions &actions) const;
    void sendNoticesToRandomPeers(bool wantsAnswer, SpreadActions &actions);
    void sendAnswer(TimePoint now, const Endpoint &tunnel, bool wantsAnswer, SpreadActions &actions);
    void compareWithRandomPeer(TimePoint now, SpreadActions &actions);
    void recordPeerVersion(TimePoint now, const ConfigurationVersion &version);
    void recordComparison(const Endpoint &peer);
    void reportConflict(const ConfigurationVersion &version, SpreadActions &actions);

    // Pulls
    void refillInstanceListBudget(TimePoint now);
    void pull(const Endpoint &admin, const ConfigurationVersion &from, SpreadActions &actions) const;
    void continuePulls(TimePoint now, SpreadActions &actions);
    void compareInstancesWithRandomPeer(TimePoint now, SpreadActions &actions);
    void applyPeerAnswer(TimePoint now, const Endpoint &admin, const PeerAnswer &answer, SpreadActions &actions);

    // Platform
    PlatformWatch &watchOf(PlatformSubject subject);
    void callPlatform(TimePoint now, PlatformSubject subject, bool isWatch, SpreadActions &actions);
    void recordPlatformAnswer(PlatformSubject subject, SpreadActions &actions);
    void recordPlatformFailure(TimePoint now, const QString &reason, PlatformSubject subject, SpreadActions &actions);
    void readPlatform(TimePoint now, SpreadActions &actions);
    void readWhileIsolated(TimePoint now, SpreadActions &actions);

    const SpreadNodeSettings settings;
    const SpreadStrategy strategy;
    std::mt19937_64 random;
    ConfigurationStore store;
    PauseGuard pauseGuard;
    PullSchedule pulls;
    InstanceSnapshotPointer snapshot;
    /// Remaining bytes of instance lists to send; a list is sent while it is positive, and may make it negative.
    qint64 instanceListBudget;
    TimePoint nextRefill;

    // Peers
    ConfigurationVersion highestPeerVersion;
    /// The highest version is requested until then; the peer that reported it may be gone or wrong.
    TimePoint highestPeerVersionDeadline{};
    ConfigurationVersion conflict;
    std::deque<ConfigurationVersion> refusedVersions;
    std::vector<Endpoint> comparedPeers;
    std::unordered_map<Endpoint, int> answersInWindow;
    TimePoint answerWindowDeadline{};
    TimePoint nextComparison;
    /// Versions are compared at the shorter spreadInterval until then.
    TimePoint spreadDeadline{};
    TimePoint nextInstanceComparison;
    TimePoint joinDeadline = TimePoint::max();
    Backoff retryBackoff{retryMinimum, retryMaximum};

    // Platform
    PlatformWatch documentWatch;
    PlatformWatch instanceWatch;
    bool isElected = false;
    bool isPlatformDown = false;
    TimePoint isolationDeadline;
    /// Next platform call of a node that receives nothing from peers; set when it becomes isolated.
    std::optional<TimePoint> isolatedReadDeadline;
    PlatformSubject nextIsolatedSubject = PlatformSubject::Instances;
};

SpreadNode::Private::Private(const SpreadNodeSettings &nodeSettings, const SpreadStrategy &nodeStrategy, TimePoint now)
    : settings(nodeSettings)
    , strategy(nodeStrategy)
    , random(nodeSettings.seed)
    , store(nodeStrategy.parser, nodeSettings.deltaHistory, nodeStrategy.accepts)
    , pauseGuard(nodeSettings.pauseLimit, nodeSettings.pauseQuarantine)
    , pulls(nodeSettings)
    , instanceListBudget(nodeSettings.listBytesBurst)
    , nextRefill(now + 1s)
    , nextComparison(now + randomDuration(nodeSettings.antiEntropyInterval, random))
    , nextInstanceComparison(now + randomDuration(nodeSettings.instanceInterval, random))
    , documentWatch(nodeSettings)
    , instanceWatch(nodeSettings)
    , isElected(nodeStrategy.reads({}, nodeSettings))
    , isolationDeadline(now)
    , isolatedReadDeadline(now + randomDuration(nodeSettings.startDelayLimit, random))
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
        onDocumentAccepted(now, actions);
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

void SpreadNode::Private::onDocumentAccepted(TimePoint now, SpreadActions &actions)
{
    const bool isFirst = joinDeadline == TimePoint::max();
    if (isFirst) {
        joinDeadline = now + settings.joinTimeout;
    }
    spreadDeadline = now + settings.spreadDuration;
    nextComparison = std::min(nextComparison, now + settings.spreadInterval);
    pulls.removeOffersUpTo(store.version());
    retryBackoff.succeed();
    actions.push_back(ApplyConfiguration{store.configuration()});
    actions.push_back(RecordSpreadEvent{EventNumber::ConfigurationAccepted, store.version().toString()});
    // A joining node needs the answers, since it must compare versions before it serves.
    sendNoticesToRandomPeers(isFirst, actions);
}

bool SpreadNode::Private::isWanted(const ConfigurationVersion &version) const
{
    return version > store.version() && std::ranges::find(refusedVersions, version) == refusedVersions.end();
}

// Instance list

void SpreadNode::Private::applySnapshot(TimePoint now, const InstanceSnapshotPointer &received, SpreadActions &actions)
{
    const bool isFirst = !snapshot;
    // A stale platform or peer may deliver an outdated list; a revision never replaces a higher one.
    if (!isFirst && received->revision != 0 && received->revision <= snapshot->revision) {
        return;
    }
    snapshot = received;
    updateElection(actions);
    if (isFirst) {
        pulls.removeOffersUpTo(store.version());
        // Nodes that start together obtain the list from each other instead of from the platform.
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

void SpreadNode::Private::sendAnswer(TimePoint now, const Endpoint &tunnel, bool wantsAnswer, SpreadActions &actions)
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
        // A peer with a higher version answers even if no answer is requested.
        sendNotice(peer->tunnel, !isSpreading, actions);
    }
}

void SpreadNode::Private::recordPeerVersion(TimePoint now, const ConfigurationVersion &version)
{
    isolationDeadline = now + settings.isolationTimeout;
    if (version >= highestPeerVersion || now >= highestPeerVersionDeadline) {
        highestPeerVersion = version;
        highestPeerVersionDeadline = now + settings.isolationTimeout;
    }
}

void SpreadNode::Private::recordComparison(const Endpoint &peer)
{
    pauseGuard.onCompared();
    // Without a document of its own, a comparison does not show the node which version is in force.
    if (!store.configuration() || std::ssize(comparedPeers) >= settings.joinPeers) {
        return;
    }
    if (std::ranges::find(comparedPeers, peer) == comparedPeers.end()) {
        comparedPeers.push_back(peer);
    }
}

void SpreadNode::Private::reportConflict(const ConfigurationVersion &version, SpreadActions &actions)
{
    const ConfigurationVersion inForce = store.version();
    if (version.number != inForce.number || version.digest == inForce.digest || version == conflict) {
        return;
    }
    conflict = version;
    actions.push_back(RecordSpreadEvent{
        EventNumber::ConfigurationConflict,
        QStringLiteral("two different documents have version number %1: %2 and %3").arg(version.number).arg(inForce.toString(), version.toString())});
}

// Pulls

void SpreadNode::Private::refillInstanceListBudget(TimePoint now)
{
    while (now >= nextRefill && instanceListBudget < settings.listBytesBurst) {
        instanceListBudget = std::min(settings.listBytesBurst, instanceListBudget + settings.listBytesPerSecond);
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
    // The known holders of the version failed or do not answer; any other peer may have received it by now.
    if (now >= highestPeerVersionDeadline || !isWanted(highestPeerVersion) || !retryBackoff.isDue(now)) {
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

void SpreadNode::Private::applyPeerAnswer(TimePoint now, const Endpoint &admin, const PeerAnswer &answer, SpreadActions &actions)
{
    if (!answer.instances.isEmpty()) {
        if (const InstanceSnapshotPointer received = strategy.snapshots->decode(answer.instances)) {
            applySnapshot(now, received, actions);
        }
    }
    if (answer.kind != PeerAnswerKind::Nothing && isWanted(answer.to)) {
        const std::optional<QByteArray> text = store.textOf(answer);
        if (!text && answer.kind == PeerAnswerKind::Delta) {
            // The delta is damaged, or another version came into force while it was in transit.
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
        recordComparison(admin);
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

void SpreadNode::Private::recordPlatformAnswer(PlatformSubject subject, SpreadActions &actions)
{
    watchOf(subject).succeed();
    if (std::exchange(isPlatformDown, false)) {
        actions.push_back(RecordSpreadEvent{EventNumber::PlatformReturned, {}});
    }
}

void SpreadNode::Private::recordPlatformFailure(TimePoint now, const QString &reason, PlatformSubject subject, SpreadActions &actions)
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
            recordPlatformFailure(now, QStringLiteral("the call to the platform timed out"), subject, actions);
        }
        if (isElected && watchOf(subject).isDue(now)) {
            callPlatform(now, subject, true, actions);
        }
    }
    if (!isElected) {
        readWhileIsolated(now, actions);
    }
}

void SpreadNode::Private::readWhileIsolated(TimePoint now, SpreadActions &actions)
{
    if (now < isolationDeadline) {
        isolatedReadDeadline.reset();
        return;
    }
    // The first call is delayed randomly too, since the event that isolated this node may have isolated all nodes.
    if (!isolatedReadDeadline) {
        isolatedReadDeadline = now + randomDuration(settings.isolatedReadInterval, random);
    }
    if (now < *isolatedReadDeadline) {
        return;
    }
    isolatedReadDeadline = now + randomDuration(settings.isolatedReadInterval, random);
    // Without an instance list, read the list first: it names peers that have the document, or readers that will.
    const PlatformSubject subject = snapshot ? nextIsolatedSubject : PlatformSubject::Instances;
    nextIsolatedSubject = subject == PlatformSubject::Instances ? PlatformSubject::Document : PlatformSubject::Instances;
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
    m_d->recordPlatformAnswer(PlatformSubject::Document, actions);
    m_d->documentWatch.setRevision(revision);
    m_d->offerDocument(now, text, {}, actions);
}

void SpreadNode::onInstanceList(TimePoint now, const InstanceList &instances, SpreadActions &actions, quint64 revision)
{
    if (revision != 0 || m_d->instanceWatch.isCalling()) {
        m_d->recordPlatformAnswer(PlatformSubject::Instances, actions);
        m_d->instanceWatch.setRevision(revision);
    }
    m_d->applySnapshot(now, m_d->strategy.snapshots->make(revision, instances), actions);
}

void SpreadNode::onPlatformUnchanged(TimePoint, PlatformSubject subject, SpreadActions &actions)
{
    m_d->recordPlatformAnswer(subject, actions);
}

void SpreadNode::onPlatformFailure(TimePoint now, const QString &reason, SpreadActions &actions, PlatformSubject subject)
{
    m_d->recordPlatformFailure(now, reason, subject, actions);
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
    m_d->recordPeerVersion(now, version);
    m_d->reportConflict(version, actions);
    const ConfigurationVersion inForce = m_d->store.version();
    const bool isWanted = m_d->isWanted(version);
    if (notice && (isWanted || !m_d->snapshot)) {
        m_d->pulls.addOffer(notice->adminEndpoint, version);
        m_d->continuePulls(now, actions);
    } else if (isWanted) {
        // Only a notice contains the endpoint at which the sender serves documents.
        m_d->sendAnswer(now, tunnel, true, actions);
    }
    if (notice && version <= inForce) {
        m_d->recordComparison(notice->adminEndpoint);
    }
    if (version < inForce || (notice && notice->wantsAnswer)) {
        m_d->sendAnswer(now, tunnel, false, actions);
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
    m_d->recordPeerVersion(now, decoded->to);
    m_d->pulls.succeed(admin);
    m_d->applyPeerAnswer(now, admin, *decoded, actions);
    m_d->continuePulls(now, actions);
}

QByteArray SpreadNode::documentDelta(const ConfigurationVersion &from, quint64 instanceRevision) const
{
    PeerAnswer answer = m_d->store.difference(from);
    if (m_d->snapshot && m_d->snapshot->revision > instanceRevision && m_d->instanceListBudget > 0) {
        answer.instances = m_d->snapshot->encoded;
        m_d->instanceListBudget -= answer.instances.size();
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
    if (!m_d->store.configuration() || m_d->pauseGuard.isQuarantined(now)) {
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
    m_d->refillInstanceListBudget(now);
    m_d->readPlatform(now, actions);
    if (!m_d->strategy.usesPeers) {
        return;
    }
    m_d->compareWithRandomPeer(now, actions);
    m_d->continuePulls(now, actions);
    m_d->compareInstancesWithRandomPeer(now, actions);
}

}
