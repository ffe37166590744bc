#pragma once

#include <apricothook/configservice/apricothook_peer_rpc_client.hpp>
#include <apricothook/configservice/apricothook_platform_client.hpp>
#include <apricothook/configservice/internal/apricothook_duty.hpp>

#include <mutex>
#include <optional>

namespace Apricothook {

/** Fetches texts from members, one at a time; of several that wait only the last one told. */
class TextFetcher
{
public:
    TextFetcher(PlatformSurroundings surroundings, const std::atomic<bool> &stop);
    void fetch(const Endpoint &peer, Generation generation, std::uint64_t textHash);
    Duty &duty() { return m_duty; }

private:
    struct Wanted
    {
        Endpoint peer;
        Generation generation;
        std::uint64_t textHash = 0;
    };

    Duration work();
    std::optional<Wanted> take();

    PlatformSurroundings m_surroundings;
    PeerRpcClient m_client;
    std::mutex m_mutex;
    std::optional<Wanted> m_wanted;
    Duty m_duty;
};

} // namespace Apricothook
