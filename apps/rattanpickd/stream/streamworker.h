#pragma once

#include "rattanpickd/stream/streamcontext.h"

#include "fabric/connectionprobe.h"
#include "fabric/udpsocket.h"
#include "stream/freshnessmonitor.h"
#include "stream/peerformats.h"
#include "stream/streamagentsettings.h"
#include "stream/streamdecisions.h"

#include <array>
#include <memory>

namespace Rattanpick
{

/// Receives, decides and sends in one thread.
///
/// The machines of balancers have a few hundredths of a core, where passing a packet between threads costs more than
/// the decision about it.
class StreamWorker
{
public:
    /// @p context must outlive the worker; @p adjustAgent may be null.
    StreamWorker(StreamContext &context, void (*adjustAgent)(StreamAgentSettings &settings));

    /// Binds the sockets; false, with lastError() set, if an address cannot be used.
    bool bind();

    /// Runs until a planned stop is complete.
    void run();

    /// Why bind() failed.
    const QString &lastError() const
    {
        return m_lastError;
    }

private:
    void step(bool hasMessages, bool hasPackets);
    void applyChanges(TimePoint now);
    void record(const DirectoryPosition &position, const DirectoryChange &change);
    void updateFreshness(TimePoint now);
    void checkDirectoryAge(TimePoint now);
    void requestChanges();
    void requestFullRead();
    void recordTargetSummary(const DirectoryBatch &batch);
    void receiveMessages(TimePoint now);
    void receivePackets(TimePoint now);
    void discardAfterPause(TimePoint now);
    void executeActions(TimePoint now);
    void queueMessage(TimePoint now, const SendStreamMessage &action);
    void flush(UdpSocket &socket, std::vector<OutgoingDatagram> &datagrams);
    Duration timeToNextDeadline(TimePoint now) const;

    StreamContext &m_context;
    std::unique_ptr<StreamDecisions> m_decisions;
    FreshnessMonitor m_freshness;
    PeerFormats m_peerFormats;
    UdpSocket m_messages;
    /// Socket for packets of callers (balancers) or of the target (agents).
    UdpSocket m_packets;
    ConnectionProbe m_targetProbe;
    StreamActions m_actions;
    std::vector<OutgoingDatagram> m_outgoingMessages;
    std::vector<OutgoingDatagram> m_outgoingPackets;
    TimePoint m_latestStep;
    TimePoint m_tickDeadline{};
    bool m_isStopNoticed = false;
    /// Whether this process or a peer has verified the directory within outdatedAge.
    bool m_isDirectoryCurrent = false;
    QString m_lastError;
    Counter &m_receivedMessages;
    Counter &m_receivedPackets;
    Counter &m_malformedMessages;
    Counter &m_discarded;
    Counter &m_sendFailures;
    std::array<Histogram *, static_cast<std::size_t>(StreamTimer::Count)> m_timers{};
};

}
