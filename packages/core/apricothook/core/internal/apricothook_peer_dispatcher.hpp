#pragma once

#include <apricothook/configuration/apricothook_configuration_action.hpp>
#include <apricothook/membership/apricothook_addressed.hpp>
#include <apricothook/ports/apricothook_core_event.hpp>

namespace Apricothook {

struct CoreParts;

/** Gives each message to the part that it is for. */
class PeerDispatcher
{
public:
    explicit PeerDispatcher(CoreParts &parts) : m_parts(parts) { }
    /** Results are appended; the core sends them and does what the configuration asks. */
    struct Results
    {
        Outbox outbox;
        Mail mail;
        ConfigurationOutput configuration;
    };
    void dispatch(const PeerMessageReceived &arrived, Instant now, Results &results);

private:
    MemberUpdate senderOf(const PeerMessageReceived &arrived) const;
    void digestSeen(const PeerMessageReceived &arrived, const StateDigest &digest, Instant now,
                    Results &results);

    CoreParts &m_parts;
};

} // namespace Apricothook
