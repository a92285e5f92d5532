#include "agent/directoryrecovery.h"

namespace Rattanpick
{

DirectoryRecovery::DirectoryRecovery(AgentContext &context)
    : m_context(context)
{
}

void DirectoryRecovery::begin(TimePoint now, AgentActions &actions)
{
    RP_ASSERT(m_context.configuration() != nullptr);
    if (m_hasBegun) {
        return;
    }
    m_hasBegun = true;
    m_recoveryDeadline = now + m_context.settings().recoveryTimeout;
    m_certaintyDeadline = now + m_context.settings().recoveryTimeout + m_context.settings().directoryRefresh * 3 / 2;
    for (const Target *target : m_context.configuration()->targetsOf(m_context.settings().service)) {
        if (target->id != m_context.settings().target) {
            m_awaited.insert(target->id);
        }
    }
    m_pullDeadline = now;
    onTick(now, actions);
}

void DirectoryRecovery::onDigest(TargetId owner, const DirectoryDigest &digest, const DirectoryDigest &held)
{
    if (digest == held || digest.count == 0) {
        m_awaited.erase(owner);
    }
}

void DirectoryRecovery::onTick(TimePoint now, AgentActions &actions)
{
    if (!isUncertain(now) || !m_hasBegun || m_awaited.empty() || now < m_pullDeadline) {
        return;
    }
    m_pullDeadline = now + m_context.settings().registerTimeout * 2;
    for (const TargetId target : m_awaited) {
        const Hop hop = m_context.currentHop({target, {}});
        if (hop.endpoint.isNull() || m_context.peers().isSuspected(target)) {
            continue;
        }
        m_context.send(hop, DirectoryPull{}, actions);
    }
}

bool DirectoryRecovery::isRecovering(TimePoint now) const
{
    return !m_hasBegun || (!m_awaited.empty() && now < *m_recoveryDeadline);
}

bool DirectoryRecovery::isUncertain(TimePoint now) const
{
    return !m_hasBegun || now < *m_certaintyDeadline;
}

}
