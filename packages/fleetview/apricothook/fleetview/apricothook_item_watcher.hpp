#pragma once

#include <apricothook/fleetview/apricothook_item_protocol.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace Apricothook {

class BlockingHttpClient;

/** Result of a watcher's last call to the source. */
enum class SourceState { Reachable, Unreachable, Refusing };

/**
 * Watches the published items at their source in a dedicated thread. Reads all items once, then
 * waits for changes with long polls, and reads all items again if it has missed changes.
 */
class ItemWatcher
{
public:
    /** Longest time that the source may hold a long poll open. */
    static constexpr std::chrono::milliseconds LongestWatch {2000};
    static constexpr std::chrono::milliseconds ShortestWatch {200};
    /** Time that other daemons need to hear of a reader's failure and to read in its place. */
    static constexpr std::chrono::milliseconds FailoverTime {300};
    /**
     * Time until the response begins, in addition to the time that the source may hold the call
     * open, and longest pause within the response.
     */
    static constexpr std::chrono::milliseconds AnswerTime {700};
    static constexpr std::chrono::milliseconds ConnectTimeout {500};
    /**
     * Pause after a response with changes, so that further changes that follow closely share the
     * next call. Compared with 100 ms, it saves a fifth of the calls in large fleets with many
     * changes.
     */
    static constexpr std::chrono::milliseconds BatchDelay {250};
    /** Pause after a failed call, as all daemons share the source's rate limit. */
    static constexpr std::chrono::milliseconds RetryInterval {150};

    using Updated = std::function<void(ItemUpdate)>;
    /** All changes that had been published at this time have been passed on. */
    using Confirmed = std::function<void(Instant)>;
    /** The record tells how the call ended that found the state. */
    using StateChanged = std::function<void(SourceState, const TransferRecord &)>;

    /** Time for a confirmation of a reader to reach the other daemons: a heartbeat and a half. */
    static constexpr std::chrono::milliseconds SpreadTime {300};

    /**
     * Longest time for which a long poll may be held open so that a change takes effect within
     * `inForce` even if the reader's connection stalls. `inForce` must cover the pause before the
     * poll, the poll, its timeout and the failover to another reader. Between two polls the view of
     * no daemon may get older than ViewAge::limit(), or all of them would read at the source.
     */
    static std::chrono::milliseconds watchTime(Duration inForce);

    /** `updated`, `confirmed` and `stateChanged` are called on the watcher's thread. */
    ItemWatcher(const Endpoint &source, const ItemProtocol &protocol, const Clock &clock,
                std::chrono::milliseconds watchTime, Updated updated, Confirmed confirmed,
                StateChanged stateChanged);
    ~ItemWatcher();
    ItemWatcher(const ItemWatcher &) = delete;
    ItemWatcher &operator=(const ItemWatcher &) = delete;

    /** Longest time that a call continues after stop(). */
    static constexpr std::chrono::milliseconds StopTime {1000};

    /** Makes the thread end within StopTime; afterwards the destructor doesn't block. */
    void stop();
    /** Completes the current call and starts no other one. */
    void pauseReading();
    /**
     * Resumes reading after `known`, the revision up to which all changes have been received from
     * peers, or zero if none have. A new watcher isn't paused.
     */
    void resumeReading(Revision known);

private:
    void run();
    /** Returns false if the call failed. */
    bool readAll();
    bool watchOnce();
    void reportState(SourceState state, const TransferRecord &record);
    /** Reports that a call failed; without a response, the source is unreachable. */
    void reportFailure(const Transfer &transfer, ItemProtocolError error);
    void pauseAfterFailure();
    /** Blocks while reading is paused. */
    void waitWhilePaused();

    /** Time for which the next poll may be held open. */
    std::chrono::milliseconds nextWait() const;
    void confirm(Instant time);
    std::chrono::milliseconds confirmedAge() const;

    const ItemProtocol &m_protocol;
    const Clock &m_clock;
    const std::chrono::milliseconds m_watchTime;
    const Updated m_updated;
    const Confirmed m_confirmed;
    const StateChanged m_stateChanged;
    const std::unique_ptr<BlockingHttpClient> m_client;
    std::optional<SourceState> m_state;
    Instant m_confirmedAt {};
    /** Empty if all items must be read. */
    std::optional<Revision> m_revision;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_isPaused = false;
    /** Passed from resumeReading() to the thread. */
    std::optional<Revision> m_resumedFrom;
    std::thread m_thread;
};

} // namespace Apricothook
