#include <apricothook/dispatch/apricothook_permit_issuer.hpp>

#include <algorithm>

namespace Apricothook {

Instant PermitIssuer::freeFrom(const Request &request, bool isCautious, Instant now)
{
    if (request.isSound)
        return now;
    Instant free = now;
    Instant answered = now;
    std::size_t losses = request.hasCrashed ? 1 : 0;
    for (const Permit &permit : request.open) {
        if (!permit.isLost()) {
            free = std::max(free, permit.granted + ExclusiveTime);
        } else if (now - permit.lost < LongestQuestion) {
            ++losses;
            answered = std::max(answered, permit.lost + LongestQuestion);
        }
    }
    const std::size_t most
        = isCautious && !request.wasSound ? MaximumLossesIfCautious : MaximumLosses;
    return losses >= most ? std::max(free, answered) : free;
}

PermitGrant PermitIssuer::grant(const PermitRequest &request, bool isCautious, Instant now)
{
    if (!m_requests.contains(request.request) && m_requests.size() >= MaximumRequests)
        forgetOne();
    Request &known = m_requests[request.request];
    known.lastUse = now;
    const bool isRepeated
        = std::ranges::find(known.open, request.permit, &Permit::id) != known.open.end();
    if (isRepeated)
        return {PermitOutcome::Granted, known.isSound, {}};
    if (const Instant free = freeFrom(known, isCautious, now); free > now)
        return {PermitOutcome::Busy, false, free - now};
    const Instant expires = now + std::chrono::milliseconds(request.lifetimeMs);
    known.open.push_back({request.permit, now, expires, {}});
    return {PermitOutcome::Granted, known.isSound, {}};
}

void PermitIssuer::take(const PermitReport &report, Instant now)
{
    const auto known = m_requests.find(report.request);
    if (known == m_requests.end())
        return;
    Request &request = known->second;
    const auto permit = std::ranges::find(request.open, report.permit, &Permit::id);
    if (permit == request.open.end())
        return;
    request.lastUse = now;
    if (report.use == PermitUse::Lost) {
        request.isSound = false;
        permit->lost = now;
        return;
    }
    request.open.erase(permit);
    if (report.use == PermitUse::Sound) {
        request.isSound = true;
        request.wasSound = true;
        request.hasCrashed = false;
    } else if (report.use == PermitUse::Crashed) {
        recordCrash(report.request);
    }
}

void PermitIssuer::recordCrash(std::uint64_t request)
{
    const auto known = m_requests.find(request);
    if (known == m_requests.end())
        return;
    known->second.isSound = false;
    known->second.hasCrashed = true;
}

std::vector<ExpiredPermit> PermitIssuer::review(Instant now)
{
    std::vector<ExpiredPermit> expired;
    for (auto &[number, request] : m_requests) {
        for (const Permit &permit : request.open) {
            if (permit.expires <= now && !permit.isLost())
                expired.push_back({number, permit.id, permit.granted});
        }
        std::erase_if(request.open, [now](const Permit &permit) {
            const Instant end = permit.isLost() ? permit.lost + LongestQuestion : permit.expires;
            return end <= now;
        });
    }
    std::erase_if(m_requests, [now](const auto &entry) {
        return entry.second.open.empty() && now - entry.second.lastUse > Memory;
    });
    return expired;
}

void PermitIssuer::forgetOne()
{
    const auto rank = [](const auto &entry) {
        return std::pair(!entry.second.open.empty(), entry.second.lastUse);
    };
    m_requests.erase(std::ranges::min_element(m_requests, {}, rank));
}

} // namespace Apricothook
