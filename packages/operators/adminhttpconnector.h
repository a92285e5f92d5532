#pragma once

#include "core/endpoint.h"

#include <jsonrpccpp/server/abstractserverconnector.h>

#include <QString>

#include <string>

struct MHD_Daemon;

namespace Rattanpick
{

/// Takes JSON-RPC requests over HTTP POST at one IPv4 address.
///
/// The connector of libjsonrpccpp listens on all addresses of the machine, so this one uses libmicrohttpd directly.
class AdminHttpConnector : public jsonrpc::AbstractServerConnector
{
public:
    /// Builds a connector that does not listen yet; port 0 lets the system choose one.
    explicit AdminHttpConnector(const Endpoint &listen);
    ~AdminHttpConnector() override;

    AdminHttpConnector(const AdminHttpConnector &) = delete;
    AdminHttpConnector &operator=(const AdminHttpConnector &) = delete;

    /// Opens the socket and starts the thread of the server; false with lastError() if the address cannot be used.
    bool StartListening() override;

    /// Closes the socket after the requests in progress; false if it was not open.
    bool StopListening() override;

    /// Stores the response in the std::string at @p responseText.
    bool SendResponse(const std::string &response, void *responseText) override;

    /// Where the connector listens, with the port that the system chose.
    Endpoint endpoint() const
    {
        return m_endpoint;
    }

    /// Why the latest StartListening() failed.
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
