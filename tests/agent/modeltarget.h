#pragma once

#include <agent/targetmessage.h>
#include <core/timepoint.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <tuple>
#include <vector>

namespace Rattanpick
{

/// Simulated target whose capacity is reduced while it is cold, and which counts the requests above its capacity.
class ModelTarget
{
public:
    struct Settings
    {
        quint32 slotCount = 2;
        Duration serviceTime = 10ms;
        double coldShare = 0.1;
        Duration warmTime = 30s;
        /// Response time of a cold target, as a multiple of that of a warm one.
        double coldSlowdown = 2.5;
        /// Probabilities in percent, for randomised runs.
        int shedPercent = 0;
        int stuckPercent = 0;
        int lateStartPercent = 0;
    };

    using BegunHandler = std::function<void(const TargetRequest &)>;

    ModelTarget(const Settings &settings, quint64 seed, TimePoint now)
        : m_settings(settings)
        , m_random(seed)
        , m_coldSince(now)
        , m_drainedAt(now)
    {
    }

    /// Sets a handler that is called whenever a request begins to run.
    void setBegunHandler(const BegunHandler &handler)
    {
        m_onBegun = handler;
    }

    void onCommand(TimePoint now, const TargetCommand &command)
    {
        if (const auto *const request = std::get_if<TargetRequest>(&command)) {
            take(now, *request);
        } else if (const auto *const cancel = std::get_if<TargetCancel>(&command)) {
            stop(*cancel);
        }
    }

    /// Advances the time and returns the replies since the previous call.
    std::vector<TargetReplyBody> advance(TimePoint now)
    {
        for (Work &work : m_works) {
            if (!work.hasBegun && work.beginAt <= now) {
                begin(now, work);
            }
        }
        for (const Work &work : m_works) {
            if (work.hasBegun && work.endAt <= now) {
                answer(work);
            }
        }
        std::erase_if(m_works, [now](const Work &work) { return work.hasBegun && work.endAt <= now; });
        return std::exchange(m_replies, {});
    }

    /// Replaces the process: all state is lost, and the new process is cold.
    void restart(TimePoint now)
    {
        m_works.clear();
        m_replies.clear();
        m_cancelled.clear();
        turnCold(now);
        m_backlog = 0;
    }

    void turnCold(TimePoint now)
    {
        m_coldSince = now;
    }

    void resetLoad()
    {
        m_backlog = 0;
    }

    /// The number of requests that arrived above the capacity of the target.
    int overloads() const
    {
        return m_overloads;
    }

    double share(TimePoint now) const
    {
        const double warmed = std::chrono::duration<double>(now - m_coldSince) / std::chrono::duration<double>(m_settings.warmTime);
        return std::min(1.0, m_settings.coldShare + (1 - m_settings.coldShare) * warmed);
    }

    /// The answer to a request: a function of its body alone.
    static QByteArray answerTo(const QByteArray &body)
    {
        return "answer to " + body;
    }

private:
    struct Work
    {
        TargetRequest request;
        TimePoint beginAt{};
        TimePoint endAt{};
        bool hasBegun = false;
    };

    using Id = std::tuple<FlowKey, quint64, quint64>;

    bool happens(int percent)
    {
        return std::uniform_int_distribution<int>(0, 99)(m_random) < percent;
    }

    void take(TimePoint now, const TargetRequest &request)
    {
        if (m_cancelled.contains(Id{request.flow, request.nonce, request.number})) {
            return;
        }
        if (happens(m_settings.shedPercent)) {
            m_replies.push_back(TargetShed{request.flow, request.nonce, request.number});
            return;
        }
        Work work{request, now, {}, false};
        if (happens(m_settings.lateStartPercent)) {
            work.beginAt = now + std::chrono::milliseconds(std::uniform_int_distribution<int>(1, 400)(m_random));
        } else {
            begin(now, work);
        }
        m_works.push_back(work);
    }

    void begin(TimePoint now, Work &work)
    {
        work.hasBegun = true;
        const double slotCount = m_settings.slotCount;
        const double drained =
            std::chrono::duration<double>(now - m_drainedAt) / std::chrono::duration<double>(m_settings.serviceTime) * slotCount * share(now);
        m_backlog = std::max(0.0, m_backlog - drained) + 1;
        m_drainedAt = now;
        // One request above the share is tolerated, since service times vary.
        const bool isOverloaded = m_backlog > std::max(1.0, slotCount * share(now)) + 1;
        m_overloads += isOverloaded ? 1 : 0;
        const double slowdown = 1 + (m_settings.coldSlowdown - 1) * (1 - share(now)) / (1 - m_settings.coldShare);
        const double varied = std::uniform_real_distribution<double>(0.8, 1.2)(m_random) * slowdown * (isOverloaded ? 2 : 1);
        work.endAt = happens(m_settings.stuckPercent) ? now + 1h : now + std::chrono::duration_cast<Duration>(m_settings.serviceTime * varied);
        if (m_onBegun) {
            m_onBegun(work.request);
        }
    }

    void answer(const Work &work)
    {
        const QByteArray body = answerTo(work.request.body);
        const auto parts = static_cast<quint16>(1 + body.size() % 5);
        const qsizetype size = body.size() / parts + 1;
        std::vector<TargetReplyBody> replies;
        for (quint16 part = 0; part < parts; ++part) {
            const TargetAnswerPart reply{work.request.flow, work.request.nonce, work.request.number, part, parts, body.mid(part * size, size)};
            replies.insert(replies.end(), happens(10) ? 2 : 1, reply);
        }
        std::shuffle(replies.begin(), replies.end(), m_random);
        m_replies.insert(m_replies.end(), replies.begin(), replies.end());
    }

    void stop(const TargetCancel &cancel)
    {
        const auto isMeant = [&cancel](const Work &work) {
            return work.request.flow == cancel.flow && work.request.nonce == cancel.nonce && work.request.number == cancel.number;
        };
        const auto found = std::find_if(m_works.begin(), m_works.end(), isMeant);
        // Half of the running requests ignore the cancellation.
        if (found != m_works.end() && found->hasBegun && happens(50)) {
            return;
        }
        m_cancelled[Id{cancel.flow, cancel.nonce, cancel.number}] = true;
        if (found == m_works.end()) {
            return;
        }
        m_replies.push_back(TargetCancelled{cancel.flow, cancel.nonce, cancel.number, found->hasBegun});
        m_works.erase(found);
    }

    Settings m_settings;
    std::mt19937_64 m_random;
    BegunHandler m_onBegun;
    TimePoint m_coldSince;
    TimePoint m_drainedAt;
    /// Backlog of requests that have begun, in service times of one slot; drains at the permitted rate.
    double m_backlog = 0;
    int m_overloads = 0;
    std::vector<Work> m_works;
    std::vector<TargetReplyBody> m_replies;
    std::map<Id, bool> m_cancelled;
};

}
