#pragma once

#include "configservice/platformclient.h"

#include <memory>
#include <mutex>

namespace Rattanpick
{

/// Lets one thread cancel the calls of a platform client that another thread creates, uses and destroys.
class PlatformClientHandle
{
public:
    /// Creates the client. The returned pointer must be released in the same thread.
    std::shared_ptr<PlatformClient> make(const PlatformClientSettings &settings)
    {
        auto *client = new PlatformClient(settings);
        const std::scoped_lock lock(m_mutex);
        m_client = client;
        if (m_isCancelled) {
            client->cancel();
        }
        return {client, [this](PlatformClient *released) {
                    {
                        const std::scoped_lock releaseLock(m_mutex);
                        m_client = nullptr;
                    }
                    delete released;
                }};
    }

    /// Makes the call in progress and all later calls fail.
    void cancel()
    {
        const std::scoped_lock lock(m_mutex);
        m_isCancelled = true;
        if (m_client != nullptr) {
            m_client->cancel();
        }
    }

private:
    std::mutex m_mutex;
    PlatformClient *m_client = nullptr;
    bool m_isCancelled = false;
};

}
