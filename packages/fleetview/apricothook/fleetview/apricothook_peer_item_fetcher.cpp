#include <apricothook/fleetview/apricothook_peer_item_fetcher.hpp>

#include <apricothook/http1/apricothook_http_status.hpp>

#include <apricothook/fleetview/apricothook_blocking_http_client.hpp>
#include <apricothook/fleetview/apricothook_peer_item_protocol.hpp>

namespace Apricothook {

PeerItemFetcher::PeerItemFetcher(Fetched fetched)
    : m_fetched(std::move(fetched)), m_thread([this] { run(); })
{
}

PeerItemFetcher::~PeerItemFetcher()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_one();
    m_thread.join();
}

bool PeerItemFetcher::fetch(const MemberInfo &peer, Revision after)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_busy)
            return false;
        m_busy = true;
        m_request = FetchRequest {peer, after};
    }
    m_wakeUp.notify_one();
    return true;
}

void PeerItemFetcher::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wakeUp.wait(lock, [this] { return m_stopping || m_request; });
        if (m_stopping)
            return;
        const FetchRequest order = *std::exchange(m_request, std::nullopt);
        lock.unlock();
        m_fetched(fetchItems(order));
        lock.lock();
        m_busy = false;
    }
}

FetchedItems PeerItemFetcher::fetchItems(const FetchRequest &order)
{
    BlockingHttpClient client(order.peer.itemAddress, ConnectTimeout, m_stopping);
    client.acceptGzip();
    const Transfer transfer
        = client.get(peerItemsPath(order.after), {ResponseTimeout, ResponseTimeout});
    FetchedItems fetched {order.peer, std::nullopt, transfer.record};
    if (!transfer.response)
        return fetched;
    if (transfer.response->status != HttpStatus::Ok) {
        fetched.record.end = TransferEnd::Refused;
        return fetched;
    }
    Result<ItemUpdate, ItemProtocolError> update = parseItemUpdate(transfer.response->body);
    if (update)
        fetched.update = std::move(update).value();
    else
        fetched.record.end = TransferEnd::Malformed;
    return fetched;
}

} // namespace Apricothook
