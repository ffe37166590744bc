#include <apricothook/caller/internal/apricothook_exchange_service.hpp>

#include <apricothook/caller/apricothook_request_sketch.hpp>
#include <apricothook/caller/internal/apricothook_answer_response.hpp>

#include <algorithm>
#include <cstdlib>
#include <cstring>

namespace Apricothook {

namespace {

constexpr std::uint64_t OperatorBodyBytes = 64UL * 1024;
/** Bytes of a refused body that are read all the same, at least. */
constexpr std::uint64_t LeastDroppedBytes = 1ULL << 20;
constexpr Duration OverloadPause = std::chrono::seconds(1);

MHD_Result collectHeader(void *headers, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    static_cast<std::vector<Header> *>(headers)->push_back(Header {name, value ? value : ""});
    return MHD_YES;
}

std::vector<Header> headersOf(MHD_Connection *connection)
{
    std::vector<Header> headers;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, collectHeader, &headers);
    return headers;
}

std::size_t headerBytesOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    return info ? info->header_size : 0;
}

bool hasHeader(MHD_Connection *connection, const char *name)
{
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name) != nullptr;
}

/** Declared length beyond the limit; the library has checked that the value is a number. */
bool declaresMoreThan(MHD_Connection *connection, std::uint64_t limit)
{
    const char *length = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Content-Length");
    return length && std::strtoull(length, nullptr, 10) > limit;
}

std::uint64_t bodyLimitOf(const Exchange &exchange, const CallerLimits &limits)
{
    return std::holds_alternative<OperatorRoute>(exchange.route) ? OperatorBodyBytes
                                                                 : limits.maximumBodyBytes;
}

bool helpsToRetry(RefusalReason reason)
{
    return reason == RefusalReason::Overloaded || reason == RefusalReason::TooManyConnections
        || reason == RefusalReason::Draining;
}

} // namespace

ExchangeService::ExchangeService(const CallerLimits &limits, const Clock &clock, CoreInbox &inbox,
                                 EventSink &events, ConnectionWatch &watch)
    : m_clock(clock)
    , m_inbox(inbox)
    , m_events(events)
    , m_watch(watch)
    , m_operators(inbox)
    , m_limits(std::make_shared<const CallerLimits>(limits))
{
}

std::shared_ptr<Exchange> ExchangeService::begin(MHD_Connection *connection,
                                                 ConnectionNumber number, std::string_view uri)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->id = ExchangeId(++m_lastExchange);
    exchange->connection = number;
    exchange->uri = uri;
    exchange->body = std::make_unique<RequestBody>(m_budget);
    exchange->pause = std::make_shared<ConnectionPause>(connection);
    ++m_open;
    return exchange;
}

MHD_Result ExchangeService::handle(MHD_Connection *connection,
                                   const std::shared_ptr<Exchange> &exchange, const char *method,
                                   const char *version, std::string_view piece, std::size_t &left)
{
    if (exchange->phase == ExchangePhase::Headers)
        return readHeaders(connection, *exchange, method, version);
    if (exchange->phase == ExchangePhase::Body && !piece.empty()) {
        left = 0;
        return readBody(*exchange, piece);
    }
    if (exchange->phase == ExchangePhase::Body)
        return finishRequest(connection, exchange);
    return answer(connection, exchange);
}

MHD_Result ExchangeService::readHeaders(MHD_Connection *connection, Exchange &exchange,
                                        const char *method, const char *version)
{
    exchange.phase = ExchangePhase::Body;
    exchange.method = method;
    exchange.headersAt = m_clock.now();
    if (!m_watch.beginRequest(exchange.connection, exchange.pause))
        return MHD_NO;
    const Result<void, RefusalReason> checked = checkHeaders(connection, exchange, version);
    if (!checked)
        refuse(exchange, checked.error());
    // With "Expect: 100-continue" the caller holds its body back, and needn't send it for nothing.
    if (exchange.refusal && hasHeader(connection, "Expect")) {
        exchange.closesConnection = true;
        return sendRefusal(connection, exchange, *exchange.refusal);
    }
    return MHD_YES;
}

Result<void, RefusalReason> ExchangeService::checkHeaders(MHD_Connection *connection,
                                                          Exchange &exchange, const char *version)
{
    // An older caller couldn't tell a cut answer from a whole one.
    if (std::strcmp(version, MHD_HTTP_VERSION_1_1) != 0)
        return RefusalReason::BadRequest;
    if (headerBytesOf(connection) > limits()->maximumHeaderBytes)
        return RefusalReason::HeadersTooLarge;
    BOOST_OUTCOME_TRY(exchange.headers, parseRequestHeaders(headersOf(connection)));
    BOOST_OUTCOME_TRY(exchange.route, parseRoute(exchange.method, exchange.uri));
    if (declaresMoreThan(connection, bodyLimitOf(exchange, *limits())))
        return RefusalReason::BodyTooLarge;
    return checkCapacity(exchange);
}

Result<void, RefusalReason> ExchangeService::checkCapacity(const Exchange &exchange) const
{
    if (m_watch.isOverLimit(exchange.connection))
        return RefusalReason::TooManyConnections;
    // Operators look at a draining daemon as well, and callers fetch their answers from it.
    if (m_isDraining && std::holds_alternative<ServiceRoute>(exchange.route))
        return RefusalReason::Draining;
    return Outcomes::success();
}

MHD_Result ExchangeService::readBody(Exchange &exchange, std::string_view piece)
{
    const auto bounds = limits();
    if (m_clock.now() - exchange.headersAt > bounds->bodyTimeout) {
        record(CallerEvent::BodyRefused, "reason=body-timeout");
        return MHD_NO;
    }
    if (!exchange.refusal) {
        const auto taken = exchange.body->append(piece, bodyLimitOf(exchange, *bounds),
                                                 bounds->maximumHeldBodyBytes);
        if (taken)
            return MHD_YES;
        refuse(exchange, taken.error());
    }
    // A refusal that is sent while the caller still writes is lost when the kernel resets the
    // connection for its unread bytes; so the rest is read and dropped, but not without end.
    exchange.droppedBytes += piece.size();
    const std::uint64_t mostDropped = std::max(bounds->maximumBodyBytes, LeastDroppedBytes);
    return exchange.droppedBytes > mostDropped ? MHD_NO : MHD_YES;
}

MHD_Result ExchangeService::finishRequest(MHD_Connection *connection,
                                          const std::shared_ptr<Exchange> &exchange)
{
    exchange->closesConnection = exchange->closesConnection || m_isDraining;
    if (exchange->refusal)
        return sendRefusal(connection, *exchange, *exchange->refusal);
    exchange->phase = ExchangePhase::Waiting;
    exchange->answer = std::make_shared<AnswerStream>();
    exchange->answer->setReadableCallback(
        [pause = std::weak_ptr<ConnectionPause>(exchange->pause)] {
            if (const auto held = pause.lock())
                held->wake();
        });
    if (!giveToCore(*exchange)) {
        record(CallerEvent::InboxFull);
        refuse(*exchange, RefusalReason::Overloaded);
        return sendRefusal(connection, *exchange, *exchange->refusal);
    }
    return answer(connection, exchange);
}

MHD_Result ExchangeService::answer(MHD_Connection *connection,
                                   const std::shared_ptr<Exchange> &exchange)
{
    const AnswerStream &stream = *exchange->answer;
    const auto hasHead = [&stream] { return stream.state() != AnswerStream::State::Waiting; };
    if (exchange->pause->pauseUnless(hasHead))
        return MHD_YES;
    if (exchange->pause->isBroken())
        return MHD_NO;
    exchange->phase = ExchangePhase::Answering;
    return sendAnswer(connection, exchange);
}

bool ExchangeService::giveToCore(Exchange &exchange)
{
    if (std::holds_alternative<EntriesRoute>(exchange.route))
        return m_inbox.tryPost(EntriesLookup {exchange.answer});
    if (std::holds_alternative<OperatorRoute>(exchange.route)) {
        QueuedOperatorCall call {std::string(exchange.body->bytes()), exchange.answer};
        exchange.body->drop();
        return m_operators.tryCall(std::move(call));
    }
    exchange.isGiven = true;
    if (const KeyRoute *route = std::get_if<KeyRoute>(&exchange.route))
        exchange.isGiven = m_inbox.tryPost(
            KeyLookup {exchange.id, exchange.headers.tokenHash, route->key, exchange.answer});
    else
        exchange.isGiven
            = m_inbox.tryPost(requestOf(exchange, std::get<ServiceRoute>(exchange.route)));
    return exchange.isGiven;
}

CallerRequest ExchangeService::requestOf(Exchange &exchange, const ServiceRoute &route)
{
    CallerRequest request;
    request.exchange = exchange.id;
    request.tokenHash = exchange.headers.tokenHash;
    request.service = route.service;
    request.method = exchange.method;
    request.path = route.path;
    request.headers = std::move(exchange.headers.forwarded);
    request.requestClass = exchange.headers.requestClass;
    request.key = exchange.headers.key;
    request.wait = exchange.headers.wait;
    request.profile = sketchOf({exchange.method, route.service.text(), route.path,
                                exchange.headers.contentType, exchange.body->bytes()});
    request.body = exchange.body->hold();
    request.answer = exchange.answer;
    return request;
}

void ExchangeService::end(Exchange &exchange, MHD_RequestTerminationCode how)
{
    m_watch.endRequest(exchange.connection);
    --m_open;
    if (!exchange.answer)
        return;
    exchange.answer->setReadableCallback(nullptr);
    const AnswerStream::State state = exchange.answer->state();
    const bool wasEndedByCore
        = state == AnswerStream::State::Aborted || state == AnswerStream::State::Refused;
    if (how == MHD_REQUEST_TERMINATED_COMPLETED_OK || wasEndedByCore)
        return;
    exchange.answer->abandon();
    if (!exchange.isGiven)
        return;
    record(CallerEvent::CallerHungUp, "exchange=" + std::to_string(exchange.id.value()));
    m_inbox.post(CallerGone {exchange.id});
}

void ExchangeService::setLimits(const CallerLimits &limits)
{
    const std::lock_guard lock(m_limitsMutex);
    m_limits = std::make_shared<const CallerLimits>(limits);
}

std::shared_ptr<const CallerLimits> ExchangeService::limits() const
{
    const std::lock_guard lock(m_limitsMutex);
    return m_limits;
}

void ExchangeService::record(CallerEvent event, std::string details) const
{
    m_events.record(DecisionEvent {static_cast<int>(event), RequestKey(), std::move(details)});
}

void ExchangeService::refuse(Exchange &exchange, RefusalReason reason) const
{
    Refusal refusal {reason, Outcome::NotRun, {}};
    if (helpsToRetry(reason)) {
        refusal.retryAfter = OverloadPause;
        // A caller's key may have run before, and nobody was asked. "Not run" would let the caller
        // send the same work under a new key and have it done twice.
        refusal.outcome = exchange.headers.key.isEmpty() ? Outcome::NotRun : Outcome::Unknown;
    }
    exchange.refusal = refusal;
    exchange.body->drop();
    exchange.closesConnection
        = exchange.closesConnection || reason == RefusalReason::TooManyConnections;
    if (reason == RefusalReason::BodyTooLarge)
        record(CallerEvent::BodyRefused, "reason=body-too-large");
    if (reason == RefusalReason::Overloaded && exchange.phase == ExchangePhase::Body)
        record(CallerEvent::HeldBodiesFull, "held=" + std::to_string(m_budget->held()));
}

} // namespace Apricothook
