#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_refusal.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace Apricothook {

struct EntriesRoute
{
    auto operator<=>(const EntriesRoute &) const = default;
};

struct OperatorRoute
{
    auto operator<=>(const OperatorRoute &) const = default;
};

struct KeyRoute
{
    RequestKey key;
    auto operator<=>(const KeyRoute &) const = default;
};

struct ServiceRoute
{
    ServiceId service;
    /** Path and query below the service as the caller wrote them, starting with '/'. */
    std::string path;
    auto operator<=>(const ServiceRoute &) const = default;
};

/** What a request line asks for. */
using Route = std::variant<EntriesRoute, OperatorRoute, KeyRoute, ServiceRoute>;

/** `uri` is the request target as it was sent. */
Result<Route, RefusalReason> parseRoute(std::string_view method, std::string_view uri);

/** 1..MaximumKeyBytes bytes of visible ASCII. */
bool isGoodKey(std::string_view key);

} // namespace Apricothook
