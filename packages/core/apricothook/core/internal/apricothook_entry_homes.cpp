#include <apricothook/core/internal/apricothook_entry_homes.hpp>

#include <apricothook/homes/apricothook_run_hints.hpp>

namespace Apricothook {

namespace {

KeyProblem problemOf(HomeError error)
{
    return error == HomeError::BadTicket ? KeyProblem::ForgedTicket : KeyProblem::NoHome;
}

} // namespace

Result<std::vector<MemberId>, KeyProblem>
EntryHomes::homesOf(const RequestKey &key, const CustomerId &customer, Instant now)
{
    const Result<HomeChoice, HomeError> choice = m_map.homesOf(key, customer, now);
    if (!choice)
        return problemOf(choice.error());
    const HomeChoice &homes = choice.value();
    if (!homes.requiredLife)
        return homes.homes;
    const MemberInstance life {homes.homes.front(), *homes.requiredLife};
    const std::optional<MemberUpdate> member = m_members.find(life.member);
    // A newer life is proof that the ticket's is gone. A member that isn't seen may be cut off and
    // alive: it is asked, and the request waits for it within its patience.
    if (member && member->instance.incarnation > life.incarnation)
        return KeyProblem::HomeGone;
    return homes.homes;
}

RequestKey EntryHomes::mint()
{
    return m_issuer.mint(m_now, m_random);
}

std::vector<MemberId> EntryHomes::witnessesOf(const RequestKey &key, const CustomerId &customer,
                                              Instant now)
{
    const Result<HomeChoice, HomeError> choice = m_map.homesOf(key, customer, now);
    if (!choice)
        return {};
    const MemberId &home = choice.value().homes.front();
    return Apricothook::witnessesOf(key, {home, m_dataCentres[home]}, m_members);
}

void EntryHomes::configurationApplied(const FleetText &text)
{
    m_dataCentres.clear();
    for (const RosterEntry &entry : text.roster)
        m_dataCentres[entry.id] = entry.dataCentre;
}

} // namespace Apricothook
