#pragma once

// Included by a file that is compiled as C++14, so this header keeps to that.

#include <json/value.h>

#include <string>

namespace Apricothook {

enum class OperatorCallEnd { Answered, Unreachable, Refused, Malformed };

/** The outcome of one JSON-RPC call. */
struct OperatorCall
{
    OperatorCallEnd end;
    /** Of an answered call. */
    Json::Value result;
    /** Of any other. */
    std::string detail;
};

/** Calls a JSON-RPC 2.0 method over HTTP. */
OperatorCall callOperator(const std::string &url, const std::string &method,
                          const Json::Value &parameters, long timeoutMilliseconds);

} // namespace Apricothook
