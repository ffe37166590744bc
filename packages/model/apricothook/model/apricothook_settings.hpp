#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Apricothook {

/** Contents of a daemon's settings file. */
struct Settings
{
    MemberId id;
    VmId vm;
    DataCentreId dataCentre;
    RegionId region;
    Endpoint callerAddress;
    /** Peer messages use UDP and JSON-RPC uses TCP, both on this port. */
    Endpoint peerAddress;
    Endpoint metricsAddress;
    Endpoint platformAddress;
    /** Peer addresses of the daemons to join through; may include this daemon. */
    std::vector<Endpoint> seeds;
    /** File with a peer key per line, "NUMBER HEX". The first key signs; all verify. */
    std::string peerKeyFile;
    /** Logs go to standard error if empty. */
    std::string logFolder;
    int logLevel = 0;
    /** Maximum log lines per event number and second; further ones are only counted. */
    std::uint32_t logLinesPerSecond = 20;
    /** Local address of the peer port; differs from peerAddress behind address translation. */
    Endpoint peerListenAddress;
    auto operator<=>(const Settings &) const = default;
};

} // namespace Apricothook
