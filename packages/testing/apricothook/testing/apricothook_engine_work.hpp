#pragma once

#include <apricothook/testing/apricothook_answer_bytes.hpp>
#include <apricothook/testing/apricothook_engine_options.hpp>
#include <apricothook/testing/apricothook_prefix_cache.hpp>
#include <apricothook/testing/apricothook_run_counts.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace Apricothook {

/** One request inside an engine, and the bytes of its answer so far. */
struct EngineStream
{
    enum class State {
        Waiting,
        Running,
        Whole,
        Cancelled,
        Lost, ///< The engine crashed.
    };

    std::string id;
    std::string key;
    CompletionRequest request;
    std::vector<PrefixHash> blocks;
    State state = State::Waiting;
    std::string bytes;
    std::uint64_t cachedTokens = 0;
    double prefillLeft = 0;
    double prefillDone = 0;
    double decodeCredit = 0;
    std::uint32_t outputTokens = 0;
    Instant ended {};
    /** Wakes those who wait for more bytes. */
    std::condition_variable changed;

    bool isEnded() const { return state != State::Waiting && state != State::Running; }
};

struct EngineLoad
{
    Instant at {};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t kvTokensUsed = 0;
};

struct PublishedCacheChange
{
    std::uint64_t sequence = 0;
    Instant visibleAt {};
    CacheChange change;
};

enum class Admission { Accepted, Full, UnknownModel };

/** The work inside one engine: continuous batching, prefix cache, streams. Not thread-safe. */
class EngineWork
{
public:
    explicit EngineWork(EngineOptions options);

    Admission accept(const std::string &id, const std::string &key, CompletionRequest request);
    /** The stream with that id, or null. */
    std::shared_ptr<EngineStream> find(const std::string &id) const;
    bool cancel(const std::string &id, Instant now);
    /** Works from the last call until `now`. */
    void advance(Instant now, double straggler);
    /** Loses all streams and the cache, and takes a new boot number. */
    void crash(Instant now);

    /** True once after the marker's prefill began. */
    bool takeCrashWish();
    EngineLoad loadAt(Instant moment) const;
    std::vector<PublishedCacheChange> cacheChanges(std::uint64_t after, Instant now) const;
    /** Wakes all who wait for the bytes of any stream. */
    void wakeAll();
    bool hasPrefix(PrefixHash prefix) const { return m_cache.contains(prefix); }
    void importPrefix(PrefixHash prefix, Instant now);
    std::uint64_t boot() const { return m_boot; }
    const EngineOptions &options() const { return m_options; }
    RunCounts &counts() { return m_counts; }
    /** Tokens read for requests that ended without a whole answer. */
    double wastedPrefill() const { return m_wastedPrefill; }
    double prefill() const { return m_prefill; }
    /** Tokens read for each idempotency key, all its runs together. */
    const std::map<std::string, double> &prefillByKey() const { return m_prefillByKey; }
    std::uint64_t cachedTokens() const { return m_cachedTokens; }

private:
    using Stream = std::shared_ptr<EngineStream>;

    void startWaiting();
    void prefill(double seconds, Instant now);
    void decode(double seconds, Instant now);
    void decodeOne(EngineStream &stream, double tokens, Instant now);
    void end(EngineStream &stream, EngineStream::State state, Instant now);
    void publish(const std::vector<CacheChange> &changes, Instant now);
    void recordLoad(Instant now);
    void forgetOld(Instant now);

    EngineOptions m_options;
    std::mt19937_64 m_random;
    PrefixCache m_cache;
    std::unordered_map<std::string, Stream> m_streams;
    std::deque<Stream> m_waiting;
    std::vector<Stream> m_running;
    std::deque<EngineLoad> m_loads;
    std::deque<PublishedCacheChange> m_changes;
    RunCounts m_counts;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_boot;
    Instant m_last {};
    bool m_crashWish = false;
    double m_wastedPrefill = 0;
    double m_prefill = 0;
    std::map<std::string, double> m_prefillByKey;
    std::uint64_t m_cachedTokens = 0;
};

} // namespace Apricothook
