#pragma once

#include <apricothook/homes/apricothook_ticket.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <optional>
#include <vector>

namespace Apricothook {

/** Reads the ticket at the start of a key. */
class TicketReader
{
public:
    /** All of `keys` are accepted, so that they can be rotated. */
    explicit TicketReader(std::vector<TicketKey> keys);

    /**
     * The ticket that the key begins with; nothing for keys that don't begin with "t1.". A key with
     * an error is refused as BadRequest: nothing was asked for it, so it was not run.
     */
    Result<std::optional<Ticket>, TicketError> read(const RequestKey &key) const;

private:
    const TicketKey *keyOf(std::uint64_t number) const;

    std::vector<TicketKey> m_keys;
};

} // namespace Apricothook
