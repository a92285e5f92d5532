#pragma once

#include "core/timepoint.h"

#include <atomic>

namespace Rattanpick
{

/// Wakes one duty that waits for its rings to fill; any number of other duties may notify it.
class Wakeup
{
public:
    /// Builds a wake-up with an event descriptor of its own.
    Wakeup();
    ~Wakeup();

    Wakeup(const Wakeup &) = delete;
    Wakeup &operator=(const Wakeup &) = delete;

    /// Wakes the duty if it waits or is about to; costs no system call otherwise.
    void notify();

    /// Announces that the duty will wait unless its rings, which it has to look at once more, hold something.
    void arm();

    /// Ends the wait after arm(); for duties that wait for the descriptor together with others.
    void disarm();

    /// Readable after notify(); for poll().
    int descriptor() const
    {
        return m_descriptor;
    }

    /// Wakes the duty whether it waits or not; may be called from a signal handler.
    void notifyFromSignal();

    /// Waits for notify() after arm(), or for @p limit.
    void wait(Duration limit);

private:
    void drain();

    int m_descriptor = -1;
    std::atomic<bool> m_isArmed = false;
};

}
