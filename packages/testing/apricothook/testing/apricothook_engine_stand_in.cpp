#include <apricothook/testing/apricothook_engine_stand_in.hpp>

#include <apricothook/testing/apricothook_stand_in_json.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr Duration WorkStep = std::chrono::milliseconds(5);
constexpr std::string_view StreamsPath = "/v1/streams/";

Instant now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

std::string hexOf(PrefixHash prefix)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(prefix.value()));
    return text;
}

PrefixHash prefixOf(const Json::Value &document)
{
    return PrefixHash(std::strtoull(document["prefix"].asString().c_str(), nullptr, 16));
}

} // namespace

/** The bytes of a stream from an offset on, as they come, with the faults in force. */
class EngineAnswer : public BodySource
{
public:
    EngineAnswer(EngineStandIn &engine, std::shared_ptr<EngineStream> stream, std::uint64_t start,
                 std::uint64_t number, bool isKilled)
        : m_engine(engine)
        , m_stream(std::move(stream))
        , m_start(start)
        , m_number(number)
        , m_isKilled(isKilled)
    {
    }

    std::ptrdiff_t read(std::uint64_t offset, char *buffer, std::size_t size) override
    {
        std::unique_lock lock(m_engine.m_mutex);
        const std::uint64_t at = m_start + offset;
        m_stream->changed.wait(lock, [&] { return m_engine.m_stopping || isReady(at); });
        if (m_engine.m_stopping || m_engine.isClosing()
            || m_stream->state == EngineStream::State::Lost)
            return Broken;
        std::uint64_t count = m_stream->bytes.size() - at;
        if (m_isKilled) {
            const std::uint64_t limit = m_engine.m_faults.killAfterBytes;
            count = std::min(count, limit - std::min(limit, offset));
            if (count == 0)
                return Broken;
        }
        count = std::min<std::uint64_t>(count, size);
        std::copy_n(m_stream->bytes.data() + at, count, buffer);
        return static_cast<std::ptrdiff_t>(count);
    }

private:
    bool isReady(std::uint64_t at) const
    {
        if (m_number < m_engine.m_silentAnswers || m_engine.m_faults.isStalled)
            return false;
        return m_engine.isClosing() || m_stream->isEnded() || m_stream->bytes.size() > at;
    }

    EngineStandIn &m_engine;
    std::shared_ptr<EngineStream> m_stream;
    std::uint64_t m_start;
    std::uint64_t m_number;
    bool m_isKilled;
};

EngineStandIn::EngineStandIn(EngineOptions options, std::uint16_t port)
    : m_work(std::move(options))
    , m_random(m_work.options().seed + 1)
    , m_host(std::make_unique<HttpHost>(port, *this))
    , m_worker([this] { work(); })
{
}

EngineStandIn::~EngineStandIn()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_work.wakeAll();
    }
    m_worker.join();
    m_host.reset();
}

void EngineStandIn::work()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_work.advance(now(), m_faults.straggler);
        if (m_work.takeCrashWish())
            crashLocked();
        lock.unlock();
        std::this_thread::sleep_for(WorkStep);
        lock.lock();
    }
}

void EngineStandIn::setFaults(const EngineFaults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
    m_work.wakeAll();
}

EngineFaults EngineStandIn::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

void EngineStandIn::crash()
{
    const std::lock_guard lock(m_mutex);
    crashLocked();
}

void EngineStandIn::crashLocked()
{
    m_work.crash(now());
    m_closedUntil = now() + m_work.options().restartTime;
    m_fencing = 0;
    m_orders.clear();
}

void EngineStandIn::silenceOpen()
{
    const std::lock_guard lock(m_mutex);
    m_silentAnswers = m_answers;
}

RunCount EngineStandIn::runs(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    return m_work.counts().of(key);
}

RunCount EngineStandIn::sum()
{
    const std::lock_guard lock(m_mutex);
    return m_work.counts().sum();
}

double EngineStandIn::wastedPrefill()
{
    const std::lock_guard lock(m_mutex);
    return m_work.wastedPrefill();
}

Json::Value EngineStandIn::counts()
{
    const std::lock_guard lock(m_mutex);
    Json::Value document = m_work.counts().toJson();
    document["id"] = m_work.options().id;
    document["kind"] = "engine";
    document["boot"] = Json::UInt64(m_work.boot());
    document["prefillTokens"] = m_work.prefill();
    document["wastedPrefillTokens"] = m_work.wastedPrefill();
    for (const auto &[key, tokens] : m_work.prefillByKey())
        document["prefillByKey"][key] = tokens;
    document["cachedTokens"] = Json::UInt64(m_work.cachedTokens());
    document["appliedOrders"] = Json::UInt64(m_appliedOrders);
    document["refusedOrders"] = Json::UInt64(m_refusedOrders);
    return document;
}

bool EngineStandIn::isClosing() const
{
    return m_faults.isDown || now() < m_closedUntil;
}

HttpReply EngineStandIn::handle(const HttpRequest &request)
{
    if (request.path == "/_control")
        return control(request);
    if (request.path == "/_counts")
        return jsonReply(counts());
    const std::lock_guard lock(m_mutex);
    HttpReply reply;
    if (isClosing()) {
        reply.isClosing = true;
        return reply;
    }
    if (request.path == "/v1/completions" && request.method == "POST")
        reply = complete(request);
    else if (request.path.starts_with(StreamsPath))
        reply = stream(request);
    else if (request.path == "/v1/load")
        reply = load();
    else if (request.path == "/v1/cache-events")
        reply = cacheEvents(request);
    else if (request.path == "/v1/kv/export" && request.method == "POST")
        reply = exportKv(request);
    else if (request.path == "/v1/kv/import" && request.method == "POST")
        reply = importKv(request);
    else if (request.path == "/v1/orders" && request.method == "POST")
        reply = order(request);
    else
        reply.status = 404;
    reply.headers["Engine-Boot"] = std::to_string(m_work.boot());
    return reply;
}

HttpReply EngineStandIn::refusal(int status) const
{
    HttpReply reply;
    reply.status = status;
    reply.headers["Engine-Not-Run"] = "true";
    return reply;
}

HttpReply EngineStandIn::complete(const HttpRequest &request)
{
    const std::string id = request.header("engine-stream");
    const std::string sentKey = request.header("idempotency-key");
    const std::string key = sentKey.empty() ? id : sentKey;
    std::optional<CompletionRequest> completion = parseCompletion(request.body);
    if (id.empty() || !completion)
        return refusal(400);
    if (m_faults.isRefusing) {
        ++m_work.counts().of(key).refused;
        return refusal(503);
    }
    switch (m_work.accept(id, key, *std::move(completion))) {
    case Admission::Full:
        return refusal(503);
    case Admission::UnknownModel:
        return refusal(404);
    case Admission::Accepted:
        break;
    }
    return answerFrom(m_work.find(id), 0);
}

HttpReply EngineStandIn::answerFrom(std::shared_ptr<EngineStream> stream, std::uint64_t offset)
{
    HttpReply reply;
    reply.headers["Content-Type"] = "text/event-stream";
    reply.stream
        = std::make_shared<EngineAnswer>(*this, std::move(stream), offset, m_answers++, takeKill());
    return reply;
}

bool EngineStandIn::takeKill()
{
    if (m_faults.kills > 0) {
        --m_faults.kills;
        return true;
    }
    return std::uniform_real_distribution<double>(0, 1)(m_random) < m_faults.killChance;
}

HttpReply EngineStandIn::stream(const HttpRequest &request)
{
    const std::string id = request.path.substr(StreamsPath.size());
    const std::shared_ptr<EngineStream> found = m_work.find(id);
    const std::uint64_t offset = request.number("offset", 0);
    HttpReply reply;
    if (!found) {
        reply.status = 404;
    } else if (request.method == "DELETE") {
        m_work.cancel(id, now());
        Json::Value document;
        document["cancelled"] = true;
        reply = jsonReply(document);
    } else if (offset > found->bytes.size()) {
        reply.status = 416;
    } else {
        reply = answerFrom(found, offset);
    }
    return reply;
}

HttpReply EngineStandIn::load()
{
    const Duration lag = m_work.options().loadLag;
    const EngineLoad load = m_work.loadAt(now() - lag);
    Json::Value document;
    document["running"] = load.running;
    document["waiting"] = load.waiting;
    document["kvTokensUsed"] = Json::UInt64(load.kvTokensUsed);
    document["kvTokensTotal"] = Json::UInt64(m_work.options().kvTokens);
    document["ageMs"] = Json::Int64(lag / std::chrono::milliseconds(1));
    return jsonReply(document);
}

HttpReply EngineStandIn::cacheEvents(const HttpRequest &request)
{
    Json::Value document;
    document["events"] = Json::Value(Json::arrayValue);
    for (const auto &published : m_work.cacheChanges(request.number("after", 0), now())) {
        Json::Value event;
        event["sequence"] = Json::UInt64(published.sequence);
        event["kind"] = published.change.isStored ? "stored" : "evicted";
        event["prefix"] = hexOf(published.change.prefix);
        document["events"].append(event);
    }
    return jsonReply(document);
}

HttpReply EngineStandIn::exportKv(const HttpRequest &request)
{
    const Json::Value asked = jsonOf(request.body);
    const PrefixHash prefix = prefixOf(asked);
    Json::Value document;
    if (!m_work.hasPrefix(prefix))
        return jsonReply(document, 404);
    document["prefix"] = hexOf(prefix);
    document["tokens"] = PrefixBlockTokens;
    document["blob"] = "kv:" + hexOf(prefix);
    return jsonReply(document);
}

HttpReply EngineStandIn::importKv(const HttpRequest &request)
{
    const Json::Value document = jsonOf(request.body);
    if (document["blob"].asString() != "kv:" + hexOf(prefixOf(document)))
        return jsonReply(Json::Value(), 400);
    m_work.importPrefix(prefixOf(document), now());
    return jsonReply(Json::Value(Json::objectValue));
}

HttpReply EngineStandIn::order(const HttpRequest &request)
{
    const Json::Value document = jsonOf(request.body);
    const EngineOptions &options = m_work.options();
    const bool isStranger = !options.senderToken.empty()
        && request.header("authorization") != "Bearer " + options.senderToken;
    const std::uint64_t fencing = document["fencing"].asUInt64();
    if (isStranger || (options.checksFencing && fencing < m_fencing)) {
        ++m_refusedOrders;
        return jsonReply(Json::Value(), isStranger ? 401 : 409);
    }
    m_fencing = std::max(m_fencing, fencing);
    const std::string order = document["order"].asString() + " " + document["subject"].asString()
        + " " + document["version"].asString();
    if (m_orders.insert(order).second)
        ++m_appliedOrders;
    Json::Value applied;
    applied["applied"] = true;
    return jsonReply(applied);
}

HttpReply EngineStandIn::control(const HttpRequest &request)
{
    const Json::Value document = jsonOf(request.body);
    EngineFaults faults = this->faults();
    take(document, "straggler", faults.straggler);
    take(document, "kills", faults.kills);
    take(document, "killChance", faults.killChance);
    take(document, "killAfterBytes", faults.killAfterBytes);
    take(document, "stall", faults.isStalled);
    take(document, "refuse", faults.isRefusing);
    take(document, "down", faults.isDown);
    setFaults(faults);
    if (document["crash"].asBool())
        crash();
    if (document["silenceOpen"].asBool())
        silenceOpen();
    return jsonReply(Json::Value(Json::objectValue), document.isObject() ? 200 : 400);
}

} // namespace Apricothook
