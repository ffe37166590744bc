#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <optional>
#include <vector>

namespace Apricothook {

/** A probe that this daemon sends for another one. */
struct ProbeRelay
{
    std::uint64_t sequence = 0;
    std::uint64_t askedSequence = 0;
    MemberId asker;
    Endpoint askerAddress;
    Instant until {};
};

/** The relays in progress; at most MaximumRelays, so that askers can't fill the memory. */
class ProbeRelays
{
public:
    /** False when there are too many. */
    bool add(const ProbeRelay &relay, Instant now);
    std::optional<ProbeRelay> take(std::uint64_t sequence);

private:
    std::vector<ProbeRelay> m_relays;
};

} // namespace Apricothook
