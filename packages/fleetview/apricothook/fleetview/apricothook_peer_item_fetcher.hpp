#pragma once

#include <apricothook/fleetview/apricothook_item_replica.hpp>
#include <apricothook/fleetview/apricothook_member_info.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace Apricothook {

/**
 * Asks peers for published items, in a thread of its own. The source may turn away or lose touch
 * with this VM while others hear it; a peer's beacon then shows a later revision, and the peer has
 * the items.
 */
class PeerItemFetcher
{
public:
    /** A peer is a round trip away; more means that it is gone or far too busy. */
    static constexpr std::chrono::milliseconds AnswerTime {800};
    static constexpr std::chrono::milliseconds ConnectTime {300};
    using Fetched = std::function<void(const MemberInfo &peer, std::optional<ItemUpdate>)>;

    /** `fetched` is called on the fetcher's thread; without an update when the peer failed. */
    explicit PeerItemFetcher(Fetched fetched);
    ~PeerItemFetcher();
    PeerItemFetcher(const PeerItemFetcher &) = delete;
    PeerItemFetcher &operator=(const PeerItemFetcher &) = delete;

    /** False, and nothing is done, while another fetch runs. */
    bool fetch(const MemberInfo &peer, Revision after);

private:
    struct Order
    {
        MemberInfo peer;
        Revision after = 0;
    };

    void run();
    std::optional<ItemUpdate> carryOut(const Order &order);

    const Fetched m_fetched;
    std::mutex m_mutex;
    std::condition_variable m_ordered;
    std::optional<Order> m_order;
    bool m_busy = false;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace Apricothook
