#pragma once

#include "caller/callermessage.h"
#include "core/flowkey.h"
#include "proof/fakecallersettings.h"
#include "proof/history.h"

#include <functional>
#include <memory>
#include <vector>

namespace Rattanpick::Proof
{

/// Time that a caller waited for a reply, and when the wait ended.
struct CallerLatency
{
    VirtualTime endedAt{};
    Duration duration{};
};

/// Counts of a caller's flows and requests by result.
struct CallerCounts
{
    quint64 openedFlows = 0;
    quint64 refusedFlows = 0;
    quint64 brokenFlows = 0;
    quint64 sentRequests = 0;
    quint64 answeredRequests = 0;
    quint64 notRunRequests = 0;
    quint64 unknownRequests = 0;
};

/// A simulated caller that keeps one flow open through CallerSession, sends requests and data, and records the results.
class FakeCaller
{
public:
    /// Sends a packet through the fabric.
    using Send = std::function<void(const FlowKey &flow, const CallerMessage &message)>;

    /// Creates a caller without a flow.
    FakeCaller(const FakeCallerSettings &settings, History &history, Send send);
    ~FakeCaller();

    FakeCaller(const FakeCaller &) = delete;
    FakeCaller &operator=(const FakeCaller &) = delete;

    /// Opens the first flow.
    void start(TimePoint now);

    /// Handles a packet of the service.
    void onMessage(TimePoint now, const FlowKey &flow, const CallerMessage &message);

    /// Handles timeouts and sends what is due; to be called every 10 ms.
    void onTick(TimePoint now);

    /// Stops sending requests and opening flows.
    void stopRequests();

    /// Sends data on the flow to check that it is acknowledged.
    void beginCheck(TimePoint now);

    /// Records the flow as broken unless the data of beginCheck() has been acknowledged.
    void endCheck(TimePoint now);

    /// Totals since the start.
    const CallerCounts &counts() const;

    /// Times from sending data to its acknowledgement.
    const std::vector<CallerLatency> &dataLatencies() const;

    /// Times from opening a flow to its confirmation.
    const std::vector<CallerLatency> &openLatencies() const;

    /// Times from sending a request to its answer; zero for requests that ended without an answer.
    const std::vector<CallerLatency> &requestLatencies() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
