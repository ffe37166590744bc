#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>

#include <string_view>
#include <vector>

namespace Apricothook {

/** A daemon that may connect this one to targets. */
struct RelayCandidate
{
    Endpoint address;
    DataCentreId dataCentre;

    auto operator<=>(const RelayCandidate &) const = default;
};

/** The other daemons, as far as connections through them need to know. */
class RelayPeers
{
public:
    virtual ~RelayPeers() = default;
    /** Live daemons that take connections for others. */
    virtual std::vector<RelayCandidate> candidates() const = 0;
    /** Whether a connection from the numeric address comes from a daemon of the fleet. */
    virtual bool isDaemon(std::string_view address) const = 0;
    /** Whether no other daemon is known, not even a silent one. */
    virtual bool isAlone() const = 0;
};

} // namespace Apricothook
