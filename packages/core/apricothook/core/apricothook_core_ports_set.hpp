#pragma once

#include <apricothook/homes/apricothook_ticket.hpp>
#include <apricothook/model/apricothook_settings.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <vector>

namespace Apricothook {

class EventSink;
class PeerPort;
class PlatformPort;
class RequestObserver;
class TargetPort;

/** What the core acts through; all outlive it. */
struct CorePortsSet
{
    TargetPort &targets;
    PeerPort &peers;
    PlatformPort &platform;
    EventSink &events;
    RequestObserver &observer;
    RandomSource &random;
};

/** Who this daemon is. */
struct CoreIdentity
{
    Settings settings;
    Incarnation incarnation;
    /** The peers' keys; the first signs. */
    std::vector<TicketKey> keys;
};

} // namespace Apricothook
