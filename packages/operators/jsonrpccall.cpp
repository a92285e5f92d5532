#include "operators/jsonrpccall.h"

#include <jsoncpp/json/reader.h>
#include <jsoncpp/json/writer.h>
#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

#include <exception>
#include <memory>

namespace Rattanpick
{

namespace
{

Json::Value parseObject(const std::string &text)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value(Json::objectValue);
    reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return value;
}

std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

}

JsonRpcResult callJsonRpc(const std::string &url, const std::string &method, const std::string &parameters, long timeoutMilliseconds)
{
    JsonRpcResult outcome;
    try {
        jsonrpc::HttpClient connector(url);
        connector.SetTimeout(timeoutMilliseconds);
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        outcome.result = toText(client.CallMethod(method, parseObject(parameters)));
    } catch (const std::exception &exception) {
        outcome.error = exception.what();
    }
    return outcome;
}

}
