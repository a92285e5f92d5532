#pragma once

#include "rattanpickd/stream/streamcontext.h"

#include "fabric/connectionprobe.h"
#include "fabric/udpsocket.h"
#include "stream/freshnessguard.h"
#include "stream/streamagentsettings.h"
#include "stream/streamdecisions.h"

#include <array>
#include <memory>

namespace Rattanpick
{

/// Receives, decides and sends in one thread.
///
/// The machines of balancers have a few hundredths of a core, where handing a packet from thread to thread costs more
/// than deciding about it.
class StreamWorker
{
public:
    /// Builds the duty; the context must outlive it.
    StreamWorker(StreamContext &context, void (*adjustAgent)(StreamAgentSettings &settings));

    /// Binds the sockets; false with lastError() if an address cannot be used.
    bool bind();

    /// Works until a planned stop has ended.
    void run();

    /// Why bind() failed.
    const QString &lastError() const
    {
        return m_lastError;
    }

private:
    void step(bool hasMessages, bool hasPackets);
    void takeChanges(TimePoint now);
    void record(quint64 revision, const DirectoryChange &change);
    void keepFresh(TimePoint now);
    void judgeSource(TimePoint now);
    void fetch();
    void readAgain();
    void recordListed(const DirectoryBatch &batch);
    void receiveMessages(TimePoint now);
    void receivePackets(TimePoint now);
    void discardAfterPause(TimePoint now);
    void carryOut(TimePoint now);
    void queueMessage(TimePoint now, const SendStreamMessage &action);
    void flush(UdpSocket &socket, std::vector<OutgoingDatagram> &datagrams);
    Duration timeToNext(TimePoint now) const;

    StreamContext &m_context;
    std::unique_ptr<StreamDecisions> m_decisions;
    FreshnessGuard m_freshness;
    UdpSocket m_messages;
    /// Packets of callers (balancers) or of the target (agents).
    UdpSocket m_packets;
    ConnectionProbe m_targetProbe;
    StreamActions m_actions;
    std::vector<OutgoingDatagram> m_outgoingMessages;
    std::vector<OutgoingDatagram> m_outgoingPackets;
    TimePoint m_latestStep;
    TimePoint m_tickDeadline{};
    bool m_isStopNoticed = false;
    /// Whether somebody could verify the directory lately.
    bool m_isCurrent = false;
    QString m_lastError;
    Counter &m_receivedMessages;
    Counter &m_receivedPackets;
    Counter &m_malformedMessages;
    Counter &m_discarded;
    Counter &m_sendFailures;
    std::array<Histogram *, static_cast<std::size_t>(StreamTimer::Count)> m_timers{};
};

}
