#pragma once

#include <apricothook/steward/internal/apricothook_waiting_request.hpp>

#include <array>
#include <functional>
#include <list>
#include <set>
#include <unordered_map>
#include <vector>

namespace Apricothook {

/**
 * The waiting requests of one tier, fair among customers: start-time fair queuing over token cost
 * and weight (after Goyal, Vin and Cheng, 1996). Each customer has a lane for short and one for
 * long requests, which share its tag. Doesn't own the requests.
 */
class FairQueue
{
public:
    /** Tries to place a request on one of `open`; true when it did. */
    using Place = std::function<bool(WaitingRequest &, TargetMask open)>;
    /** Whether a request loses nothing by starting on one of `open` and not elsewhere. */
    using FitsWell = std::function<bool(const WaitingRequest &, TargetMask open)>;
    struct Limits
    {
        std::size_t tries = 8;
        std::uint32_t bypasses = 8;
        /** Requests of a lane that are looked at for one that fits well. */
        std::size_t lookAhead = 1;
    };

    void push(WaitingRequest &request, double weight);
    void remove(WaitingRequest &request);
    /** Counts a request that was placed without waiting, so that it pays its share too. */
    void charge(const CustomerId &customer, double weight, double cost);
    /** Offers requests in order until none fits; returns the targets still open to lower tiers. */
    TargetMask serve(TargetMask open, const Limits &limits, const Place &place,
                     const FitsWell &fitsWell = {});

    std::size_t size() const { return m_size; }
    /** Union of the candidates of all that wait. */
    TargetMask candidates() const { return m_candidates; }
    /** Slot time of all that wait. */
    Duration work() const { return m_work; }
    /** Slot time that is served before a new request of this customer, by its fair share. */
    Duration workAhead(const CustomerId &customer, double weight) const;
    /** The latest arrival of the customer that has most waiting work; null when none waits. */
    WaitingRequest *leastEntitled() const;

private:
    struct Flow
    {
        CustomerId customer;
        double weight = 1;
        /** Tag of the next request, in tokens over weight. */
        double start = 0;
        Duration work {};
        std::list<WaitingRequest *> shortOnes;
        std::list<WaitingRequest *> longOnes;
        bool isEmpty() const { return shortOnes.empty() && longOnes.empty(); }
    };
    struct ByStart
    {
        bool operator()(const Flow *a, const Flow *b) const
        {
            return a->start != b->start ? a->start < b->start : a->customer < b->customer;
        }
    };

    Flow &flowOf(const CustomerId &customer, double weight);
    void account(const WaitingRequest &request, bool isAdded);
    std::vector<WaitingRequest *> heads(TargetMask open, const Limits &limits,
                                        const FitsWell &fitsWell) const;
    /** Places one request; false when none fits. May take targets out of `open`. */
    bool serveOne(TargetMask &open, const Limits &limits, const Place &place,
                  const FitsWell &fitsWell);
    void prune();

    std::unordered_map<CustomerId, Flow> m_flows;
    std::set<Flow *, ByStart> m_order;
    double m_virtualTime = 0;
    double m_activeWeight = 0;
    std::size_t m_size = 0;
    Duration m_work {};
    TargetMask m_candidates = 0;
    std::array<std::uint32_t, 64> m_waitingFor {};
};

} // namespace Apricothook
