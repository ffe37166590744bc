#include <apricothook/target/internal/apricothook_transfer_loop.hpp>

#include <apricothook/target/internal/apricothook_dispatch.hpp>
#include <apricothook/target/internal/apricothook_engine_call.hpp>
#include <apricothook/target/internal/apricothook_engine_documents.hpp>

#include <mutex>
#include <utility>

namespace Apricothook {

namespace {

/** Orders taken between two looks at the sockets. */
constexpr std::size_t OrdersPerTurn = 64;
constexpr int StatusOk = 200;

MultiHandle makeMulti(const TargetOptions &options)
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    MultiHandle multi(curl_multi_init());
    curl_multi_setopt(multi.get(), CURLMOPT_MAXCONNECTS, options.idleConnections);
    curl_multi_setopt(multi.get(), CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    return multi;
}

} // namespace

TransferLoop::TransferLoop(CoreInbox &inbox, const Clock &clock, TargetOptions options,
                           BoundedQueue<TargetOrder> &ring, std::shared_ptr<LoopWaker> waker)
    : m_inbox(inbox)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_ring(ring)
    , m_waker(std::move(waker))
    , m_multi(makeMulti(m_options))
{
    m_waker->attach(m_multi.get());
}

TransferLoop::~TransferLoop()
{
    m_waker->detach();
}

Instant TransferLoop::now() const
{
    return m_clock.now();
}

void TransferLoop::run()
{
    while (!m_waker->isStopped())
        turn();
    endAll();
}

void TransferLoop::turn()
{
    m_isScanDue = m_waker->takeDue();
    // Whoever puts an order wakes the loop; a look at the empty ring costs two system calls.
    if (m_isScanDue)
        takeOrders();
    // Bytes go before deadlines: after a pause of the process the clock has jumped, but what came
    // meanwhile lies in the sockets, and its target wasn't silent.
    moveBytes();
    if (m_isScanDue || now() >= m_nextScan)
        scan();
    sleep();
}

void TransferLoop::takeOrders()
{
    for (std::size_t taken = 0; taken < OrdersPerTurn; ++taken) {
        std::optional<TargetOrder> order = m_ring.tryPop();
        if (!order)
            return;
        std::visit([this](auto &&each) { take(std::forward<decltype(each)>(each)); },
                   std::move(*order));
    }
    m_waker->wake(); // More may wait.
}

void TransferLoop::moveBytes()
{
    int running = 0;
    curl_multi_perform(m_multi.get(), &running);
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi.get(), &left)) {
        const CURLcode code = message->data.result;
        HttpExchange *exchange = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &exchange);
        exchange->owner().onEnded(exchange->endOf(code));
        m_isScanDue = true;
    }
}

void TransferLoop::scan()
{
    const Instant now = m_clock.now();
    m_nextScan = now + m_options.scanEvery;
    for (const auto &[id, dispatch] : m_dispatches)
        dispatch->onTurn(now);
    for (const std::unique_ptr<Activity> &call : m_calls)
        call->onTurn(now);
    std::erase_if(m_dispatches, [](const auto &entry) { return entry.second->hasEnded(); });
    m_calls.remove_if([](const std::unique_ptr<Activity> &call) { return call->hasEnded(); });
}

void TransferLoop::sleep()
{
    const bool isIdle = m_dispatches.empty() && m_calls.empty();
    const Duration longest
        = isIdle ? m_options.longestPoll : std::min(m_options.longestPoll, m_options.scanEvery);
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(longest);
    curl_multi_poll(m_multi.get(), nullptr, 0, static_cast<int>(rounded.count()), nullptr);
}

void TransferLoop::endAll()
{
    for (const auto &[id, dispatch] : m_dispatches)
        dispatch->cancel();
    for (const std::unique_ptr<Activity> &call : m_calls)
        call->cancel();
    while (std::optional<TargetOrder> order = m_ring.tryPop()) {
        if (const auto *dispatch = std::get_if<DispatchOrder>(&*order))
            m_inbox.post(Dispatch::neverBegun(*dispatch));
        if (const auto *engine = std::get_if<EngineOrder>(&*order))
            m_inbox.post(EngineOrderEnded {engine->id, engine->target, 0});
    }
    m_dispatches.clear();
    m_calls.clear();
}

void TransferLoop::take(DispatchOrder order)
{
    const DispatchId id = order.dispatch;
    if (m_dispatches.size() >= m_options.maximumDispatches || m_dispatches.contains(id)) {
        m_inbox.post(Dispatch::neverBegun(order));
        return;
    }
    LoopContext &self = *this;
    m_dispatches.emplace(id, std::make_unique<Dispatch>(self, std::move(order)));
}

void TransferLoop::take(const CancelOrder &order)
{
    const auto found = m_dispatches.find(order.dispatch);
    if (found != m_dispatches.end())
        found->second->cancel();
}

void TransferLoop::take(const EngineOrder &order)
{
    if (!hasCallRoom() || now() > order.notAfter) {
        m_inbox.post(EngineOrderEnded {order.id, order.target, 0});
        return;
    }
    HttpRequest request = engineRequest(order.address, "POST", "/v1/orders");
    request.headers.push_back(Header {"Content-Type", "application/json"});
    if (!m_options.engineOrderToken.empty())
        request.headers.push_back(Header {"Authorization", "Bearer " + m_options.engineOrderToken});
    request.body = std::make_shared<const std::string>(orderDocument(order));
    call(std::move(request), order.notAfter,
         [this, id = order.id, target = order.target](int status, const std::string &) {
             m_inbox.post(EngineOrderEnded {id, target, status});
         });
}

void TransferLoop::take(const PollOrder &order)
{
    // A poll whose forerunner still waits says nothing new and would pile up at a silent engine.
    if (!hasCallRoom() || !m_polled.insert(order.target).second)
        return;
    pollLoad(order);
    pollCacheEvents(order);
}

void TransferLoop::pollLoad(const PollOrder &order)
{
    call(engineRequest(order.address, "GET", "/v1/load"), std::nullopt,
         [this, target = order.target](int status, const std::string &body) {
             m_polled.erase(target);
             LoadReport report {target};
             if (status == StatusOk) {
                 if (Result<LoadReport, DocumentError> parsed = parseLoad(target, body))
                     report = parsed.value();
             }
             m_inbox.tryPost(report);
         });
}

void TransferLoop::pollCacheEvents(const PollOrder &order)
{
    const std::uint64_t after = order.cacheEventsAfter;
    const std::string path = "/v1/cache-events?after=" + std::to_string(after);
    call(engineRequest(order.address, "GET", path), std::nullopt,
         [this, target = order.target, after](int status, const std::string &body) {
             if (status != StatusOk)
                 return;
             Result<std::vector<CacheEvent>, DocumentError> events = parseCacheEvents(body, after);
             if (events && !events.value().empty())
                 m_inbox.tryPost(CacheEvents {target, std::move(events).value()});
         });
}

void TransferLoop::cancelStream(const Endpoint &address, const std::string &streamId)
{
    if (!m_waker->isStopped() && hasCallRoom())
        call(engineRequest(address, "DELETE", "/v1/streams/" + streamId), std::nullopt,
             [](int, const std::string &) {});
}

HttpRequest TransferLoop::engineRequest(const Endpoint &address, const char *method,
                                        std::string path) const
{
    HttpRequest request;
    request.address = address;
    request.method = method;
    request.path = std::move(path);
    request.idleSeconds = isSafeMethod(method) ? m_options.idleSeconds : 0;
    return request;
}

void TransferLoop::call(HttpRequest request, std::optional<Instant> notAfter,
                        std::function<void(int status, const std::string &body)> answered)
{
    LoopContext &self = *this;
    m_calls.push_back(
        std::make_unique<EngineCall>(self, std::move(request), notAfter,
                                     [answered = std::move(answered)](const CallAnswer &answer) {
                                         answered(answer.status, answer.body);
                                     }));
}

} // namespace Apricothook
