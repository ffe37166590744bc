#pragma once

#include <apricothook/caller/apricothook_caller_server.hpp>
#include <apricothook/caller/internal/apricothook_connection_watch.hpp>
#include <apricothook/caller/internal/apricothook_exchange_service.hpp>

#include <microhttpd.h>

namespace Apricothook {

/** The listener and the threads behind CallerServer: wires libmicrohttpd to the exchanges. */
class CallerService
{
public:
    CallerService(Endpoint address, const CallerLimits &limits, const Clock &clock,
                  CoreInbox &inbox, EventSink &events);
    ~CallerService();

    Result<std::uint16_t, CallerServerError> start();
    void setLimits(const CallerLimits &limits);
    void stopAccepting();
    void stop();
    CallerCounts counts() const;

    // ---- Called by libmicrohttpd.

    void connectionStarted(MHD_Connection *connection, void **context);
    void connectionClosed(void **context);
    ExchangeService &exchanges() { return m_exchanges; }

private:
    MHD_Daemon *listen();

    const Endpoint m_address;
    ConnectionWatch m_watch;
    ExchangeService m_exchanges;
    MHD_Daemon *m_daemon = nullptr;
};

} // namespace Apricothook
