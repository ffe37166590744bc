#include <apricothook/steward/internal/apricothook_target_ledger.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

/** Work of others that a report shows is counted this long. */
constexpr Duration ForeignLife = std::chrono::seconds(2);
/** Prefill of others is little when it is less than one in so many of the own tokens. */
constexpr std::uint32_t LeastAheadShare = 4;
constexpr double OverdueRatio = 2.0;
constexpr Duration OverdueSlack = std::chrono::seconds(1);

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

Duration timeUntil(Instant end, Instant now)
{
    return end > now ? std::chrono::duration_cast<Duration>(end - now) : Duration();
}

std::uint32_t sharedSlots(std::uint32_t slots, double share)
{
    return std::max(1U, static_cast<std::uint32_t>(slots * share));
}

} // namespace

TargetLedger::TargetLedger(const Target &target, const StewardPolicy &policy)
    : m_policy(policy)
    , m_target(target)
    , m_speed(target.prefillRate, target.decodeRate)
    , m_belief(target.kvTokens)
{
}

void TargetLedger::configure(const Target &target)
{
    const bool isOther = target.vm != m_target.vm || target.address != m_target.address
        || target.hardwareGeneration != m_target.hardwareGeneration;
    if (isOther || target.prefillRate != m_target.prefillRate
        || target.decodeRate != m_target.decodeRate)
        m_speed = Speed(target.prefillRate, target.decodeRate);
    if (isOther) {
        m_health = TargetHealth();
        m_belief.clear();
    }
    m_target = target;
    m_belief.setCapacity(target.kvTokens);
}

bool TargetLedger::serves(const ModelId &model) const
{
    const std::vector<ModelId> &models = m_target.models;
    return model.isEmpty() || models.empty()
        || std::find(models.begin(), models.end(), model) != models.end();
}

std::uint32_t TargetLedger::usableSlots(double share, Instant now) const
{
    const TargetHealth::State health = m_health.state(now);
    if (m_isLeaving || health == TargetHealth::State::Suspended || m_health.isPaused(now))
        return 0;
    if (health == TargetHealth::State::Trial || factor(now) > m_policy.suspectFactor)
        return 1;
    // In a partition both sides have a steward for the target. Each takes a share by the members it
    // sees; without it both would fill all slots and the work of both would miss its patience.
    const std::uint32_t slots = sharedSlots(m_target.slots, share);
    const std::uint32_t foreign = now < m_foreignUntil ? m_foreign : 0;
    return slots > foreign ? slots - foreign : 1;
}

std::uint32_t TargetLedger::freeSlots(double share, Instant now) const
{
    const std::uint32_t usable = usableSlots(share, now);
    return usable > m_running ? usable - m_running : 0;
}

bool TargetLedger::hasMemoryFor(std::uint64_t kvTokens, double share) const
{
    if (m_target.kvTokens == 0)
        return true;
    const auto usable = static_cast<std::uint64_t>(static_cast<double>(m_target.kvTokens) * share);
    const bool isAlone = m_running == 0 && kvTokens <= m_target.kvTokens;
    return isAlone || m_kvTokens + kvTokens <= usable;
}

Duration TargetLedger::prefillTime(std::uint64_t tokens) const
{
    return fromSeconds(static_cast<double>(tokens) / m_speed.prefillRate());
}

Duration TargetLedger::decodeTime(std::uint32_t outputTokens, std::uint32_t batch) const
{
    return fromSeconds(outputTokens / m_speed.decodeRate(batch));
}

Prediction TargetLedger::predict(const ReserveRequest &request, std::uint32_t cachedTokens,
                                 Instant now) const
{
    Prediction prediction;
    const double factor = this->factor(now);
    if (m_speed.isPlain()) {
        prediction.firstToken = scaled(m_speed.callTime(), factor);
        prediction.end = prediction.firstToken;
        return prediction;
    }
    prediction.cachedTokens = std::min(cachedTokens, request.promptTokens);
    prediction.prefill
        = scaled(prefillTime(request.promptTokens - prediction.cachedTokens), factor);
    prediction.firstToken = timeUntil(m_prefillUntil, now) + prediction.prefill;
    prediction.end
        = prediction.firstToken + scaled(decodeTime(request.outputTokens, m_running + 1), factor);
    return prediction;
}

Duration TargetLedger::idleTime(const ReserveRequest &request, std::uint32_t cachedTokens,
                                bool isBase, Instant now) const
{
    const std::uint32_t cached = std::min(cachedTokens, request.promptTokens);
    const Duration base = m_speed.isPlain()
        ? m_speed.callTime()
        : prefillTime(request.promptTokens - cached) + decodeTime(request.outputTokens, 1);
    return isBase ? base : scaled(base, factor(now));
}

std::uint64_t TargetLedger::prefillAhead(Instant now) const
{
    const double seconds = std::chrono::duration<double>(timeUntil(m_prefillUntil, now)).count();
    return static_cast<std::uint64_t>(seconds * m_speed.prefillRate() / factor(now));
}

double TargetLedger::occupancy() const
{
    return static_cast<double>(m_running) / std::max(m_target.slots, 1U);
}

void TargetLedger::add(const Reservation &reservation)
{
    ++m_running;
    m_peak = std::max(m_peak, m_running);
    m_kvTokens += reservation.kvTokens();
    m_prefillUntil = std::max(m_prefillUntil, reservation.prefillEnd());
    if (reservation.isLong)
        m_longUntil = std::max(m_longUntil, reservation.prefillEnd());
}

void TargetLedger::remove(const Reservation &reservation, Instant now)
{
    --m_running;
    m_kvTokens -= reservation.kvTokens();
    // Prefill that ended early, or won't happen, gives its time back to those behind it.
    const Duration left
        = std::min(timeUntil(reservation.prefillEnd(), now), reservation.prediction.prefill);
    m_prefillUntil = m_running == 0 ? now : m_prefillUntil - left;
    if (reservation.isLong && reservation.prefillEnd() >= m_longUntil)
        m_longUntil = now;
}

void TargetLedger::ended(const Reservation &reservation, const Release &release, Instant now)
{
    switch (release.end) {
    case RunEnd::Answered:
        m_health.answered();
        m_answeredAt = now;
        learn(reservation, release, now);
        break;
    case RunEnd::Refused:
        m_health.refused(now);
        break;
    case RunEnd::ConnectFailed:
    case RunEnd::Crashed:
        m_health.failed(reservation.reservedAt, now);
        m_belief.clear();
        break;
    case RunEnd::TimedOut:
        checkOverdue(reservation, now);
        break;
    case RunEnd::Cancelled:
        break;
    }
}

void TargetLedger::learn(const Reservation &reservation, const Release &release, Instant now)
{
    SpeedSample sample;
    const std::uint32_t cached = std::min(release.cachedTokens, release.promptTokens);
    sample.prefillTokens = release.promptTokens - cached + reservation.prefillAhead;
    sample.isOwnPrefill
        = reservation.prefillAhead <= (release.promptTokens - cached) / LeastAheadShare;
    sample.outputTokens = release.outputTokens;
    sample.batch = std::max(reservation.batch, m_running);
    sample.firstByte = release.firstByte;
    sample.streaming = release.streaming;
    sample.predicted = m_speed.isPlain()
        ? m_speed.callTime()
        : prefillTime(sample.prefillTokens) + decodeTime(sample.outputTokens, sample.batch);
    m_speed.learn(sample, now);
}

bool TargetLedger::checkOverdue(const Reservation &reservation, Instant now)
{
    const Duration predicted = reservation.prediction.end;
    const auto taken = std::chrono::duration_cast<Duration>(now - reservation.reservedAt);
    // An answer may just be longer than expected. Only when nothing else came from the target since
    // it should have been done is the target itself suspected.
    const bool isSilent = m_answeredAt < reservation.reservedAt + predicted;
    if (!isSilent || taken < scaled(predicted, OverdueRatio) + OverdueSlack)
        return false;
    const double before = factor(now);
    const double ratio = static_cast<double>(taken.count())
        / static_cast<double>((predicted + OverdueSlack).count());
    m_speed.overdue(ratio, now);
    return before <= m_policy.suspectFactor && factor(now) > m_policy.suspectFactor;
}

void TargetLedger::reported(const LoadReport &report, Instant now)
{
    if (!report.isReachable)
        return;
    // A report lags: it never adds room. It only shows work that isn't in this ledger, such as that
    // of a steward on the other side of a partition.
    const std::uint32_t seen = report.running + report.waiting;
    m_foreign = seen > m_peak ? seen - m_peak : 0;
    m_foreignUntil = now + ForeignLife;
    m_peak = m_running;
}

void TargetLedger::cacheChanged(const CacheEvents &events, Instant now)
{
    for (const CacheEvent &event : events.events) {
        if (event.isStored)
            m_belief.stored(event.prefix, now);
        else
            m_belief.evicted(event.prefix);
    }
}

TargetSnapshot TargetLedger::snapshot(double share, Instant now) const
{
    TargetSnapshot snapshot;
    snapshot.target = m_target.id;
    snapshot.running = m_running;
    snapshot.usableSlots = usableSlots(share, now);
    snapshot.kvTokensUsed = m_kvTokens;
    snapshot.prefillRate = m_speed.isPlain() ? 0 : m_speed.prefillRate();
    snapshot.decodeRate = m_speed.isPlain() ? 0 : m_speed.decodeRate(m_running);
    snapshot.stragglerFactor = factor(now);
    const TargetHealth::State health = m_health.state(now);
    if (m_isLeaving)
        snapshot.condition = TargetCondition::Leaving;
    else if (health == TargetHealth::State::Suspended)
        snapshot.condition = TargetCondition::Suspended;
    else if (health == TargetHealth::State::Trial)
        snapshot.condition = TargetCondition::Trial;
    else if (snapshot.stragglerFactor > m_policy.suspectFactor)
        snapshot.condition = TargetCondition::Straggling;
    return snapshot;
}

} // namespace Apricothook
