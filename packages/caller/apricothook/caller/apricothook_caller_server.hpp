#pragma once

#include <apricothook/caller/apricothook_caller_limits.hpp>
#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/model/apricothook_time.hpp>
#include <apricothook/ports/apricothook_core_inbox.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace Apricothook {

class CallerService;

enum class CallerServerError {
    BadAddress,
    ListenFailed,
    NoDescriptors,
};

/** What the adapter holds at present. */
struct CallerCounts
{
    std::size_t connections = 0;
    /** Requests whose answer isn't whole yet. */
    std::size_t exchanges = 0;
    std::uint64_t heldBodyBytes = 0;
    auto operator<=>(const CallerCounts &) const = default;
};

/**
 * Serves callers over HTTP/1.1 and gives their requests to the core; the interface is in
 * docs/CALLERS.md, with the design under "Inside the entry".
 *
 * All public functions may be called from any thread. The inbox, the clock and the sink must
 * outlive stop(); the sink is called from several threads.
 */
class CallerServer
{
public:
    CallerServer(Endpoint address, const CallerLimits &limits, const Clock &clock, CoreInbox &inbox,
                 EventSink &events);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /** Listens; the port that was bound, which differs from the address only where that says 0. */
    Result<std::uint16_t, CallerServerError> start();
    /** In force for new requests; maximumConnections can't grow beyond twice its value at start. */
    void setLimits(const CallerLimits &limits);
    /**
     * New requests, on old and new connections, are refused by the document "draining" from now on.
     * Exchanges, lookups and operators' questions go on.
     */
    void stopAccepting();
    /** Cuts what is still open and ends the threads. */
    void stop();
    CallerCounts counts() const;

private:
    std::unique_ptr<CallerService> m_service;
};

} // namespace Apricothook
