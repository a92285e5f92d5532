#pragma once

#include "core/endpoint.h"

#include <jsonrpccpp/server/abstractserverconnector.h>

#include <QString>

#include <string>

struct MHD_Daemon;

namespace Rattanpick
{

/// Server connector that accepts JSON-RPC requests by HTTP POST on one IPv4 address.
///
/// The connector of libjsonrpccpp listens on all addresses of the machine. This one uses libmicrohttpd directly, so
/// that it can bind to a single address.
class AdminHttpConnector : public jsonrpc::AbstractServerConnector
{
public:
    /// Creates a connector that does not listen yet. With port 0, the system chooses a port.
    explicit AdminHttpConnector(const Endpoint &listen);
    ~AdminHttpConnector() override;

    AdminHttpConnector(const AdminHttpConnector &) = delete;
    AdminHttpConnector &operator=(const AdminHttpConnector &) = delete;

    /// Opens the socket and starts the server thread. Returns false and sets lastError() if it cannot listen.
    bool StartListening() override;

    /// Closes the socket after the requests in progress have finished. Returns false if it was not open.
    bool StopListening() override;

    /// Stores the response in the std::string at @p responseText.
    bool SendResponse(const std::string &response, void *responseText) override;

    /// The address and port on which the connector listens, including a port chosen by the system.
    Endpoint endpoint() const
    {
        return m_endpoint;
    }

    /// The error message of the last failed StartListening().
    QString lastError() const
    {
        return m_lastError;
    }

private:
    Endpoint m_endpoint;
    MHD_Daemon *m_daemon = nullptr;
    QString m_lastError;
};

}
