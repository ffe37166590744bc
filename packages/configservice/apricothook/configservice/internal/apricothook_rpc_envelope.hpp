#pragma once

#include <json/value.h>

#include <string>

namespace Apricothook {

/** Carries the bytes of a JSON-RPC call to a member and brings the answer's. */
class RpcCarrier
{
public:
    virtual ~RpcCarrier() = default;
    /** False when no answer came. */
    virtual bool carry(const std::string &call, std::string &answer) = 0;
};

/**
 * Makes one JSON-RPC 2.0 call through libjsonrpccpp; false when it fails in any way. Declared in
 * the C++ of 2014, as its source is compiled so: the library's client headers need that.
 */
bool callRpc(RpcCarrier &carrier, const std::string &method, const Json::Value &parameters,
             Json::Value &result);

} // namespace Apricothook
