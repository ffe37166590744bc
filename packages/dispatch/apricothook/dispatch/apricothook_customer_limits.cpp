#include <apricothook/dispatch/apricothook_customer_limits.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

std::uint64_t customerNumber(const CustomerId &customer)
{
    return hashOf(customer.text());
}

void CustomerLimits::Bucket::refill(double seconds, double part)
{
    level = std::min(level + seconds * perSecond * part, size * part);
}

void CustomerLimits::Bucket::take(double units)
{
    level = std::max(level - units, -size);
}

void CustomerLimits::resize(Account &account, const CustomerRule &customer) const
{
    const double rate = customer.ratePerSecond;
    const double window
        = static_cast<double>(m_bounds.customerWindow.count()) / MicrosecondsPerSecond;
    const double most = (rate * window + customer.burst) * (1 + m_bounds.customerOvershoot)
        + m_bounds.customerSlack;
    account.assured.perSecond = rate;
    account.assured.size = customer.burst;
    account.bound.perSecond = rate * (1 + UsedOvershoot * m_bounds.customerOvershoot);
    account.bound.size = UsedRoom * (most - window * account.bound.perSecond);
}

CustomerLimits::Account &CustomerLimits::refilled(const CustomerRule &customer, Instant now)
{
    Account &account = m_accounts[customerNumber(customer.name)];
    double seconds = StartSeconds;
    if (std::exchange(account.isStarted, true))
        seconds = static_cast<double>((now - account.refilled).count()) / MicrosecondsPerSecond;
    else
        resize(account, customer);
    account.refilled = now;
    // Time that has passed counts at the rate that was in force.
    account.assured.refill(seconds, m_heardPart);
    account.bound.refill(seconds, m_heardPart);
    resize(account, customer);
    return account;
}

void CustomerLimits::prepare(const std::vector<CustomerRule> &customers, Instant now)
{
    for (const CustomerRule &customer : customers)
        refilled(customer, now);
}

bool CustomerLimits::tryTake(const CustomerRule &customer, double units, bool hasRoom, Instant now)
{
    Account &account = refilled(customer, now);
    const bool isLimited = customer.ratePerSecond > 0;
    const bool isAllowed
        = account.bound.has(units) && (hasRoom || account.assured.has(units));
    if (isLimited && !isAllowed)
        return false;
    account.bound.level -= units;
    account.assured.take(units);
    const double returned = std::min(units, account.givenBack);
    account.givenBack -= returned;
    account.admitted += static_cast<std::uint64_t>(units - returned);
    return true;
}

void CustomerLimits::giveBack(const CustomerRule &customer, double units)
{
    Account &account = m_accounts[customerNumber(customer.name)];
    account.assured.level += units;
    account.bound.level += units;
    account.givenBack += units;
}

void CustomerLimits::addUseOfOthers(std::uint64_t customer, double units)
{
    Account &account = m_accounts[customer];
    account.bound.level -= units;
    account.assured.take(units);
}

void CustomerLimits::setMembers(std::size_t heard, std::size_t known)
{
    m_heardPart = static_cast<double>(std::max<std::size_t>(heard, 1))
        / static_cast<double>(std::max<std::size_t>({known, heard, 1}));
}

std::vector<CustomerUse> CustomerLimits::ownUse() const
{
    std::vector<CustomerUse> use;
    for (const auto &[customer, account] : m_accounts) {
        if (account.admitted > 0)
            use.push_back({customer, account.admitted});
    }
    return use;
}

} // namespace Apricothook
