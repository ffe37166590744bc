#pragma once

#include <apricothook/testing/load/apricothook_load_client.hpp>
#include <apricothook/testing/load/apricothook_load_ledger.hpp>
#include <apricothook/testing/load/apricothook_load_mix.hpp>
#include <apricothook/testing/load/apricothook_load_router.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Apricothook {

struct LoadPlan
{
    double rate = 10;
    Duration length = std::chrono::seconds(20);
    /** How long to wait for open requests after the last arrival. */
    Duration drain = std::chrono::seconds(60);
    std::uint64_t seed = 1;
    /** Arrivals come this many times as often between these moments. */
    double burstFactor = 1;
    Duration burstStart {};
    Duration burstEnd {};
};

/** Sends open-loop arrivals, resends as callers do, and fills the ledger. */
class LoadRun
{
public:
    LoadRun(const LoadMix &mix, LoadPlan plan, LoadRouter &router);
    /** Returns after the plan's length and the drain; `progress` is called each second. */
    void run(const std::function<void(int second, std::size_t open)> &progress);
    const LoadLedger &ledger() const { return m_ledger; }
    LoadClient &client() { return m_client; }

private:
    using Request = std::shared_ptr<const LoadRequest>;

    struct AttemptPlan
    {
        Request request;
        std::string key;
        int number = 0;
        bool isProbe = false; ///< A resend of a caller who didn't need to.
        bool isConflict = false;
    };

    bool waitUntilReady();
    void arrive(Instant now);
    void send(const AttemptPlan &plan);
    void onAnswer(const AttemptPlan &plan, const LoadAnswer &answer, bool isAbandoned);
    void resendLater(const AttemptPlan &plan, const Attempt &attempt);
    void later(Duration delay, std::function<void()> action);
    void runDue(Instant now);

    LoadPlan m_plan;
    LoadRouter &m_router;
    LoadSource m_source;
    LoadLedger m_ledger;
    LoadClient m_client;
    std::mt19937_64 m_random;
    std::multimap<Instant, std::function<void()>> m_due;
    std::map<std::string, Instant> m_deadlines;
    std::uint64_t m_count = 0;
    std::size_t m_open = 0;
};

} // namespace Apricothook
