#pragma once

#include <apricothook/ports/apricothook_bounded_queue.hpp>
#include <apricothook/ports/apricothook_target_order.hpp>
#include <apricothook/target/internal/apricothook_activity.hpp>
#include <apricothook/target/internal/apricothook_curl_handles.hpp>
#include <apricothook/target/internal/apricothook_http_exchange.hpp>
#include <apricothook/target/internal/apricothook_loop_context.hpp>

#include <list>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace Apricothook {

class Clock;
class Dispatch;

/** The adapter's one thread: takes orders, moves bytes, looks at deadlines, sleeps. */
class TransferLoop : private LoopContext
{
public:
    TransferLoop(CoreInbox &inbox, const Clock &clock, TargetOptions options,
                 BoundedQueue<TargetOrder> &ring, std::shared_ptr<LoopWaker> waker);
    ~TransferLoop() override;

    /** Returns when the waker is stopped, with everything ended. */
    void run();

private:
    CURLM *multi() override { return m_multi.get(); }
    Instant now() const override;
    CoreInbox &inbox() override { return m_inbox; }
    const TargetOptions &options() const override { return m_options; }
    std::shared_ptr<LoopWaker> waker() override { return m_waker; }
    void cancelStream(const Endpoint &address, const std::string &streamId) override;

    void turn();
    void takeOrders();
    void moveBytes();
    void scan();
    void sleep();
    void endAll();

    void take(DispatchOrder order);
    void take(const CancelOrder &order);
    void take(const EngineOrder &order);
    void take(const PollOrder &order);
    void pollLoad(const PollOrder &order);
    void pollCacheEvents(const PollOrder &order);
    bool hasCallRoom() const { return m_calls.size() < m_options.maximumCalls; }
    HttpRequest engineRequest(const Endpoint &address, const char *method, std::string path) const;
    void call(HttpRequest request, std::optional<Instant> notAfter,
              std::function<void(int status, const std::string &body)> answered);

    CoreInbox &m_inbox;
    const Clock &m_clock;
    const TargetOptions m_options;
    BoundedQueue<TargetOrder> &m_ring;
    std::shared_ptr<LoopWaker> m_waker;
    MultiHandle m_multi;
    // After m_multi: their transfers leave it before it goes.
    std::unordered_map<DispatchId, std::unique_ptr<Dispatch>> m_dispatches;
    std::list<std::unique_ptr<Activity>> m_calls;
    std::set<TargetId> m_polled;
    Instant m_nextScan {};
    bool m_isScanDue = false;
};

} // namespace Apricothook
