#pragma once

#include "rattanpickd/wakeup.h"

#include "core/boundedring.h"

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

namespace Rattanpick
{

/// Makes blocking calls for a duty in a thread of its own: jobs in, results out, in order.
template <typename Job, typename Result>
class CallWorker
{
public:
    /// Makes one call.
    using Call = std::function<Result(const Job &)>;

    /// Starts the thread. @p makeCall runs in it, so that what the call owns lives and ends in that thread;
    /// @p owner is woken after each result.
    CallWorker(std::function<Call()> makeCall, Wakeup &owner)
        : m_makeCall(std::move(makeCall))
        , m_owner(owner)
        , m_thread([this] { run(); })
    {
    }

    /// Waits for the call in progress.
    ~CallWorker()
    {
        m_isEnding = true;
        m_wakeup.notify();
        m_thread.join();
    }

    CallWorker(const CallWorker &) = delete;
    CallWorker &operator=(const CallWorker &) = delete;

    /// Hands over a job; false if too many wait.
    bool start(Job job)
    {
        if (m_pending >= static_cast<int>(ringSize) || !m_jobs.push(std::move(job))) {
            return false;
        }
        ++m_pending;
        m_wakeup.notify();
        return true;
    }

    /// The next result, if any.
    std::optional<Result> take()
    {
        std::optional<Result> result = m_results.pop();
        m_pending -= result.has_value() ? 1 : 0;
        return result;
    }

    /// Jobs whose results have not been taken.
    int pending() const
    {
        return m_pending;
    }

private:
    static constexpr std::size_t ringSize = 16;
    static constexpr Duration waitLimit = 100ms;

    void run()
    {
        const Call call = m_makeCall();
        while (!m_isEnding) {
            m_wakeup.arm();
            std::optional<Job> job = m_jobs.pop();
            if (!job) {
                m_wakeup.wait(waitLimit);
                continue;
            }
            // There are never more results than jobs handed over, so the ring of the same size has room.
            m_results.push(call(*job));
            m_owner.notify();
        }
    }

    std::function<Call()> m_makeCall;
    Wakeup &m_owner;
    Wakeup m_wakeup;
    BoundedRing<Job> m_jobs{ringSize};
    BoundedRing<Result> m_results{2 * ringSize};
    std::atomic<bool> m_isEnding = false;
    int m_pending = 0;
    std::thread m_thread;
};

}
