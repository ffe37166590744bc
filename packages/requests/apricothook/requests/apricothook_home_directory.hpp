#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <vector>

namespace Apricothook {

enum class KeyProblem {
    ForgedTicket,
    HomeGone, ///< The incarnation that the ticket names is no more.
    NoHome,   ///< No daemon may be home now, such as amid too many roster changes.
};

/** Who may grant a key's dispatch. */
class HomeDirectory
{
public:
    virtual ~HomeDirectory() = default;
    /** All must grant. Never empty on success. */
    virtual Result<std::vector<MemberId>, KeyProblem>
    homesOf(const RequestKey &key, const CustomerId &customer, Instant now) = 0;
    /**
     * Members that hold hints of the key's run for the case that its home is gone; the one that is
     * told first in front. Empty where there is nobody else.
     */
    virtual std::vector<MemberId> witnessesOf(const RequestKey &key, const CustomerId &customer,
                                              Instant now)
        = 0;
    /** A new key whose home is this daemon. */
    virtual RequestKey mint() = 0;
};

} // namespace Apricothook
