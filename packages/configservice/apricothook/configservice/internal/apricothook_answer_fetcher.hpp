#pragma once

#include <apricothook/configservice/apricothook_peer_rpc_client.hpp>
#include <apricothook/configservice/apricothook_platform_client.hpp>
#include <apricothook/configservice/internal/apricothook_duty.hpp>

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>

namespace Apricothook {

/** Fetches kept answers from members, one at a time; each ends in KeptAnswerFetched. */
class AnswerFetcher
{
public:
    AnswerFetcher(PlatformSurroundings surroundings, const std::atomic<bool> &stop);
    void fetch(const Endpoint &peer, const RequestKey &key, ExchangeId exchange);
    Duty &duty() { return m_duty; }

private:
    static constexpr std::size_t MaximumWaiting = 64;

    struct Wanted
    {
        Endpoint peer;
        RequestKey key;
        ExchangeId exchange;
    };

    Duration work();
    std::optional<Wanted> take();
    bool put(Wanted wanted);

    PlatformSurroundings m_surroundings;
    PeerRpcClient m_client;
    std::mutex m_mutex;
    std::deque<Wanted> m_waiting;
    Duty m_duty;
};

} // namespace Apricothook
