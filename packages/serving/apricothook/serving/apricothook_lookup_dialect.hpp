#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/serving/apricothook_small_http_server.hpp>

#include <chrono>
#include <optional>
#include <vector>

namespace Apricothook {

/** Where a caller that asks for addresses is. */
struct LookupQuestion
{
    RegionId region;
    DataCentreId dataCentre;

    auto operator<=>(const LookupQuestion &) const = default;
};

/** Addresses that a caller may connect to, and how long it may keep them. */
struct LookupEntries
{
    std::vector<Endpoint> entries;
    std::chrono::seconds keep {};

    auto operator<=>(const LookupEntries &) const = default;
};

/** How lookups and readiness are asked and answered, behind one interface. */
class LookupDialect
{
public:
    virtual ~LookupDialect() = default;
    /** Nothing when the request isn't a lookup. */
    virtual std::optional<LookupQuestion> question(const RequestHead &request) const = 0;
    virtual SmallAnswer answer(const LookupEntries &answer) const = 0;
    virtual bool asksReadiness(const RequestHead &request) const = 0;
};

} // namespace Apricothook
