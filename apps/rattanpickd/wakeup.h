#pragma once

#include "core/timepoint.h"

#include <atomic>

namespace Rattanpick
{

/// Wakes one worker thread that waits on its rings; any number of other threads may notify it.
class Wakeup
{
public:
    /// Creates the event descriptor.
    Wakeup();
    ~Wakeup();

    Wakeup(const Wakeup &) = delete;
    Wakeup &operator=(const Wakeup &) = delete;

    /// Wakes the worker if it waits or is about to wait; makes no system call otherwise.
    void notify();

    /// Announces that the worker is about to wait. It must check its rings once more after this call, before it waits.
    void arm();

    /// Ends the wait after arm(); for workers that poll descriptor() together with other descriptors.
    void disarm();

    /// Descriptor for poll(); readable after notify().
    int descriptor() const
    {
        return m_descriptor;
    }

    /// Wakes the worker whether it waits or not; async-signal-safe.
    void notifyFromSignal();

    /// Waits for notify() after arm(), for @p limit at most.
    void wait(Duration limit);

private:
    void drain();

    int m_descriptor = -1;
    std::atomic<bool> m_isArmed = false;
};

}
