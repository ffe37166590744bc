#include <apricothook/configservice/internal/apricothook_text_watch.hpp>

#include <apricothook/configservice/apricothook_text_pieces.hpp>
#include <apricothook/configservice/internal/apricothook_platform_answers.hpp>
#include <apricothook/configservice/internal/apricothook_text_delivery.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

constexpr Duration UntilWoken = std::chrono::hours(1);
/** Beyond the time that the platform may hold a watch; a connection gone silent is found then. */
constexpr Duration AnswerPatience = std::chrono::seconds(2);
/** A megabyte of text in JSON's escapes, as a fleet text has them. */
constexpr std::size_t MaximumAnswer = 3 * MaximumTextBytes;
/** A watch without news that ends sooner wasn't held open by the platform. */
constexpr Duration ShortestWatch = std::chrono::seconds(1);
constexpr int StatusOk = 200;
constexpr int StatusNotModified = 304;

} // namespace

TextWatch::TextWatch(PlatformSurroundings surroundings, std::string url, std::uint64_t seed,
                     const PlatformPaceLimits &limits, const std::atomic<bool> &stop)
    : m_surroundings(surroundings)
    , m_url(std::move(url))
    , m_limits(limits)
    , m_random(seed)
    , m_pace(limits.watchSpacing, limits)
    , m_http(stop)
    , m_duty([this] { return work(); })
{
}

void TextWatch::setWatching(bool isWatching, Generation after)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_wish.isWatching == isWatching && m_wish.after >= after)
            return;
        m_wish.after = std::max(m_wish.after, after);
        // Only a change wakes the thread: else each new generation would cut its back-off short.
        if (std::exchange(m_wish.isWatching, isWatching) == isWatching)
            return;
    }
    m_duty.wake();
}

void TextWatch::readOnce(Generation after)
{
    {
        const std::lock_guard lock(m_mutex);
        m_wish.after = std::max(m_wish.after, after);
        m_wish.wantsRead = true;
    }
    m_duty.wake();
}

TextWatch::Wish TextWatch::takeWish()
{
    const std::lock_guard lock(m_mutex);
    m_wish.after = std::max(m_wish.after, m_given);
    Wish wish = m_wish;
    m_wish.wantsRead = false;
    return wish;
}

Duration TextWatch::work()
{
    const Wish wish = takeWish();
    if (!wish.isWatching && !wish.wantsRead)
        return UntilWoken;
    const Instant start = m_surroundings.clock.now();
    const Reading reading = read(wish);
    m_surroundings.core.tryPost(PlatformReachability {reading != Reading::Failed});
    if (!wish.isWatching)
        return UntilWoken;
    // A platform that answers at once without news, or with old news, would be read at full rate.
    const bool isHeld = m_surroundings.clock.now() - start >= ShortestWatch;
    const bool isGood = reading == Reading::News || (reading == Reading::NoNews && isHeld);
    return isGood ? m_pace.afterAnswer(m_random) : m_pace.afterFailure(m_random);
}

TextWatch::Reading TextWatch::read(const Wish &wish)
{
    const Duration wait = wish.wantsRead ? Duration::zero() : m_limits.watchWait;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait).count();
    const std::string url = m_url + "/v1/config?after=" + std::to_string(wish.after.value())
        + "&wait=" + std::to_string(seconds);
    ++m_surroundings.counters.platformReads;
    const auto answer = m_http.fetch(url, HttpBounds {wait + AnswerPatience, MaximumAnswer});
    const Reading reading = answer ? understand(answer.value(), wish.after) : Reading::Failed;
    if (reading == Reading::Failed)
        ++m_surroundings.counters.platformFailures;
    return reading;
}

TextWatch::Reading TextWatch::understand(const HttpAnswer &answer, Generation after)
{
    if (answer.status == StatusNotModified)
        return Reading::NoNews;
    if (answer.status != StatusOk)
        return Reading::Failed;
    auto text = readPlatformText(answer.body);
    if (!text) {
        record(PlatformEvent::PlatformMalformed, after);
        return Reading::Failed;
    }
    if (text->generation <= after) {
        record(PlatformEvent::PlatformStale, text->generation);
        return Reading::Stale;
    }
    m_given = text->generation;
    deliverText(text->generation, std::move(text->text), m_surroundings.checker,
                m_surroundings.core);
    return Reading::News;
}

void TextWatch::record(PlatformEvent event, Generation generation)
{
    m_surroundings.events.record(
        {static_cast<int>(event), RequestKey(),
         "path=/v1/config generation=" + std::to_string(generation.value())});
}

} // namespace Apricothook
