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

/// How long one thing took that a caller waited for, and when it ended.
struct CallerWait
{
    Moment endedAt{};
    Duration took{};
};

/// What became of a caller's flows and requests.
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

/// A caller that keeps one flow open through CallerSession, sends requests and data, and records what it sees.
class FakeCaller
{
public:
    /// Hands a packet to the fabric.
    using Send = std::function<void(const FlowKey &flow, const CallerMessage &message)>;

    /// Builds a caller without a flow.
    FakeCaller(const FakeCallerSettings &settings, History &history, Send send);
    ~FakeCaller();

    FakeCaller(const FakeCaller &) = delete;
    FakeCaller &operator=(const FakeCaller &) = delete;

    /// Opens the first flow.
    void start(TimePoint now);

    /// A packet from the system.
    void onMessage(TimePoint now, const FlowKey &flow, const CallerMessage &message);

    /// Passes time; to be called every 10 ms.
    void onTick(TimePoint now);

    /// Sends no more requests and opens no more flows.
    void stopRequests();

    /// Starts to check that the flow answers.
    void beginCheck(TimePoint now);

    /// Records the flow as broken if nothing has answered since beginCheck().
    void endCheck(TimePoint now);

    /// Totals since the start.
    const CallerCounts &counts() const;

    /// Times from the sending of data to its acknowledgement.
    const std::vector<CallerWait> &dataWaits() const;

    /// Times from the opening of a flow to its confirmation.
    const std::vector<CallerWait> &openWaits() const;

    /// Ends of requests: when, and whether they were answered (as the wait's duration; zero if not).
    const std::vector<CallerWait> &requestWaits() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
