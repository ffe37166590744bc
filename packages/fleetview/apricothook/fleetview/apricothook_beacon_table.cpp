#include <apricothook/fleetview/apricothook_beacon_table.hpp>

#include <algorithm>
#include <tuple>

namespace Apricothook {

namespace {

/** Takes later totals into `known` and returns what was added. */
std::vector<ReportedUse> addUse(std::vector<ReportedUse> &known,
                                const std::vector<ReportedUse> &later)
{
    std::vector<ReportedUse> difference;
    for (const ReportedUse &use : later) {
        auto before = std::ranges::find(known, use.customer, &ReportedUse::customer);
        if (before == known.end())
            before = known.insert(before, {use.customer, 0});
        if (use.admitted <= before->admitted)
            continue;
        difference.push_back({use.customer, use.admitted - before->admitted});
        before->admitted = use.admitted;
    }
    return difference;
}

} // namespace

bool BeaconTable::startedWithThisOne(Incarnation process) const
{
    return process.value() + StartedTogether.count() >= m_process.value();
}

BeaconEffect BeaconTable::take(const Beacon &beacon, Instant now)
{
    BeaconEffect effect;
    const MemberId &sender = beacon.sender.member;
    if (sender == m_self)
        return effect;
    const std::uint64_t number = memberNumber(sender);
    const bool isKnown = m_mates.contains(number);
    CellMate &mate = m_mates[number];
    const auto age = [](const CellReport &of) { return std::tuple(of.process, of.sequence); };
    const bool isOther = beacon.report.process != mate.report.process;
    const bool isSuccessor = isOther && now - mate.heard > OldBeaconTime;
    if (isKnown && !isSuccessor && age(beacon.report) <= age(mate.report))
        return effect;
    effect.isNews = true;
    effect.isNewProcess = !isKnown || isOther;
    effect.isBack = !mate.isHeard;
    // A new process counts from zero; what its first beacon tells was admitted since its start.
    std::vector<ReportedUse> use
        = effect.isNewProcess ? std::vector<ReportedUse>() : std::move(mate.report.use);
    std::vector<ReportedUse> admitted = addUse(use, beacon.report.use);
    // What a member admitted before this daemon started lies in the past of its own limits. After
    // all were killed at once each hears of the others some tenths of a second later, and what they
    // admitted until then is the present. Left out, daemons of one fleet believed 1.0 to 2.6
    // million units used, and a customer got 1.4 million a second where its bucket gains 0.9.
    if (isKnown || startedWithThisOne(beacon.report.process))
        effect.admitted = std::move(admitted);
    mate = {beacon.sender, beacon.report, now, true};
    mate.report.use = std::move(use);
    return effect;
}

BeaconEffect BeaconTable::take(const CellReport &report, Instant now)
{
    const auto known = m_mates.find(report.member);
    if (known == m_mates.end())
        return {};
    CellMate &mate = known->second;
    if (report.process != mate.report.process || report.sequence <= mate.report.sequence)
        return {};
    BeaconEffect effect;
    effect.isNews = true;
    effect.isBack = !mate.isHeard;
    std::vector<ReportedUse> use = std::move(mate.report.use);
    effect.admitted = addUse(use, report.use);
    mate.report = report;
    mate.report.use = std::move(use);
    mate.heard = now;
    mate.isHeard = true;
    return effect;
}

std::vector<MemberId> BeaconTable::noteSilent(Instant now)
{
    std::vector<MemberId> silent;
    for (auto &[number, mate] : m_mates) {
        if (mate.isHeard && now - mate.heard > SilenceLimit) {
            mate.isHeard = false;
            silent.push_back(mate.brief.member);
        }
    }
    std::erase_if(m_mates,
                  [now](const auto &entry) { return now - entry.second.heard > MemoryLimit; });
    return silent;
}

const CellMate *BeaconTable::find(const MemberId &member) const
{
    return find(memberNumber(member));
}

const CellMate *BeaconTable::find(std::uint64_t memberNumber) const
{
    const auto found = m_mates.find(memberNumber);
    return found == m_mates.end() ? nullptr : &found->second;
}

std::vector<const CellMate *> BeaconTable::heard() const
{
    std::vector<const CellMate *> heard;
    for (const auto &[number, mate] : m_mates) {
        if (mate.isHeard)
            heard.push_back(&mate);
    }
    return heard;
}

} // namespace Apricothook
