#pragma once

#include "core/endpoint.h"
#include "operators/adminhandlers.h"

#include <QString>

#include <memory>

namespace Rattanpick
{

class AdminHttpConnector;

/// The admin interface of a process: JSON-RPC 2.0 over HTTP with the methods status, events, metrics and documentDelta.
///
/// 64-bit numbers are sent as strings, since many JSON parsers round them. The server runs in a thread of its own.
class AdminServer
{
public:
    /// Creates a server for one address that does not listen yet. With port 0, the system chooses a port.
    AdminServer(const Endpoint &listen, const AdminHandlers &handlers);
    /// Stops the server.
    ~AdminServer();

    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// Starts the server. Returns false and sets lastError() if it cannot listen on the address.
    bool start();

    /// Stops the server after the requests in progress have finished. No handler is called afterwards.
    void stop();

    /// The address and port on which the server listens, including a port chosen by the system.
    Endpoint endpoint() const;

    /// The error message of the last failed start().
    QString lastError() const;

private:
    class Methods;
    std::unique_ptr<AdminHttpConnector> m_connector;
    std::unique_ptr<Methods> m_methods;
};

}
