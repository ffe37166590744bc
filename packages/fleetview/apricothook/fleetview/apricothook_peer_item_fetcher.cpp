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
    m_ordered.notify_one();
    m_thread.join();
}

bool PeerItemFetcher::fetch(const MemberInfo &peer, Revision after)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_busy)
            return false;
        m_busy = true;
        m_order = Order {peer, after};
    }
    m_ordered.notify_one();
    return true;
}

void PeerItemFetcher::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_ordered.wait(lock, [this] { return m_stopping || m_order; });
        if (m_stopping)
            return;
        const Order order = *std::exchange(m_order, std::nullopt);
        lock.unlock();
        m_fetched(order.peer, carryOut(order));
        lock.lock();
        m_busy = false;
    }
}

std::optional<ItemUpdate> PeerItemFetcher::carryOut(const Order &order)
{
    BlockingHttpClient client(order.peer.itemAddress, ConnectTime, m_stopping);
    const std::optional<SourceAnswer> answer = client.get(peerItemsPath(order.after), AnswerTime);
    if (!answer || answer->status != HttpStatus::Ok)
        return std::nullopt;
    Result<ItemUpdate, ItemProtocolError> update = parseItemUpdate(answer->body);
    if (!update)
        return std::nullopt;
    return std::move(update).value();
}

} // namespace Apricothook
