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
/// 64-bit numbers are strings on the wire, since many JSON readers round them. The server has a thread of its own.
class AdminServer
{
public:
    /// Builds a server for one address that does not listen yet; port 0 lets the system choose one.
    AdminServer(const Endpoint &listen, const AdminHandlers &handlers);
    /// Stops the server.
    ~AdminServer();

    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// Starts to answer; false with lastError() if the address cannot be used.
    bool start();

    /// Stops after the requests in progress; no handler is called afterwards.
    void stop();

    /// Where the server listens, with the port that the system chose.
    Endpoint endpoint() const;

    /// Why the latest start() failed.
    QString lastError() const;

private:
    class Methods;
    std::unique_ptr<AdminHttpConnector> m_connector;
    std::unique_ptr<Methods> m_methods;
};

}
