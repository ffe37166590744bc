#pragma once

#include <apricothook/homes/apricothook_home_map.hpp>
#include <apricothook/homes/apricothook_ticket_issuer.hpp>
#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/requests/apricothook_home_directory.hpp>

#include <unordered_map>

namespace Apricothook {

/** Homes of keys by ticket or roster; a ticket of a life that is gone has no home. */
class EntryHomes : public HomeDirectory
{
public:
    EntryHomes(const HomeMap &map, const MemberView &members, const TicketIssuer &issuer,
               RandomSource &random)
        : m_map(map), m_members(members), m_issuer(issuer), m_random(random)
    {
    }

    Result<std::vector<MemberId>, KeyProblem>
    homesOf(const RequestKey &key, const CustomerId &customer, Instant now) override;
    RequestKey mint() override;
    std::vector<MemberId> witnessesOf(const RequestKey &key, const CustomerId &customer,
                                      Instant now) override;
    void configurationApplied(const FleetText &text);
    void setNow(Instant now) { m_now = now; }

private:
    const HomeMap &m_map;
    const MemberView &m_members;
    const TicketIssuer &m_issuer;
    RandomSource &m_random;
    Instant m_now {};
    /** From the roster, as a member that is gone isn't in the view. */
    std::unordered_map<MemberId, DataCentreId> m_dataCentres;
};

} // namespace Apricothook
