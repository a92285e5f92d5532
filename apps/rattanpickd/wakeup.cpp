#include "wakeup.h"

#include "core/assertion.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

namespace Rattanpick
{

Wakeup::Wakeup()
    : m_descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    RP_ASSERT(m_descriptor >= 0);
}

Wakeup::~Wakeup()
{
    ::close(m_descriptor);
}

void Wakeup::notify()
{
    // Orders the push before the load of the flag. Together with the fence in arm(), either the worker sees the
    // element or this thread sees the flag.
    std::atomic_thread_fence(std::memory_order_seq_cst);
    if (m_isArmed.load(std::memory_order_relaxed) && m_isArmed.exchange(false)) {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = ::write(m_descriptor, &one, sizeof(one));
    }
}

void Wakeup::arm()
{
    m_isArmed.store(true, std::memory_order_relaxed);
    std::atomic_thread_fence(std::memory_order_seq_cst);
}

void Wakeup::disarm()
{
    // A cleared flag means that notify() has written to the descriptor or is about to.
    if (!m_isArmed.exchange(false)) {
        drain();
    }
}

void Wakeup::notifyFromSignal()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(m_descriptor, &one, sizeof(one));
}

void Wakeup::wait(Duration limit)
{
    pollfd descriptor{m_descriptor, POLLIN, 0};
    ::poll(&descriptor, 1, static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(limit).count()));
    m_isArmed.store(false, std::memory_order_relaxed);
    drain();
}

void Wakeup::drain()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto size = ::read(m_descriptor, &count, sizeof(count));
}

}
