#include <apricothook/testing/apricothook_plain_stand_in.hpp>

#include <apricothook/testing/apricothook_answer_bytes.hpp>
#include <apricothook/testing/apricothook_stand_in_json.hpp>

namespace Apricothook {

namespace {

bool hasEffect(const std::string &path)
{
    return path.find("charge") != std::string::npos || path.find("ticket") != std::string::npos;
}

} // namespace

PlainStandIn::PlainStandIn(PlainOptions options, std::uint16_t port)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_host(std::make_unique<HttpHost>(port, *this))
{
}

PlainStandIn::~PlainStandIn()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_host.reset();
}

void PlainStandIn::setOptions(const PlainOptions &options)
{
    {
        const std::lock_guard lock(m_mutex);
        m_options = options;
    }
    m_changed.notify_all();
}

PlainOptions PlainStandIn::options() const
{
    const std::lock_guard lock(m_mutex);
    return m_options;
}

RunCount PlainStandIn::runs(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    return m_counts.of(key);
}

RunCount PlainStandIn::sum()
{
    const std::lock_guard lock(m_mutex);
    return m_counts.sum();
}

std::uint64_t PlainStandIn::effects() const
{
    const std::lock_guard lock(m_mutex);
    return m_effects;
}

Json::Value PlainStandIn::counts()
{
    const std::lock_guard lock(m_mutex);
    Json::Value document = m_counts.toJson();
    document["id"] = m_options.id;
    document["kind"] = "plain";
    document["effects"] = Json::UInt64(m_effects);
    return document;
}

HttpReply PlainStandIn::handle(const HttpRequest &request)
{
    if (request.path == "/_control")
        return control(request);
    if (request.path == "/_counts")
        return jsonReply(counts());
    const std::string key = request.header("idempotency-key");
    std::unique_lock lock(m_mutex);
    HttpReply reply;
    reply.isClosing = m_options.isDown;
    if (m_options.isDown)
        return reply;
    if (m_options.isRefusing) {
        ++m_counts.of(key).refused;
        reply.status = 503;
        reply.headers["Service-Not-Run"] = "true";
        return reply;
    }
    return run(request, key, lock);
}

HttpReply PlainStandIn::run(const HttpRequest &request, const std::string &key,
                            std::unique_lock<std::mutex> &lock)
{
    RunCount &count = m_counts.of(key);
    ++count.accepted;
    if (!m_options.isDeduplicating || count.runs == 0) {
        ++count.runs;
        m_effects += hasEffect(request.path) ? 1 : 0;
    }
    HttpReply reply;
    reply.headers["Content-Type"] = "application/json";
    reply.body = expectedPlainAnswer(request.method, request.path, request.body);
    reply.isClosing = takeKill();
    m_changed.wait_for(lock, m_options.delay, [this] { return m_stopping; });
    m_changed.wait(lock, [this] { return m_stopping || !m_options.isStalled; });
    ++m_counts.of(key).whole;
    return reply;
}

bool PlainStandIn::takeKill()
{
    if (m_options.kills > 0) {
        --m_options.kills;
        return true;
    }
    return std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.killChance;
}

HttpReply PlainStandIn::control(const HttpRequest &request)
{
    const Json::Value document = jsonOf(request.body);
    PlainOptions options = this->options();
    std::uint64_t delayMs
        = static_cast<std::uint64_t>(options.delay / std::chrono::milliseconds(1));
    take(document, "delayMs", delayMs);
    options.delay = std::chrono::milliseconds(delayMs);
    take(document, "kills", options.kills);
    take(document, "killChance", options.killChance);
    take(document, "stall", options.isStalled);
    take(document, "refuse", options.isRefusing);
    take(document, "down", options.isDown);
    setOptions(options);
    return jsonReply(Json::Value(Json::objectValue), document.isObject() ? 200 : 400);
}

} // namespace Apricothook
