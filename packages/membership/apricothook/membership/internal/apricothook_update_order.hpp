#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>

#include <cstddef>

namespace Apricothook {

/**
 * Whether `update` replaces `known`, of the same member: by incarnation, then by refutation, which
 * only the member itself raises, then by state. So the news of a death loses against the member's
 * own word that it lives, and against nobody else's.
 */
bool replaces(const MemberUpdate &update, const MemberUpdate &known);

/** An upper bound of the encoded size. */
std::size_t wireBound(const MemberUpdate &update);

} // namespace Apricothook
