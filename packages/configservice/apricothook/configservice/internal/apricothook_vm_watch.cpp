#include <apricothook/configservice/internal/apricothook_vm_watch.hpp>

#include <apricothook/configservice/apricothook_platform_event.hpp>
#include <apricothook/configservice/internal/apricothook_platform_answers.hpp>

#include <utility>

namespace Apricothook {

namespace {

constexpr Duration UntilWoken = std::chrono::hours(1);
constexpr Duration Patience = std::chrono::seconds(2);
constexpr std::size_t MaximumAnswer = 1U << 20U;
constexpr int StatusOk = 200;

} // namespace

VmWatch::VmWatch(PlatformSurroundings surroundings, std::string url, std::uint64_t seed,
                 const PlatformPaceLimits &limits, const std::atomic<bool> &stop)
    : m_surroundings(surroundings)
    , m_url(std::move(url) + "/v1/vms")
    , m_random(seed)
    , m_pace(limits.vmSpacing, limits)
    , m_http(stop)
    , m_duty([this] { return work(); })
{
}

void VmWatch::setWatching(bool isWatching)
{
    if (m_isWatching.exchange(isWatching) != isWatching)
        m_duty.wake();
}

Duration VmWatch::work()
{
    if (!m_isWatching)
        return UntilWoken;
    return read() ? m_pace.afterAnswer(m_random) : m_pace.afterFailure(m_random);
}

bool VmWatch::read()
{
    ++m_surroundings.counters.platformReads;
    const auto answer = m_http.fetch(m_url, HttpBounds {Patience, MaximumAnswer});
    if (!answer || answer.value().status != StatusOk) {
        ++m_surroundings.counters.platformFailures;
        return false;
    }
    auto list = readPlatformVms(answer.value().body);
    if (!list) {
        m_surroundings.events.record(
            {static_cast<int>(PlatformEvent::PlatformMalformed), RequestKey(), "path=/v1/vms"});
        return false;
    }
    // A list that the full core didn't take is given again at the next read.
    const std::uint64_t revision = list->revision;
    if (revision > m_givenRevision
        && m_surroundings.core.tryPost(VmListReceived {std::move(*list)}))
        m_givenRevision = revision;
    return true;
}

} // namespace Apricothook
