#pragma once

#include "core/identifiers.h"
#include "core/timepoint.h"
#include "stream/streamagentsettings.h"
#include "stream/targetdirectory.h"

#include <optional>

namespace Rattanpick
{

/// Decides whether the process of the local target is proven to be the one that its entry describes.
///
/// A target may start again under its name at any time, and its entry may be that of the process before for as long as the new one cannot
/// reach the source, or this agent cannot. A restart fits into each gap between two signs of life; proof ends there.
class TargetIdentity
{
public:
    /// Builds a record for an agent that starts now, without proof unless the whole system starts; both references must outlive it.
    TargetIdentity(const StreamAgentSettings &settings, const TargetDirectory &directory, TimePoint now);

    // Input

    /// The directory was read completely, from the source or from a peer.
    void onDirectoryRead(bool isFromSource);

    /// A packet of the target, or a connection that it has accepted, shows that a process runs.
    void onSign(TimePoint now);

    /// The target has sent a packet of a flow that it has held since the time; TimePoint{} stands for before this agent has started.
    void onHeldFlow(TimePoint now, TimePoint heldSince);

    /// The target has lost a flow, as by a restart, or by a time-out of its own.
    void onLostFlow(TimePoint now);

    /// The process has ended.
    void onEnded();

    /// Another process has started.
    void onStarted(TimePoint now);

    // Decision

    /// Whether the entry @p own describes the process that runs, or one for which it makes no difference: it has run for @p coldTime, after
    /// which no target is cold.
    bool isProven(TimePoint now, const TargetDirectory::Entry &own, Duration coldTime);

private:
    void endProof(std::optional<TimePoint> provenUntil);

    const StreamAgentSettings &m_settings;
    const TargetDirectory &m_directory;
    bool m_hasRead = false;
    bool m_hasReadSource = false;
    /// The entry of the process that was proven last; without proof, the entry that may describe an earlier one.
    std::optional<Incarnation> m_entry;
    /// Until when the process is proven to have run; empty without proof.
    std::optional<TimePoint> m_provenAt;
    /// Without proof: a flow that was held by this time proves that the process has not changed. Empty if it is known to have changed.
    std::optional<TimePoint> m_flowProofLimit;
    /// Without proof: the first sign of the process that runs now.
    std::optional<TimePoint> m_firstSign;
    TimePoint m_latestSign{};
};

}
