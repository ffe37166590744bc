#include <apricothook/configservice/internal/apricothook_answer_fetcher.hpp>

#include <utility>

namespace Apricothook {

namespace {

constexpr Duration UntilWoken = std::chrono::hours(1);
constexpr Duration Patience = std::chrono::seconds(1);

} // namespace

AnswerFetcher::AnswerFetcher(PlatformSurroundings surroundings, const std::atomic<bool> &stop)
    : m_surroundings(surroundings)
    , m_client(surroundings.seal, surroundings.clock, surroundings.counters, stop)
    , m_duty([this] { return work(); })
{
}

void AnswerFetcher::fetch(const Endpoint &peer, const RequestKey &key, ExchangeId exchange)
{
    // A caller whose answer can't be fetched in its turn is told so at once.
    if (put({peer, key, exchange}))
        m_duty.wake();
    else
        m_surroundings.core.post(KeptAnswerFetched {exchange, nullptr});
}

bool AnswerFetcher::put(Wanted wanted)
{
    const std::lock_guard lock(m_mutex);
    if (m_waiting.size() >= MaximumWaiting)
        return false;
    m_waiting.push_back(std::move(wanted));
    return true;
}

std::optional<AnswerFetcher::Wanted> AnswerFetcher::take()
{
    const std::lock_guard lock(m_mutex);
    if (m_waiting.empty())
        return std::nullopt;
    Wanted wanted = std::move(m_waiting.front());
    m_waiting.pop_front();
    return wanted;
}

Duration AnswerFetcher::work()
{
    const std::optional<Wanted> wanted = take();
    if (!wanted)
        return UntilWoken;
    auto answer = m_client.fetchAnswer(wanted->peer, wanted->key, Patience);
    m_surroundings.core.post(
        KeptAnswerFetched {wanted->exchange, answer ? std::move(answer.value()) : nullptr});
    return Duration::zero();
}

} // namespace Apricothook
