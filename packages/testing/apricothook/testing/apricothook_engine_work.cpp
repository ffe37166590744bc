#include <apricothook/testing/apricothook_engine_work.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr Duration StreamKept = std::chrono::seconds(60);
constexpr std::size_t CacheEventsAtATime = 500;
constexpr std::size_t CacheEventsKept = 20000;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

EngineWork::EngineWork(EngineOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_cache(m_options.kvTokens / PrefixBlockTokens)
    , m_boot(std::random_device()() | 1)
{
}

Admission EngineWork::accept(const std::string &id, const std::string &key,
                             CompletionRequest request)
{
    const bool knowsModel = m_options.models.empty() || m_options.models.contains(request.model);
    if (!knowsModel || m_waiting.size() >= m_options.waitingLimit) {
        ++m_counts.of(key).refused;
        return knowsModel ? Admission::Full : Admission::UnknownModel;
    }
    ++m_counts.of(key).accepted;
    auto stream = std::make_shared<EngineStream>();
    stream->id = id;
    stream->key = key;
    stream->blocks = prefixHashes(request.prompt);
    stream->request = std::move(request);
    m_streams[id] = stream;
    m_waiting.push_back(std::move(stream));
    return Admission::Accepted;
}

EngineWork::Stream EngineWork::find(const std::string &id) const
{
    const auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : found->second;
}

bool EngineWork::cancel(const std::string &id, Instant now)
{
    const Stream stream = find(id);
    if (!stream)
        return false;
    if (!stream->isEnded()) {
        end(*stream, EngineStream::State::Cancelled, now);
        std::erase(m_waiting, stream);
        std::erase(m_running, stream);
    }
    return true;
}

void EngineWork::advance(Instant now, double straggler)
{
    const double seconds = m_last == Instant {} ? 0 : secondsOf(now - m_last) / straggler;
    m_last = now;
    decode(seconds, now);
    prefill(seconds, now);
    startWaiting();
    recordLoad(now);
    forgetOld(now);
}

void EngineWork::startWaiting()
{
    while (m_running.size() < m_options.slots && !m_waiting.empty()) {
        const Stream stream = m_waiting.front();
        m_waiting.pop_front();
        stream->state = EngineStream::State::Running;
        stream->cachedTokens = m_cache.touch(stream->blocks) * PrefixBlockTokens;
        m_cachedTokens += stream->cachedTokens;
        stream->prefillLeft = promptTokens(stream->request) - double(stream->cachedTokens);
        ++m_counts.of(stream->key).runs;
        const std::string &marker = m_options.crashMarker;
        if (!marker.empty() && stream->request.prompt.find(marker) != std::string::npos)
            m_crashWish = true;
        m_running.push_back(stream);
    }
}

void EngineWork::prefill(double seconds, Instant now)
{
    double budget = seconds * m_options.prefillRate;
    for (const Stream &stream : m_running) {
        if (stream->prefillLeft <= 0 || budget <= 0)
            continue;
        const double read = std::min(budget, stream->prefillLeft);
        budget -= read;
        stream->prefillLeft -= read;
        stream->prefillDone += read;
        m_prefill += read;
        m_prefillByKey[stream->key] += read;
        if (stream->prefillLeft > 0)
            break;
        publish(m_cache.store(stream->blocks), now);
        stream->decodeCredit = 1; // The first token comes with the end of the prefill.
    }
}

void EngineWork::decode(double seconds, Instant now)
{
    const double fill = m_options.slots > 1 && !m_running.empty()
        ? double(m_running.size() - 1) / (m_options.slots - 1)
        : 0;
    const double rate = m_options.decodeRate * (1 - m_options.fullBatchSlowdown * fill);
    for (const Stream &stream : m_running) {
        if (stream->prefillLeft <= 0)
            decodeOne(*stream, seconds * rate, now);
    }
    std::erase_if(m_running, [](const Stream &stream) { return stream->isEnded(); });
}

void EngineWork::decodeOne(EngineStream &stream, double tokens, Instant now)
{
    stream.decodeCredit += tokens;
    if (stream.decodeCredit < 1)
        return;
    while (stream.decodeCredit >= 1 && stream.outputTokens < stream.request.maxTokens) {
        stream.bytes += tokenEvent(stream.request, stream.outputTokens++);
        stream.decodeCredit -= 1;
    }
    if (stream.outputTokens == stream.request.maxTokens) {
        stream.bytes += closingEvents(stream.request, stream.cachedTokens);
        end(stream, EngineStream::State::Whole, now);
    }
    stream.changed.notify_all();
}

void EngineWork::wakeAll()
{
    for (const auto &[id, stream] : m_streams)
        stream->changed.notify_all();
}

void EngineWork::end(EngineStream &stream, EngineStream::State state, Instant now)
{
    stream.state = state;
    stream.ended = now;
    if (state == EngineStream::State::Whole)
        ++m_counts.of(stream.key).whole;
    else
        m_wastedPrefill += stream.prefillDone;
    stream.changed.notify_all();
}

void EngineWork::crash(Instant now)
{
    wakeAll();
    for (const auto &[id, stream] : m_streams) {
        if (!stream->isEnded())
            end(*stream, EngineStream::State::Lost, now);
    }
    m_streams.clear();
    m_waiting.clear();
    m_running.clear();
    m_changes.clear();
    m_cache.clear();
    ++m_boot;
    m_crashWish = false;
}

bool EngineWork::takeCrashWish()
{
    return std::exchange(m_crashWish, false);
}

void EngineWork::publish(const std::vector<CacheChange> &changes, Instant now)
{
    std::uniform_real_distribution<double> chance(0, 1);
    for (const CacheChange &change : changes) {
        ++m_sequence;
        if (chance(m_random) >= m_options.cacheEventGap)
            m_changes.push_back({m_sequence, now + m_options.cacheEventLag, change});
    }
    while (m_changes.size() > CacheEventsKept)
        m_changes.pop_front();
}

void EngineWork::importPrefix(PrefixHash prefix, Instant now)
{
    publish(m_cache.store({prefix}), now);
}

std::vector<PublishedCacheChange> EngineWork::cacheChanges(std::uint64_t after, Instant now) const
{
    std::vector<PublishedCacheChange> visible;
    for (const PublishedCacheChange &change : m_changes) {
        if (change.sequence <= after || change.visibleAt > now)
            continue;
        visible.push_back(change);
        if (visible.size() == CacheEventsAtATime)
            break;
    }
    return visible;
}

void EngineWork::recordLoad(Instant now)
{
    EngineLoad load {now, static_cast<std::uint32_t>(m_running.size()),
                     static_cast<std::uint32_t>(m_waiting.size()), 0};
    for (const Stream &stream : m_running)
        load.kvTokensUsed += promptTokens(stream->request) + stream->outputTokens;
    m_loads.push_back(load);
    while (m_loads.size() > 1 && m_loads[1].at <= now - m_options.loadLag)
        m_loads.pop_front();
}

EngineLoad EngineWork::loadAt(Instant moment) const
{
    EngineLoad found;
    for (const EngineLoad &load : m_loads) {
        if (load.at <= moment)
            found = load;
    }
    return found;
}

void EngineWork::forgetOld(Instant now)
{
    std::erase_if(m_streams, [now](const auto &entry) {
        return entry.second->isEnded() && entry.second->ended + StreamKept < now;
    });
}

} // namespace Apricothook
