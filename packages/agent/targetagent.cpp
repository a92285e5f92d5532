#include "agent/targetagent.h"

#include "agent/agentconditions.h"
#include "agent/agentcontext.h"
#include "agent/directoryrecovery.h"
#include "agent/failuredetector.h"
#include "agent/openingplacer.h"
#include "agent/ownedflows.h"
#include "agent/packetpath.h"
#include "agent/peermessagehandler.h"
#include "agent/targetlink.h"

namespace Rattanpick
{

class TargetAgent::Private
{
public:
    Private(const TargetAgentSettings &settings, TimePoint now);

    void step(TimePoint now, AgentActions &actions);
    void applyLimits(const Configuration &configuration);
    void updateFence(TimePoint now, AgentActions &actions);
    void endFence(TimePoint now, AgentActions &actions);

    AgentContext m_context;
    AgentConditions m_conditions;
    DirectoryRecovery m_recovery;
    OwnedFlows m_flows;
    OpeningPlacer m_placer;
    FailureDetector m_detector;
    PacketPath m_path;
    PeerMessageHandler m_peerMessages;
    TargetLink m_targetLink;
    /// From when on the gap since the latest step counts as a pause.
    TimePoint m_pauseDeadline;
    TimePoint m_latestStep;
};

TargetAgent::Private::Private(const TargetAgentSettings &settings, TimePoint now)
    : m_context(settings)
    , m_recovery(m_context)
    , m_flows(m_context, m_conditions, m_recovery)
    , m_placer(m_context, m_flows)
    , m_detector(m_context)
    , m_path(m_context, m_conditions, m_recovery, m_flows, m_placer)
    , m_peerMessages(m_context, m_conditions, m_recovery, m_flows, m_placer, m_detector, m_path)
    , m_targetLink(m_context, m_conditions, m_flows, m_path)
    , m_pauseDeadline(now + settings.pauseLimit)
    , m_latestStep(now)
{
    m_conditions.targetSilenceDeadline = now + settings.targetSilenceLimit;
}

void TargetAgent::Private::step(TimePoint now, AgentActions &actions)
{
    RP_ASSERT(now >= m_latestStep);
    m_latestStep = now;
    // A gap between steps means that this process was paused. Its state may be outdated, so it refuses packets until a
    // peer has reported a version that is not newer, or the quarantine expires.
    if (now >= m_pauseDeadline) {
        actions.emplace_back(RecordEvent{EventNumber::PauseNoticed, {}, 0, QStringLiteral("agent was paused")});
        m_conditions.minimumQuarantineDeadline = now + m_context.settings().minimumQuarantine;
        m_conditions.quarantineDeadline = now + m_context.settings().quarantineLimit;
        m_detector.resetSilenceDeadlines(now);
    }
    m_pauseDeadline = now + m_context.settings().pauseLimit;
    if (m_conditions.isQuarantined() && now >= *m_conditions.quarantineDeadline) {
        m_conditions.quarantineDeadline.reset();
    }
    m_flows.refreshHeader(now);
}

void TargetAgent::Private::applyLimits(const Configuration &configuration)
{
    const Target *target = configuration.findTarget(m_context.settings().target);
    const Service *service = configuration.findService(m_context.settings().service);
    const bool isNamed = target && service && target->service == service->id;
    // An agent whose target is no longer in the document keeps its flows and accepts no new ones.
    m_conditions.isDocumentDraining = !isNamed || target->isDraining;
    if (isNamed) {
        m_flows.requests().setLimits(target->slots, service->coldSharePercent, service->warmSeconds, service->retryBudgetPercent);
    }
}

void TargetAgent::Private::updateFence(TimePoint now, AgentActions &actions)
{
    const DataCentre *dataCentre = m_context.configuration()->findDataCentre(m_context.settings().dataCentre);
    const bool isOut = dataCentre && dataCentre->isOut;
    if (isOut == m_conditions.isDataCentreOut) {
        return;
    }
    m_conditions.isDataCentreOut = isOut;
    const EventNumber number = isOut ? EventNumber::DataCentreOut : EventNumber::DataCentreIn;
    actions.emplace_back(RecordEvent{number, {}, 0, m_context.settings().dataCentre});
    if (isOut) {
        m_conditions.fenceDeadline = now + m_context.settings().fenceGrace;
    } else {
        m_conditions.fenceDeadline.reset();
    }
}

void TargetAgent::Private::endFence(TimePoint now, AgentActions &actions)
{
    // Requests in progress may still finish within the grace period; then the flows are broken.
    const bool isDue = m_conditions.fenceDeadline && (now >= *m_conditions.fenceDeadline || m_flows.requests().isIdle());
    if (!isDue) {
        return;
    }
    m_conditions.fenceDeadline.reset();
    m_flows.breakAll(now, RefusalReason::DataCentreOut, QStringLiteral("operators have taken the data centre out"), actions);
}

TargetAgent::TargetAgent(const TargetAgentSettings &settings, TimePoint now)
    : m_d(std::make_unique<Private>(settings, now))
{
}

TargetAgent::~TargetAgent() = default;

// Configuration and membership

void TargetAgent::applyConfiguration(TimePoint now, const ConfigurationPointer &configuration, AgentActions &actions)
{
    RP_ASSERT(configuration != nullptr);
    RP_ASSERT(configuration->version() > m_d->m_context.version());
    m_d->step(now, actions);
    // Consecutive version numbers leave no version out; after a gap the tables in between are unknown.
    if (configuration->version().number != m_d->m_context.version().number + 1) {
        m_d->m_placer.setOldestKnownVersion(configuration->version());
    }
    m_d->m_context.tables().applyConfiguration(configuration);
    m_d->applyLimits(*configuration);
    m_d->m_detector.recompute(now);
    m_d->m_recovery.begin(now, actions);
    m_d->m_flows.registrar().recompute(now, m_d->m_flows.table());
    m_d->updateFence(now, actions);
    m_d->m_flows.requests().refuseNewRequests(m_d->m_conditions.requestRefusal());
    m_d->m_flows.refreshHeader(now);
    m_d->m_path.onConfiguration(now, actions);
}

void TargetAgent::setListedLive(TargetId target, bool isLive)
{
    m_d->m_context.peers().setListedLive(target, isLive);
}

void TargetAgent::setLeaving(TimePoint now, bool isLeaving, AgentActions &actions)
{
    m_d->step(now, actions);
    m_d->m_conditions.isListedLeaving = isLeaving;
    m_d->m_flows.requests().refuseNewRequests(m_d->m_conditions.requestRefusal());
}

// Messages

void TargetAgent::onPeerMessage(TimePoint now, const PeerMessage &message, AgentActions &actions)
{
    m_d->step(now, actions);
    m_d->m_peerMessages.onMessage(now, message, actions);
}

void TargetAgent::onTargetReply(TimePoint now, const TargetReply &reply, AgentActions &actions)
{
    m_d->step(now, actions);
    m_d->m_targetLink.onReply(now, reply, actions);
}

void TargetAgent::onTick(TimePoint now, AgentActions &actions)
{
    m_d->step(now, actions);
    if (!m_d->m_context.configuration()) {
        return;
    }
    m_d->m_flows.onTick(now, actions);
    m_d->m_placer.onTick(now, actions);
    m_d->m_recovery.onTick(now, actions);
    if (m_d->m_detector.onTick(now, m_d->m_conditions.isDraining(), actions)) {
        m_d->m_flows.registrar().recompute(now, m_d->m_flows.table());
    }
    m_d->m_path.onTick(now, actions);
    m_d->endFence(now, actions);
}

// Planned stop

void TargetAgent::beginStop(TimePoint now, AgentActions &actions)
{
    m_d->step(now, actions);
    if (m_d->m_conditions.stopDeadline) {
        return;
    }
    m_d->m_conditions.stopDeadline = now + m_d->m_context.settings().minimumStopTime;
    m_d->m_flows.requests().refuseNewRequests(m_d->m_conditions.requestRefusal());
    m_d->m_flows.refreshHeader(now);
    actions.emplace_back(RecordEvent{EventNumber::ProcessStopping, {}, 0, QStringLiteral("planned stop")});
    m_d->m_detector.announceStop(actions);
}

bool TargetAgent::isStopped() const
{
    return m_d->m_conditions.stopDeadline && m_d->m_latestStep >= *m_d->m_conditions.stopDeadline && m_d->m_flows.requests().isIdle();
}

TargetAgentStatus TargetAgent::status(TimePoint now) const
{
    const FlowAdmission::State state = m_d->m_flows.admissionState(now);
    TargetAgentStatus status;
    status.version = m_d->m_context.version();
    status.isRecovering = state.isRecovering;
    status.isDraining = state.isDraining;
    status.isStopping = state.isStopping;
    status.isFenced = state.isDataCentreOut;
    status.ownedFlows = state.ownedFlows;
    status.directoryEntries = m_d->m_flows.directory().size();
    status.unconfirmedEntries = m_d->m_flows.registrar().unconfirmed();
    status.pendingOpenings = m_d->m_placer.pendingCount();
    status.queuedRequests = m_d->m_flows.requests().queuedRequests();
    status.deliveredRequests = m_d->m_flows.requests().deliveredRequests();
    status.loadPermille = m_d->m_context.loadPermille();
    status.warmPermille = static_cast<quint16>(state.warmPermille);
    return status;
}

}
