#pragma once

#include <apricothook/requests/apricothook_request_observer.hpp>

namespace Apricothook {

class Metrics;

/** Puts each request's end into the metrics. */
class MetricsObserver : public RequestObserver
{
public:
    explicit MetricsObserver(Metrics &metrics) : m_metrics(metrics) { }
    void ended(const RequestSummary &summary) override;

private:
    Metrics &m_metrics;
};

} // namespace Apricothook
