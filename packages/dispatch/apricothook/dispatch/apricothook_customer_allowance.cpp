#include <apricothook/dispatch/apricothook_customer_allowance.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Apricothook {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

std::uint64_t customerNumber(const CustomerId &customer)
{
    return hashOf(customer.text());
}

void CustomerAllowance::resize(Account &account, const CustomerRule &customer) const
{
    const double rate = customer.ratePerSecond;
    const double window
        = static_cast<double>(m_bounds.customerWindow.count()) / MicrosecondsPerSecond;
    const double most = (rate * window + customer.burst) * (1 + m_bounds.customerOvershoot)
        + m_bounds.customerSlack;
    account.perSecond = rate * (1 + UsedOvershoot * m_bounds.customerOvershoot);
    account.size = UsedRoom * (most - window * account.perSecond);
}

CustomerAllowance::Account &CustomerAllowance::refilled(const CustomerRule &customer, Instant now)
{
    Account &account = m_accounts[customerNumber(customer.name)];
    double seconds = 0;
    if (std::exchange(account.isStarted, true)) {
        seconds = static_cast<double>((now - account.refilled).count()) / MicrosecondsPerSecond;
    } else {
        resize(account, customer);
        account.lent = StartSeconds * account.perSecond;
        account.level += account.lent;
    }
    account.refilled = now;
    const double window
        = static_cast<double>(m_bounds.customerWindow.count()) / MicrosecondsPerSecond;
    const double kept = std::exp(-seconds / window);
    account.recentHere *= kept;
    account.recentOfOthers *= kept;
    // Time that has passed counts at the rate that was in force.
    refill(account, seconds);
    resize(account, customer);
    account.level = std::min(account.level, account.size * m_heardPart);
    return account;
}

void CustomerAllowance::refill(Account &account, double seconds) const
{
    const double gained = seconds * account.perSecond * m_heardPart;
    const double repaid = std::min(account.lent, gained * RepaidPart);
    account.lent -= repaid;
    account.level += gained - repaid;
}

void CustomerAllowance::prepare(const std::vector<CustomerRule> &customers, Instant now)
{
    for (const CustomerRule &customer : customers)
        refilled(customer, now);
}

double CustomerAllowance::neededLevel(const Account &account, const LimitClaim &claim) const
{
    const double size = account.size * m_heardPart;
    // A full bucket has enough for any request, or one above its size could never run.
    return std::min(claim.partLeft * size + claim.units, size);
}

bool CustomerAllowance::tryTake(const CustomerRule &customer, const LimitClaim &claim, Instant now)
{
    Account &account = refilled(customer, now);
    const bool isLimited = customer.ratePerSecond > 0;
    if (isLimited && account.level < neededLevel(account, claim))
        return false;
    take(account, claim.units);
    account.recentHere += claim.units;
    account.admitted += static_cast<std::uint64_t>(claim.units);
    return true;
}

Duration CustomerAllowance::timeUntil(const CustomerRule &customer, const LimitClaim &claim,
                                      Instant now)
{
    const Account &account = refilled(customer, now);
    const double missing = neededLevel(account, claim) - account.level;
    const double perSecond = account.perSecond * m_heardPart;
    if (missing <= 0 || perSecond <= 0)
        return Duration::zero();
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / perSecond));
}

void CustomerAllowance::addUseOfOthers(std::uint64_t customer, double units)
{
    Account &account = m_accounts[customer];
    take(account, units);
    account.recentOfOthers += units;
}

void CustomerAllowance::take(Account &account, double units)
{
    const double room = std::max(account.mostUntold - account.untold, 0.0);
    const double elsewhere = std::min(units * account.partElsewhere, room);
    account.untold += elsewhere;
    lower(account, units + elsewhere);
}

void CustomerAllowance::lower(Account &account, double units)
{
    const double lowest = -LowestSeconds * account.perSecond;
    const double level = account.level - units;
    account.level = std::max(level, lowest);
    // What is forgiven takes what was lent with it, or a customer were shut out for longer.
    account.lent -= std::clamp(lowest - level, 0.0, account.lent);
}

void CustomerAllowance::countElsewhere(const std::vector<UseElsewhere> &uses)
{
    std::map<std::uint64_t, double> before;
    for (auto &[customer, account] : m_accounts)
        before[customer] = std::exchange(account.partElsewhere, 0);
    for (const UseElsewhere &use : uses) {
        Account &account = m_accounts[use.customer];
        // What was admitted before the others were expected to admit anything.
        if (before[use.customer] == 0) {
            account.untold += use.fresh;
            lower(account, use.fresh);
        }
        countElsewhere(account, use);
    }
}

void CustomerAllowance::countElsewhere(Account &account, const UseElsewhere &use)
{
    account.partElsewhere = use.part;
    account.mostUntold = use.mostUntold;
    const double takenBefore = std::min(account.untold, use.told);
    account.untold -= takenBefore;
    lower(account, use.told - takenBefore);
    account.recentOfOthers += use.told;
}

CustomerStanding CustomerAllowance::standing(const CustomerRule &customer, const LimitClaim &claim,
                                             Instant now)
{
    const Account &account = refilled(customer, now);
    return {
        .claim = claim,
        .level = account.level,
        .size = account.size * m_heardPart,
        .perSecond = account.perSecond * m_heardPart,
        .usedHere = account.recentHere,
        .usedByOthers = account.recentOfOthers,
        .heardPart = m_heardPart,
    };
}

void CustomerAllowance::setMembers(std::size_t heard, std::size_t known)
{
    const double part = static_cast<double>(std::max<std::size_t>(heard, 1))
        / static_cast<double>(std::max<std::size_t>({known, heard, 1}));
    if (part == m_heardPart)
        return;
    for (auto &[customer, account] : m_accounts) {
        // What a silent member gained since it was last heard was counted as this side's gain.
        const double gained = account.perSecond * DoubtSeconds * std::abs(m_heardPart - part);
        const bool falls = part < m_heardPart;
        const double level = account.level + (falls ? 0 : gained);
        account.level = std::max(level, 0.0) * part / m_heardPart + std::min(level, 0.0)
            - (falls ? gained : 0);
    }
    m_heardPart = part;
}

std::vector<CustomerUse> CustomerAllowance::ownUse() const
{
    std::vector<CustomerUse> use;
    for (const auto &[customer, account] : m_accounts) {
        if (account.admitted > 0)
            use.push_back({customer, account.admitted});
    }
    return use;
}

} // namespace Apricothook
