#include <apricothook/caller/apricothook_caller_server.hpp>

#include <apricothook/caller/internal/apricothook_caller_service.hpp>

namespace Apricothook {

CallerServer::CallerServer(Endpoint address, const CallerLimits &limits, const Clock &clock,
                           CoreInbox &inbox, EventSink &events)
    : m_service(std::make_unique<CallerService>(std::move(address), limits, clock, inbox, events))
{
}

CallerServer::~CallerServer()
{
    stop();
}

Result<std::uint16_t, CallerServerError> CallerServer::start()
{
    return m_service->start();
}

void CallerServer::setLimits(const CallerLimits &limits)
{
    m_service->setLimits(limits);
}

void CallerServer::stopAccepting()
{
    m_service->stopAccepting();
}

void CallerServer::stop()
{
    m_service->stop();
}

CallerCounts CallerServer::counts() const
{
    return m_service->counts();
}

} // namespace Apricothook
