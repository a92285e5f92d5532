#pragma once

#include "rattanpickd/wakeup.h"

#include "core/boundedring.h"

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

namespace Rattanpick
{

/// Makes blocking calls on behalf of another worker, in a thread of its own; results come in the order of the jobs.
template <typename Job, typename Result>
class CallWorker
{
public:
    /// Executes one job and blocks until its result is there.
    using Call = std::function<Result(const Job &)>;

    /// Starts the thread. @p makeCall runs in it, so that objects owned by the call are created and destroyed in that
    /// thread; @p owner is notified after each result.
    CallWorker(std::function<Call()> makeCall, Wakeup &owner)
        : m_makeCall(std::move(makeCall))
        , m_owner(owner)
        , m_thread([this] { run(); })
    {
    }

    /// Waits for the call in progress and joins the thread.
    ~CallWorker()
    {
        m_isTerminating = true;
        m_wakeup.notify();
        m_thread.join();
    }

    CallWorker(const CallWorker &) = delete;
    CallWorker &operator=(const CallWorker &) = delete;

    /// Queues a job; false if too many jobs are pending.
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
    std::optional<Result> takeResult()
    {
        std::optional<Result> result = m_results.pop();
        m_pending -= result.has_value() ? 1 : 0;
        return result;
    }

    /// The number of jobs whose results have not been taken.
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
        while (!m_isTerminating) {
            m_wakeup.arm();
            std::optional<Job> job = m_jobs.pop();
            if (!job) {
                m_wakeup.wait(waitLimit);
                continue;
            }
            // start() limits the jobs without a taken result to the ring size, so this ring always has room.
            m_results.push(call(*job));
            m_owner.notify();
        }
    }

    std::function<Call()> m_makeCall;
    Wakeup &m_owner;
    Wakeup m_wakeup;
    BoundedRing<Job> m_jobs{ringSize};
    BoundedRing<Result> m_results{2 * ringSize};
    std::atomic<bool> m_isTerminating = false;
    int m_pending = 0;
    std::thread m_thread;
};

}
