#pragma once

#include <apricothook/ports/apricothook_core_event.hpp>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Apricothook {

/** An event for one life of a daemon of the bench. */
struct EventFor
{
    std::size_t daemon = 0;
    std::uint64_t life = 0;
    CoreEvent event;
};

/** How a fake target treats a new request. */
enum class TargetMode {
    Serves,
    Refuses,     ///< Proves that it did not run it.
    Unreachable, ///< No connection, so no byte was sent.
    Crashes,     ///< Runs it and breaks the connection without an answer.
    Straggles,   ///< Runs it, for longer than anybody waits.
};

/**
 * The targets, and what the target adapter tells the core of them: counts the runs of each key,
 * and answers only when told.
 */
class FakeTargets
{
public:
    /** Somebody who reads the answer of a run through a daemon's adapter. */
    struct Reader
    {
        std::size_t daemon = 0;
        std::uint64_t life = 0;
        DispatchOrder order;
    };
    struct Run
    {
        std::string key;
        std::string body;
        TargetId target;
        ServiceKind kind = ServiceKind::Plain;
        Instant began {};
        std::vector<Reader> readers;
        std::size_t given = 0; ///< Bytes of the answer that were written.
        bool isEnded = false;  ///< At the target.
        bool isSilent = false; ///< Its connection was lost track of between the two ends.
        bool isSlow = false;
    };

    /** What the target of a run answers; differs for each body. */
    static std::string answerTo(const std::string &body) { return "answer to " + body; }

    bool isRingFull = false;
    int refusedOrders = 0; ///< Requests that came while the ring was full.
    /** Open runs are answered as time passes. */
    bool answersAlone = false;
    std::map<TargetId, TargetMode> modes;
    /** The target that gets this key takes the mode just before. */
    std::string trappedKey;
    TargetMode trap = TargetMode::Serves;
    /** How often each key was proved not to have run. */
    std::map<std::string, int> notRun;
    std::vector<Run> runs;
    std::deque<EventFor> events;

    bool order(std::size_t daemon, std::uint64_t life, TargetOrder order, Instant now);
    void advance(Instant now);
    void writeHalf(Run &run);
    void answer(Run &run);
    /** All connections to the target break; its open runs are lost. */
    void crash(const TargetId &target);
    /** Open runs at the target won't end in time. */
    void straggle(const TargetId &target);
    /** Connections go silent: those that are open, and the next one. */
    void loseConnections();
    /** The readers of a daemon that died are gone; runs go on. */
    void forgetDaemon(std::size_t daemon);
    std::size_t runsOf(const std::string &key) const;
    bool hasOpenRun() const;

private:
    bool m_losesNext = false;
    void takeTrap(const DispatchOrder &order);
    void dispatch(std::size_t daemon, std::uint64_t life, DispatchOrder order, Instant now);
    void resume(const Reader &reader);
    void cancel(std::size_t daemon, DispatchId dispatch);
    void end(const Reader &reader, RunEnd end, bool isProvenNotRun = false);
    void endAll(Run &run, RunEnd end);
    void meetDeadlines(Run &run, Instant now);
};

} // namespace Apricothook
