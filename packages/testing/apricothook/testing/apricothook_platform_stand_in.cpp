#include <apricothook/testing/apricothook_platform_stand_in.hpp>

#include <apricothook/testing/apricothook_stand_in_json.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr std::uint64_t LongestWatchSeconds = 60;

} // namespace

PlatformStandIn::PlatformStandIn(std::uint16_t port)
    : m_host(std::make_unique<HttpHost>(port, *this))
{
}

PlatformStandIn::~PlatformStandIn()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_host.reset();
}

std::uint64_t PlatformStandIn::publish(std::string text)
{
    const std::lock_guard lock(m_mutex);
    m_config = {m_config.revision + 1, std::move(text)};
    m_changed.notify_all();
    return m_config.revision;
}

void PlatformStandIn::publishVms(std::vector<PublishedVm> vms)
{
    const std::lock_guard lock(m_mutex);
    m_vms = std::move(vms);
    ++m_vmsRevision;
}

void PlatformStandIn::setFaults(const PlatformFaults &faults)
{
    const std::lock_guard lock(m_mutex);
    if (faults.isStale && !m_faults.isStale)
        m_staleConfig = m_config;
    m_faults = faults;
    m_changed.notify_all();
}

PlatformFaults PlatformStandIn::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

std::uint64_t PlatformStandIn::reads() const
{
    const std::lock_guard lock(m_mutex);
    return m_reads;
}

Json::Value PlatformStandIn::counts() const
{
    const std::lock_guard lock(m_mutex);
    Json::Value document;
    document["kind"] = "platform";
    document["revision"] = Json::UInt64(m_config.revision);
    document["reads"] = Json::UInt64(m_reads);
    document["waiting"] = Json::UInt64(m_waiting);
    document["mostReadsInASecond"] = Json::UInt64(m_mostReadsInASecond);
    return document;
}

const PublishedConfig &PlatformStandIn::visibleConfig() const
{
    return m_faults.isStale ? m_staleConfig : m_config;
}

void PlatformStandIn::countRead()
{
    const std::int64_t second
        = std::chrono::steady_clock::now().time_since_epoch() / std::chrono::seconds(1);
    if (second != m_second)
        m_readsThisSecond = 0;
    m_second = second;
    ++m_reads;
    m_mostReadsInASecond = std::max(m_mostReadsInASecond, ++m_readsThisSecond);
}

HttpReply PlatformStandIn::handle(const HttpRequest &request)
{
    if (request.path == "/_control")
        return control(request);
    if (request.path == "/_counts")
        return jsonReply(counts());
    std::unique_lock lock(m_mutex);
    countRead();
    m_changed.wait_for(lock, m_faults.delay, [this] { return m_stopping; });
    HttpReply reply;
    if (request.path == "/v1/config")
        reply = config(request, lock);
    else if (request.path == "/v1/vms")
        reply = vms();
    else
        reply.status = 404;
    reply.isClosing = m_stopping || m_faults.isDown;
    return reply;
}

HttpReply PlatformStandIn::config(const HttpRequest &request, std::unique_lock<std::mutex> &lock)
{
    const std::uint64_t after = request.number("after", 0);
    const std::uint64_t wait = std::min(request.number("wait", 0), LongestWatchSeconds);
    ++m_waiting;
    m_changed.wait_for(lock, std::chrono::seconds(wait), [this, after] {
        return m_stopping || m_faults.isDown || visibleConfig().revision > after;
    });
    --m_waiting;
    HttpReply reply;
    reply.status = 304;
    if (visibleConfig().revision <= after)
        return reply;
    Json::Value document;
    document["revision"] = Json::UInt64(visibleConfig().revision);
    document["text"] = visibleConfig().text;
    return jsonReply(document);
}

HttpReply PlatformStandIn::vms() const
{
    Json::Value document;
    document["revision"] = Json::UInt64(m_vmsRevision);
    document["vms"] = Json::Value(Json::arrayValue);
    for (const PublishedVm &published : m_vms) {
        Json::Value vm;
        vm["id"] = published.id;
        vm["state"] = published.isLeaving ? "leaving" : "live";
        document["vms"].append(vm);
    }
    return jsonReply(document);
}

HttpReply PlatformStandIn::control(const HttpRequest &request)
{
    const Json::Value document = jsonOf(request.body);
    PlatformFaults faults = this->faults();
    std::uint64_t delayMs = static_cast<std::uint64_t>(faults.delay / std::chrono::milliseconds(1));
    take(document, "delayMs", delayMs);
    faults.delay = std::chrono::milliseconds(delayMs);
    take(document, "down", faults.isDown);
    take(document, "stale", faults.isStale);
    setFaults(faults);
    if (document["text"].isString())
        publish(document["text"].asString());
    std::vector<PublishedVm> published;
    for (const Json::Value &vm : document["vms"])
        published.push_back({vm["id"].asString(), vm["state"].asString() == "leaving"});
    if (document["vms"].isArray())
        publishVms(std::move(published));
    return jsonReply(Json::Value(Json::objectValue), document.isObject() ? 200 : 400);
}

} // namespace Apricothook
