#include <apricothook/steward/internal/apricothook_fair_queue.hpp>

#include <algorithm>
#include <bit>
#include <iterator>

namespace Apricothook {

namespace {

/** Idle customers beyond this many are forgotten once their debt is paid. */
constexpr std::size_t KeptFlows = 256;

} // namespace

FairQueue::Flow &FairQueue::flowOf(const CustomerId &customer, double weight)
{
    if (m_flows.size() >= KeptFlows && !m_flows.contains(customer))
        prune();
    Flow &flow = m_flows[customer];
    if (flow.isEmpty()) {
        flow.customer = customer;
        flow.weight = weight;
        // A customer that was away gets no credit for it: it could flood the queue with it.
        flow.start = std::max(flow.start, m_virtualTime);
    }
    return flow;
}

void FairQueue::push(WaitingRequest &request, double weight)
{
    Flow &flow = flowOf(request.request.customer, weight);
    if (flow.isEmpty()) {
        m_order.insert(&flow);
        m_activeWeight += flow.weight;
    }
    std::list<WaitingRequest *> &lane = request.isLong ? flow.longOnes : flow.shortOnes;
    request.place = lane.insert(lane.end(), &request);
    flow.work += request.slotTime;
    account(request, true);
}

void FairQueue::remove(WaitingRequest &request)
{
    Flow &flow = m_flows.at(request.request.customer);
    (request.isLong ? flow.longOnes : flow.shortOnes).erase(request.place);
    flow.work -= request.slotTime;
    if (flow.isEmpty()) {
        m_order.erase(&flow);
        m_activeWeight -= flow.weight;
    }
    account(request, false);
}

void FairQueue::account(const WaitingRequest &request, bool isAdded)
{
    m_size += isAdded ? 1 : -1;
    m_work += isAdded ? request.slotTime : -request.slotTime;
    for (TargetMask rest = request.candidates; rest != 0; rest &= rest - 1) {
        const int bit = std::countr_zero(rest);
        std::uint32_t &count = m_waitingFor[static_cast<std::size_t>(bit)];
        count += isAdded ? 1 : -1;
        const TargetMask mask = TargetMask(1) << bit;
        m_candidates = count > 0 ? m_candidates | mask : m_candidates & ~mask;
    }
}

void FairQueue::charge(const CustomerId &customer, double weight, double cost)
{
    Flow &flow = flowOf(customer, weight);
    const bool isWaiting = !flow.isEmpty();
    if (isWaiting)
        m_order.erase(&flow);
    m_virtualTime = std::max(m_virtualTime, flow.start);
    flow.start += cost / flow.weight;
    if (isWaiting)
        m_order.insert(&flow);
}

std::vector<WaitingRequest *> FairQueue::heads(TargetMask open, const Limits &limits,
                                               const FitsWell &fitsWell) const
{
    std::vector<WaitingRequest *> heads;
    std::size_t flows = 0;
    for (const Flow *flow : m_order) {
        if (flows++ >= limits.tries)
            break;
        const auto first = static_cast<std::ptrdiff_t>(heads.size());
        for (const auto *lane : {&flow->longOnes, &flow->shortOnes}) {
            const std::size_t count = std::min(lane->size(), limits.lookAhead);
            std::copy_n(lane->begin(), count, std::back_inserter(heads));
        }
        const auto isOverdue
            = [&](const WaitingRequest *r) { return r->bypassed >= limits.bypasses; };
        const auto isFirst = [&](const WaitingRequest *r) {
            return isOverdue(r) || !fitsWell || fitsWell(*r, open);
        };
        std::stable_sort(heads.begin() + first, heads.end(),
                         [](const auto *a, const auto *b) { return a->arrived < b->arrived; });
        const auto rest = std::stable_partition(heads.begin() + first, heads.end(), isFirst);
        std::stable_partition(heads.begin() + first, rest, isOverdue);
    }
    return heads;
}

bool FairQueue::serveOne(TargetMask &open, const Limits &limits, const Place &place,
                         const FitsWell &fitsWell)
{
    const std::vector<WaitingRequest *> offered = heads(open, limits, fitsWell);
    for (std::size_t index = 0; index < offered.size(); ++index) {
        WaitingRequest *head = offered[index];
        const TargetMask usable = head->candidates & open;
        if (usable != 0 && place(*head, usable)) {
            const double cost = head->cost;
            const CustomerId customer = head->request.customer;
            const double weight = m_flows.at(customer).weight;
            for (std::size_t other = 0; other < offered.size(); ++other) {
                const bool isOlder = offered[other]->request.customer == customer
                    && offered[other]->arrived <= head->arrived;
                if (other != index && (other < index || isOlder))
                    ++offered[other]->bypassed;
            }
            remove(*head);
            charge(customer, weight, cost);
            return true;
        }
        // Small requests may take what a large one can't use yet, but only so often: without a
        // bound a steady flow of small ones would starve the large one for good.
        if (head->bypassed >= limits.bypasses)
            open &= ~head->candidates;
    }
    return false;
}

TargetMask FairQueue::serve(TargetMask open, const Limits &limits, const Place &place,
                            const FitsWell &fitsWell)
{
    TargetMask mine = open;
    while (m_size > 0 && (mine & m_candidates) != 0 && serveOne(mine, limits, place, fitsWell)) { }
    // Whatever still waits here goes before lower tiers on the targets that it could use.
    return open & ~m_candidates;
}

Duration FairQueue::workAhead(const CustomerId &customer, double weight) const
{
    const auto found = m_flows.find(customer);
    const bool isActive = found != m_flows.end() && !found->second.isEmpty();
    const Duration own = isActive ? found->second.work : Duration();
    const double active = m_activeWeight + (isActive ? 0.0 : weight);
    const double shared = static_cast<double>(own.count()) * active / std::max(weight, 1e-9);
    const auto bound = static_cast<double>(m_work.count());
    return Duration(static_cast<Duration::rep>(std::min(shared, bound)));
}

WaitingRequest *FairQueue::leastEntitled() const
{
    const auto debt
        = [](const Flow &flow) { return static_cast<double>(flow.work.count()) / flow.weight; };
    const Flow *most = nullptr;
    for (const Flow *flow : m_order) {
        if (!most || debt(*flow) > debt(*most))
            most = flow;
    }
    if (!most)
        return nullptr;
    return most->shortOnes.empty() ? most->longOnes.back() : most->shortOnes.back();
}

void FairQueue::prune()
{
    std::erase_if(m_flows, [this](const auto &entry) {
        return entry.second.isEmpty() && entry.second.start <= m_virtualTime;
    });
}

} // namespace Apricothook
