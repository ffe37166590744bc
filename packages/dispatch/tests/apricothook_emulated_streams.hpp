#pragma once

#include <apricothook_emulated_limits.hpp>

#include <apricothook/dispatch/apricothook_stream_origin_exchange.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Apricothook {

/** Streams that callers took up again. */
struct ResumptionCounts
{
    std::size_t streams = 0;
    /** Broken and taken up, and of these those that went on. */
    std::size_t takenUp = 0;
    std::size_t wentOn = 0;
    /** Went on at another version than the one that began them. */
    std::size_t mixed = 0;
    /** Messages between daemons that were delivered. */
    std::size_t messages = 0;
};

/**
 * Daemons that begin streams at targets of several versions, and callers that take up what breaks,
 * in virtual time. Each daemon begins and takes up streams as the gateway does. The network between
 * the daemons is that of EmulatedLimits.
 */
class EmulatedStreams
{
public:
    static constexpr std::chrono::seconds Lifetime {15};
    /** Time until a caller takes up a broken stream, and between its further attempts. */
    static constexpr std::chrono::milliseconds CallerPause {20};
    /** Attempts of a caller beyond the first. */
    static constexpr unsigned Resumptions = 3;

    EmulatedStreams(std::size_t daemons, double streamsPerSecond, std::uint64_t seed);
    ~EmulatedStreams();

    void run(Duration time);
    void killDaemon(std::size_t daemon);
    /** Starts the daemon anew, with empty memory. */
    void restartDaemon(std::size_t daemon);
    void setFrozen(std::size_t daemon, bool frozen);
    /** Resets the callers' connections to the daemon, which lives on. */
    void resetCallers(std::size_t daemon);
    /** The oldest version leaves and a new one takes its place. */
    void release() { ++m_release; }

    const ResumptionCounts &counts() const { return m_counts; }
    std::size_t remembered(std::size_t daemon) const;
    EmulatedLimits &fleet() { return m_fleet; }
    std::size_t size() const { return m_daemons.size(); }

private:
    struct Daemon;
    /** A stream as its caller sees it. */
    struct Stream
    {
        std::uint64_t number = 0;
        StreamOrigin origin;
        Instant ends {};
        /** The daemon that forwards it, and its process; empty while the stream is broken. */
        std::optional<std::size_t> daemon;
        std::uint64_t process = 0;
        Instant nextAttempt {};
        unsigned attempts = 0;
        bool isAsking = false;
    };

    void startDaemon(std::size_t daemon);
    void step();
    void beginStreams();
    void takeUp(std::uint64_t exchange, Stream &stream);
    void onDecided(std::size_t daemon, std::uint64_t exchange,
                   const StreamOriginDecision &decision);
    void breakStream(std::uint64_t exchange, Stream &stream);
    bool isUp(std::size_t daemon) const;
    double uniform();

    EmulatedLimits m_fleet;
    const double m_perSecond;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::map<std::uint64_t, Stream> m_streams;
    ResumptionCounts m_counts;
    double m_due = 0;
    std::uint64_t m_lastExchange = 0;
    unsigned m_release = 0;
    Instant m_lastReview {};
};

} // namespace Apricothook
