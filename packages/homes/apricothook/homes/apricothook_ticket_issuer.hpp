#pragma once

#include <apricothook/homes/apricothook_ticket.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <string>

namespace Apricothook {

/** Issues tickets that make this daemon's life the home of the keys that begin with them. */
class TicketIssuer
{
public:
    /** `key` signs; `self` has a member name of [A-Za-z0-9._-]{1,64}. */
    TicketIssuer(MemberInstance self, TicketKey key);

    /** A ticket for the answer of a lookup; the caller appends "." and a part of its own. */
    std::string issue(Instant now) const;
    /** A key for a request that came without one. */
    RequestKey mint(Instant now, RandomSource &random) const;

private:
    MemberInstance m_self;
    TicketKey m_key;
};

} // namespace Apricothook
