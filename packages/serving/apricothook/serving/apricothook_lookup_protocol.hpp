#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/serving/apricothook_simple_http_server.hpp>

#include <chrono>
#include <optional>
#include <vector>

namespace Apricothook {

/** Location of a caller that requests addresses. */
struct LookupRequest
{
    RegionId region;
    DataCentreId dataCentre;

    auto operator<=>(const LookupRequest &) const = default;
};

/** Addresses that a caller may connect to, and how long it may keep them. */
struct LookupEntries
{
    std::vector<Endpoint> addresses;
    std::chrono::seconds ttl {};

    auto operator<=>(const LookupEntries &) const = default;
};

/** Interface that parses lookup and readiness requests and formats lookup responses. */
class LookupProtocol
{
public:
    virtual ~LookupProtocol() = default;
    /** Nothing when the request isn't a lookup. */
    virtual std::optional<LookupRequest> parseLookup(const RequestHead &request) const = 0;
    virtual SimpleHttpResponse lookupResponse(const LookupEntries &result) const = 0;
    virtual bool isReadinessRequest(const RequestHead &request) const = 0;
};

} // namespace Apricothook
