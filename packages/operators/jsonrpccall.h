#pragma once

#include <string>

namespace Rattanpick
{

/// The result of one JSON-RPC call: either a result or an error.
struct JsonRpcResult
{
    /// The result as JSON text; empty if the call failed.
    std::string result;
    /// Why the call failed; empty if it did not.
    std::string error;
};

/// Calls a method by HTTP POST and waits for its result, at most @p timeoutMilliseconds.
///
/// @p parameters is the text of a JSON object. The header is plain C++14, because the client headers of libjsonrpccpp
/// use exception specifications that C++17 has removed.
JsonRpcResult callJsonRpc(const std::string &url, const std::string &method, const std::string &parameters, long timeoutMilliseconds);

}
