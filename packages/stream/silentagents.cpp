#include "stream/silentagents.h"

namespace Rattanpick
{

SilentAgents::SilentAgents(const SilentAgentsSettings &settings)
    : m_settings(settings)
{
}

bool SilentAgents::admitProbe(TimePoint now, const Endpoint &agent)
{
    const auto found = m_silences.find(agent);
    const bool isSilent = found != m_silences.end() && now >= found->second.begin + m_settings.silenceLimit;
    if (isSilent && now < found->second.latestProbe + m_settings.probeInterval) {
        found->second.hasHeldBack = true;
        return false;
    }
    recordProbe(now, agent);
    return true;
}

void SilentAgents::recordProbe(TimePoint now, const Endpoint &agent)
{
    Silence &silence = m_silences.try_emplace(agent, Silence{now, now}).first->second;
    // The agent may have been reachable between two probes that are far apart.
    if (now >= silence.latestProbe + m_settings.goneTime) {
        silence.begin = now;
    }
    silence.latestProbe = now;
}

bool SilentAgents::isGone(TimePoint now, const Endpoint &agent) const
{
    const auto found = m_silences.find(agent);
    return found != m_silences.end() && now >= found->second.begin + m_settings.goneTime;
}

bool SilentAgents::onMessage(const Endpoint &agent)
{
    const auto found = m_silences.find(agent);
    if (found == m_silences.end()) {
        return false;
    }
    const bool hasHeldBack = found->second.hasHeldBack;
    m_silences.erase(found);
    return hasHeldBack;
}

}
