#include <apricothook/homes/apricothook_ticket_issuer.hpp>

#include <apricothook/homes/internal/apricothook_ticket_codec.hpp>

namespace Apricothook {

TicketIssuer::TicketIssuer(MemberInstance self, TicketKey key)
    : m_self(std::move(self)), m_key(std::move(key))
{
}

std::string TicketIssuer::issue(Instant now) const
{
    const auto issued
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    const Ticket ticket {m_self, static_cast<std::uint64_t>(issued.count())};
    const std::string text = TicketCodec::signedPart(ticket, m_key.number);
    return text + "." + TicketCodec::codeOf(text, m_key);
}

RequestKey TicketIssuer::mint(Instant now, RandomSource &random) const
{
    const std::string unique
        = TicketCodec::hexOf(random.next()) + "-" + TicketCodec::hexOf(random.next());
    return RequestKey(issue(now) + "." + unique);
}

} // namespace Apricothook
