#pragma once

#include "apricothook_dispatch_bench.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace Apricothook {

/** Daemons of one cell that share a target and report their load to each other, in virtual time. */
class EmulatedTurnFleet
{
public:
    /** As CellExchange::ReportDelay. */
    static constexpr std::chrono::milliseconds ReportDelay {25};
    static constexpr std::chrono::milliseconds Transmission {5};
    static constexpr std::chrono::milliseconds HeartbeatInterval {1000};
    static inline const TargetId Target = TargetId("t");

    /** Whether a report that is sent now is lost on the way. */
    using Loss = std::function<bool(std::size_t from, std::size_t to)>;

    EmulatedTurnFleet(std::size_t daemons, std::uint32_t slots);

    void setLoss(Loss loss) { m_loss = std::move(loss); }
    /** Submits a request that may wait for some seconds. */
    void offer(std::size_t daemon);
    void finish(std::size_t daemon);
    void cancel(std::size_t daemon, std::uint64_t request);
    /** Advances by steps of one millisecond. */
    void run(std::chrono::milliseconds time);
    DispatchBench &daemon(std::size_t daemon) { return *m_daemons[daemon]->bench; }
    /** Daemons other than `except` in the order of their turns at the target. */
    std::vector<std::size_t> order(std::size_t except) const;
    /** Requests that all daemons but `except` have placed. */
    std::size_t placedByOthers(std::size_t except) const;
    Instant now() const { return m_daemons.front()->bench->clock.now(); }

private:
    struct Report
    {
        Instant arrives {};
        std::size_t from = 0;
        std::size_t to = 0;
        std::vector<TargetLoad> loads;
        std::vector<QueueLength> waiting;
    };

    struct Daemon
    {
        std::unique_ptr<DispatchBench> bench;
        std::vector<TargetLoad> lastLoad;
        std::vector<QueueLength> lastWaiting;
        std::optional<Instant> reportDue;
        std::optional<Instant> reviewDue;
        Instant nextHeartbeat {};
    };

    static std::uint64_t memberOf(std::size_t daemon) { return daemon + 1; }
    void step(std::size_t daemon);
    void sendReport(std::size_t daemon);
    void deliver(std::size_t daemon);

    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<Report> m_reports;
    Loss m_loss = [](std::size_t, std::size_t) { return false; };
    std::uint64_t m_requests = 0;
};

} // namespace Apricothook
