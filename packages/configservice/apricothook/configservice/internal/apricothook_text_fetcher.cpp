#include <apricothook/configservice/internal/apricothook_text_fetcher.hpp>

#include <apricothook/configservice/apricothook_platform_event.hpp>
#include <apricothook/configservice/internal/apricothook_text_delivery.hpp>

#include <utility>

namespace Apricothook {

namespace {

constexpr Duration UntilWoken = std::chrono::hours(1);
/** Less than the keeper waits before it turns to another member. */
constexpr Duration Patience = std::chrono::milliseconds(1800);

} // namespace

TextFetcher::TextFetcher(PlatformSurroundings surroundings, const std::atomic<bool> &stop)
    : m_surroundings(surroundings)
    , m_client(surroundings.seal, surroundings.clock, surroundings.counters, stop)
    , m_duty([this] { return work(); })
{
}

void TextFetcher::fetch(const Endpoint &peer, Generation generation, std::uint64_t textHash)
{
    {
        const std::lock_guard lock(m_mutex);
        m_wanted = Wanted {peer, generation, textHash};
    }
    m_duty.wake();
}

std::optional<TextFetcher::Wanted> TextFetcher::take()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_wanted, std::nullopt);
}

Duration TextFetcher::work()
{
    const std::optional<Wanted> wanted = take();
    if (!wanted)
        return UntilWoken;
    const auto atHand = m_surroundings.shelf.newest();
    auto text = m_client.fetchText(wanted->peer, wanted->generation, wanted->textHash, atHand.get(),
                                   Patience);
    if (text) {
        ++m_surroundings.counters.textsFetched;
        deliverText(wanted->generation, std::move(text.value()), m_surroundings.checker,
                    m_surroundings.core);
    } else {
        ++m_surroundings.counters.textFetchFailures;
        m_surroundings.events.record(
            {static_cast<int>(PlatformEvent::FetchFailed), RequestKey(),
             "peer=" + wanted->peer.text() + " reason=" + std::string(nameOf(text.error()))});
    }
    return Duration::zero();
}

} // namespace Apricothook
