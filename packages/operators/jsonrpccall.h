#pragma once

#include <string>

namespace Rattanpick
{

/// The outcome of one JSON-RPC call: either a result or an error.
struct JsonRpcResult
{
    /// The result as JSON text; empty if the call failed.
    std::string result;
    /// The error message; empty if the call succeeded.
    std::string error;
};

/// Calls a method by HTTP POST and waits for its result for at most @p timeoutMilliseconds.
///
/// @p parameters is a JSON object as text. This header must compile as C++14, because the client headers of
/// libjsonrpccpp use exception specifications that C++17 has removed.
JsonRpcResult callJsonRpc(const std::string &url, const std::string &method, const std::string &parameters, long timeoutMilliseconds);

}
