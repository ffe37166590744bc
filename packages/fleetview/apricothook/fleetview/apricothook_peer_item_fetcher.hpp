#pragma once

#include <apricothook/fleetview/apricothook_item_replica.hpp>
#include <apricothook/fleetview/apricothook_member_info.hpp>
#include <apricothook/fleetview/apricothook_transfer.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace Apricothook {

/** Result of a fetch. */
struct FetchedItems
{
    MemberInfo peer;
    /** Empty if the fetch failed. */
    std::optional<ItemUpdate> update;
    TransferRecord record;
};

/**
 * Fetches published items from peers in a dedicated thread. The source may reject or be unreachable
 * for this VM while other VMs reach it. A peer's heartbeat then announces a later revision, and the
 * items are fetched from that peer.
 */
class PeerItemFetcher
{
public:
    /**
     * Time until the response begins, and longest pause within it. A peer is one round trip away;
     * if it takes longer, it is down or overloaded.
     */
    static constexpr std::chrono::milliseconds ResponseTimeout {800};
    static constexpr std::chrono::milliseconds ConnectTimeout {300};
    using Fetched = std::function<void(const FetchedItems &)>;

    /** `fetched` is called on the fetcher's thread. */
    explicit PeerItemFetcher(Fetched fetched);
    ~PeerItemFetcher();
    PeerItemFetcher(const PeerItemFetcher &) = delete;
    PeerItemFetcher &operator=(const PeerItemFetcher &) = delete;

    /** Returns false and does nothing while another fetch is in progress. */
    bool fetch(const MemberInfo &peer, Revision after);

private:
    struct FetchRequest
    {
        MemberInfo peer;
        Revision after = 0;
    };

    void run();
    FetchedItems fetchItems(const FetchRequest &order);

    const Fetched m_fetched;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::optional<FetchRequest> m_request;
    bool m_busy = false;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace Apricothook
