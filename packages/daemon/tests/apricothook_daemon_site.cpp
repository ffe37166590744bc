#include "apricothook_daemon_site.hpp"

namespace Apricothook {

namespace {

// SHA-256 of "token".
constexpr const char *TokenHash
    = "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0";

/** A port that nobody listens on now, for TCP and UDP. */
Endpoint freeAddress()
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    // A failure shows as port 0, which nothing can listen on.
    (void)::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    socklen_t length = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    ::close(socket);
    return {"127.0.0.1", ntohs(address.sin_port)};
}

Settings settingsOf(const PlatformStandIn &platform)
{
    Settings settings;
    settings.id = MemberId("entry-1");
    settings.vm = VmId("entry-vm-1");
    settings.dataCentre = DataCentreId("dc-1");
    settings.region = RegionId("r-1");
    settings.callerAddress = freeAddress();
    settings.peerAddress = freeAddress();
    settings.peerListenAddress = settings.peerAddress;
    settings.platformAddress = {"127.0.0.1", platform.port()};
    settings.seeds = {settings.peerAddress};
    return settings;
}

} // namespace

DaemonSite::DaemonSite(const EngineOptions &options)
    : engine(options)
    , settings(settingsOf(platform))
    , daemon(settings, {{1, std::string(32, 'k')}}, events, observer)
{
    platform.publish(fleetText());
}

std::string DaemonSite::start()
{
    const auto started = daemon.start();
    return started ? std::string() : std::string(nameOf(started.error()));
}

std::string DaemonSite::fleetText() const
{
    return R"({"policy": {"lookupKeepSeconds": 1},
        "dataCentres": [{"id": "dc-1", "region": "r-1"}],
        "roster": [{"id": "entry-1", "dataCentre": "dc-1"}],
        "models": [{"id": "m", "version": "1", "weightBytes": 1000}],
        "services": [{"id": "chat", "kind": "engine"}],
        "targets": [{"id": "e-1", "service": "chat", "address": "127.0.0.1:)"
        + std::to_string(engine.port()) + R"(", "vm": "runner-1", "dataCentre": "dc-1",
            "hardwareGeneration": "gen-1", "slots": 4, "kvTokens": 10000,
            "prefillTokensPerSecond": 8000, "decodeTokensPerSecond": 60, "models": ["m"]}],
        "customers": [{"id": "app", "keyHashes": [")"
        + std::string(TokenHash) + R"("], "requestsPerSecond": 100, "burst": 100, "weight": 1,
            "homeRegion": "r-1"}],
        "classes": [{"id": "chat", "tier": 1, "patienceSeconds": 30,
            "repeatability": "idempotent", "expectedTokens": 40}]})";
}

ClientAnswer DaemonSite::complete(const CompletionRequest &request, const std::string &key) const
{
    return callStandIn(settings.callerAddress.port, "POST", "/v1/services/chat/v1/completions",
                       completionBody(request),
                       "Authorization: Bearer token\r\nApricothook-Class: chat\r\n"
                       "Idempotency-Key: "
                           + key + "\r\n");
}

std::string DaemonSite::ticket() const
{
    const std::string entries = callStandIn(settings.callerAddress.port, "GET", "/v1/entries").body;
    const std::string name = "\"ticket\":\"";
    const std::size_t begin = entries.find(name) + name.size();
    return entries.substr(begin, entries.find('"', begin) - begin);
}

} // namespace Apricothook
