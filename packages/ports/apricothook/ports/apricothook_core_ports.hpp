#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/ports/apricothook_target_order.hpp>

#include <memory>
#include <string>

namespace Apricothook {

/** Where the core sends work for targets. */
class TargetPort
{
public:
    virtual ~TargetPort() = default;
    /** False when the adapter's ring is full: nothing was sent and nothing will be. */
    virtual bool order(TargetOrder order) = 0;
};

/** Where the core sends messages to other daemons; they may get lost. */
class PeerPort
{
public:
    virtual ~PeerPort() = default;
    virtual void send(const MemberId &to, const Endpoint &address, const PeerMessage &message) = 0;
    /** Called at the end of each turn of the core: what was sent in it leaves in few datagrams. */
    virtual void flush() { }
};

/** What the core asks of the threads that read the platform and fetch from peers. */
class PlatformPort
{
public:
    virtual ~PlatformPort() = default;
    /** Whether this daemon is one of its data centre's few watchers; `after` is in force here. */
    virtual void setWatching(bool isWatching, Generation after) = 0;
    /** Reads the platform once now, whether watching or not. */
    virtual void readOnce(Generation after) = 0;
    /** Fetches a fleet text from a peer that has it in force. */
    virtual void fetchText(const Endpoint &peer, Generation generation, std::uint64_t textHash) = 0;
    /** Fetches a kept answer from its holder; ends in KeptAnswerArrived. */
    virtual void fetchAnswer(const Endpoint &peer, const RequestKey &key, ExchangeId exchange) = 0;
    /** The text to give to peers that fetch it. */
    virtual void offerText(Generation generation, std::uint64_t textHash,
                           std::shared_ptr<const std::string> text)
        = 0;
};

} // namespace Apricothook
