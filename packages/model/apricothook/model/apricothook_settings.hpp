#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Apricothook {

/** What one daemon process learns from its settings file. */
struct Settings
{
    MemberId id;
    VmId vm;
    DataCentreId dataCentre;
    RegionId region;
    Endpoint callerAddress;
    /** UDP for messages and TCP for JSON-RPC, on the same number. */
    Endpoint peerAddress;
    Endpoint metricsAddress;
    Endpoint platformAddress;
    /** Peer addresses of daemons to join through; may name this daemon. */
    std::vector<Endpoint> seeds;
    /** File with one peer key per line, "NUMBER HEX"; the first signs, all are accepted. */
    std::string peerKeyFile;
    /** Empty: log to standard error. */
    std::string logFolder;
    int logLevel = 0;
    /** Most lines that one event number gets in a second; the others are counted. */
    std::uint32_t logLinesPerSecond = 20;
    /** Where this daemon listens for others; peerAddress unless addresses are translated. */
    Endpoint peerListenAddress;
    auto operator<=>(const Settings &) const = default;
};

} // namespace Apricothook
