#include "operators/adminserver.h"

#include "operators/adminhttpconnector.h"
#include "operators/adminjson.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>

#include <QJsonArray>

namespace Rattanpick
{

namespace
{

// JSON-RPC 2.0 reserves -32000 to -32099 for errors defined by the server; -32602 is its code for invalid parameters.
constexpr int methodNotSupportedCode = -32010;
constexpr int documentUnavailableCode = -32011;
constexpr int invalidParameterCode = -32602;

quint64 numberParameter(const Json::Value &parameters, const char *name, int base)
{
    bool isNumber = false;
    const quint64 number = QString::fromStdString(parameters[name].asString()).toULongLong(&isNumber, base);
    if (!isNumber) {
        throw jsonrpc::JsonRpcException(invalidParameterCode, std::string(name) + " is no number");
    }
    return number;
}

template <typename Handler>
const Handler &requireHandler(const Handler &handler)
{
    if (!handler) {
        throw jsonrpc::JsonRpcException(methodNotSupportedCode, "this process does not offer the method");
    }
    return handler;
}

}

class AdminServer::Methods : public jsonrpc::AbstractServer<AdminServer::Methods>
{
public:
    Methods(AdminHttpConnector &connector, const AdminHandlers &handlers)
        : jsonrpc::AbstractServer<Methods>(connector)
        , m_handlers(handlers)
    {
        using jsonrpc::JSON_OBJECT;
        using jsonrpc::JSON_STRING;
        using jsonrpc::PARAMS_BY_NAME;
        using jsonrpc::Procedure;
        bindAndAddMethod(Procedure("status", PARAMS_BY_NAME, JSON_OBJECT, nullptr), &Methods::status);
        bindAndAddMethod(Procedure("events", PARAMS_BY_NAME, JSON_OBJECT, "sinceLamport", JSON_STRING, nullptr), &Methods::events);
        bindAndAddMethod(Procedure("metrics", PARAMS_BY_NAME, JSON_OBJECT, nullptr), &Methods::metrics);
        bindAndAddMethod(Procedure("documentDelta", PARAMS_BY_NAME, JSON_STRING, "fromNumber", JSON_STRING, "fromDigest", JSON_STRING, nullptr),
                         &Methods::documentDelta);
    }

private:
    void status(const Json::Value & /*parameters*/, Json::Value &result)
    {
        result = toJsonValue(requireHandler(m_handlers.status)());
    }

    void events(const Json::Value &parameters, Json::Value &result)
    {
        result = toJsonValue(toJson(requireHandler(m_handlers.events)(numberParameter(parameters, "sinceLamport", 10))));
    }

    void metrics(const Json::Value & /*parameters*/, Json::Value &result)
    {
        result = toJsonValue(requireHandler(m_handlers.metrics)());
    }

    void documentDelta(const Json::Value &parameters, Json::Value &result)
    {
        const ConfigurationVersion from{numberParameter(parameters, "fromNumber", 10), numberParameter(parameters, "fromDigest", 16)};
        const std::optional<QByteArray> delta = requireHandler(m_handlers.documentDelta)(from);
        if (!delta.has_value()) {
            throw jsonrpc::JsonRpcException(documentUnavailableCode, "no document is in force or the version is unknown");
        }
        result = delta->toBase64().toStdString();
    }

    AdminHandlers m_handlers;
};

AdminServer::AdminServer(const Endpoint &listen, const AdminHandlers &handlers)
    : m_connector(std::make_unique<AdminHttpConnector>(listen))
    , m_methods(std::make_unique<Methods>(*m_connector, handlers))
{
}

AdminServer::~AdminServer()
{
    stop();
}

bool AdminServer::start()
{
    return m_connector->StartListening();
}

void AdminServer::stop()
{
    m_connector->StopListening();
}

Endpoint AdminServer::endpoint() const
{
    return m_connector->endpoint();
}

QString AdminServer::lastError() const
{
    return m_connector->lastError();
}
}
