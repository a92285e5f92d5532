#pragma once

#include "core/endpoint.h"
#include "core/timepoint.h"
#include "stream/silentagentssettings.h"

#include <unordered_map>

namespace Rattanpick
{

/// Records which agents leave probes unanswered, until they send a message.
///
/// The agents of a data centre without power leave the probes of every flow unanswered; they are probed at a low rate, for
/// all flows together. An agent that is restarted does so for a short time, and its target may hold flows.
class SilentAgents
{
public:
    /// Builds a record without silent agents.
    explicit SilentAgents(const SilentAgentsSettings &settings);

    /// Whether a probe may be sent to the agent now; if so, it counts as sent.
    bool admitProbe(TimePoint now, const Endpoint &agent);

    /// A probe is sent to the agent, whether or not it is silent.
    void recordProbe(TimePoint now, const Endpoint &agent);

    /// Whether the agent has left probes unanswered for so long that it is not being restarted. Valid for an agent that has
    /// just been probed and had time to answer.
    bool isGone(TimePoint now, const Endpoint &agent) const;

    /// The agent has sent a message; returns whether probes to it have been held back.
    bool onMessage(const Endpoint &agent);

private:
    struct Silence
    {
        /// When the first probe was sent that the agent has not answered; the later ones follow without a long pause.
        TimePoint begin;
        TimePoint latestProbe;
        bool hasHeldBack = false;
    };

    SilentAgentsSettings m_settings;
    std::unordered_map<Endpoint, Silence> m_silences;
};

}
