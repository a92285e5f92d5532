#include "agent/peerview.h"

#include <algorithm>

namespace Rattanpick
{

// Observation

bool PeerView::onMessage(TimePoint now, const TunnelHeader &header)
{
    if (header.sender == TargetId{}) {
        return false;
    }
    Peer &peer = m_peers[static_cast<quint32>(header.sender)];
    const bool isNewIncarnation = peer.incarnation != header.senderIncarnation;
    if (isNewIncarnation) {
        // A restarted process may have an earlier version than its predecessor.
        peer.version = {};
    }
    peer.incarnation = header.senderIncarnation;
    peer.version = std::max(peer.version, header.version);
    peer.seenAt = now;
    peer.loadDeadline = now + loadLifetime;
    peer.askDeadline = now + loadRefresh;
    peer.loadPermille = header.loadPermille;
    peer.isSettled = (header.flags & TunnelHeader::recoveryFlag) == 0;
    return isNewIncarnation;
}

void PeerView::setListedLive(TargetId target, bool isLive)
{
    m_peers[static_cast<quint32>(target)].isListedGone = !isLive;
}

bool PeerView::setSuspected(TargetId target, bool isSuspected)
{
    Peer &peer = m_peers[static_cast<quint32>(target)];
    const bool isChange = peer.isSuspected != isSuspected;
    peer.isSuspected = isSuspected;
    return isChange;
}

void PeerView::setLoadAsked(TimePoint now, TargetId target)
{
    m_peers[static_cast<quint32>(target)].askDeadline = now + loadRefresh;
}

void PeerView::addExpectedLoad(TargetId target, int permille)
{
    m_peers[static_cast<quint32>(target)].loadPermille += permille;
}

// Queries

ConfigurationVersion PeerView::versionOf(TargetId target) const
{
    const Peer *peer = find(target);
    return peer ? peer->version : ConfigurationVersion{};
}

bool PeerView::hasReached(TargetId target, const ConfigurationVersion &version) const
{
    return versionOf(target) >= version;
}

std::optional<int> PeerView::loadOf(TimePoint now, TargetId target) const
{
    const Peer *peer = find(target);
    if (!peer || !peer->loadDeadline || now > *peer->loadDeadline) {
        return std::nullopt;
    }
    return peer->loadPermille;
}

bool PeerView::needsLoad(TimePoint now, TargetId target) const
{
    const Peer *peer = find(target);
    return !peer || !peer->askDeadline || now >= *peer->askDeadline;
}

Incarnation PeerView::incarnationOf(TargetId target) const
{
    const Peer *peer = find(target);
    return peer ? peer->incarnation : Incarnation{};
}

bool PeerView::isSettled(TargetId target) const
{
    const Peer *peer = find(target);
    return peer && peer->isSettled;
}

bool PeerView::isSuspected(TargetId target) const
{
    const Peer *peer = find(target);
    return peer && peer->isSuspected;
}

bool PeerView::isListedGone(TargetId target) const
{
    const Peer *peer = find(target);
    return peer && peer->isListedGone;
}

bool PeerView::wasSeenAfter(TargetId target, TimePoint time) const
{
    const Peer *peer = find(target);
    return peer && peer->seenAt && *peer->seenAt > time;
}

const PeerView::Peer *PeerView::find(TargetId target) const
{
    const auto found = m_peers.find(static_cast<quint32>(target));
    return found != m_peers.end() ? &found->second : nullptr;
}

}
