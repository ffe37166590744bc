#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/ports/apricothook_target_order.hpp>

#include <memory>
#include <string>

namespace Apricothook {

/** Sends orders of the core to the target adapter. */
class TargetPort
{
public:
    virtual ~TargetPort() = default;
    /** False if the adapter's queue is full; the order is then not carried out. */
    virtual bool order(TargetOrder order) = 0;
};

/** Sends messages to other daemons, without guaranteed delivery. */
class PeerPort
{
public:
    virtual ~PeerPort() = default;
    virtual void send(const MemberId &to, const Endpoint &address, const PeerMessage &message) = 0;
    /** Called after each turn of the core, so that its messages are packed into few datagrams. */
    virtual void flush() { }
};

/** Requests of the core to the threads that read from the platform and from peers. */
class PlatformPort
{
public:
    virtual ~PlatformPort() = default;
    /** Sets whether this daemon watches the platform for its data centre, from `after` on. */
    virtual void setWatching(bool isWatching, Generation after) = 0;
    /** Reads from the platform once, whether or not this daemon is watching. */
    virtual void readOnce(Generation after) = 0;
    /** Fetches a fleet text from a peer that has applied it. */
    virtual void fetchText(const Endpoint &peer, Generation generation, std::uint64_t textHash) = 0;
    /** Fetches a kept answer from its holder; the result is posted as KeptAnswerFetched. */
    virtual void fetchAnswer(const Endpoint &peer, const RequestKey &key, ExchangeId exchange) = 0;
    /** Sets the fleet text that peers can fetch. */
    virtual void offerText(Generation generation, std::uint64_t textHash,
                           std::shared_ptr<const std::string> text)
        = 0;
};

} // namespace Apricothook
