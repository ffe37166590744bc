#include "apricothook_line_collector.hpp"

#include <glog/logging.h>

namespace Apricothook {

class LineCollector::Sink : public google::LogSink
{
public:
    explicit Sink(LineCollector &collector) : m_collector(collector) { }
    void send(google::LogSeverity severity, const char *, const char *, int, const struct tm *,
              const char *message, std::size_t length) override
    {
        m_collector.severities.push_back(static_cast<LineSeverity>(severity));
        m_collector.lines.emplace_back(message, length);
    }

private:
    LineCollector &m_collector;
};

LineCollector::LineCollector() : m_sink(std::make_unique<Sink>(*this))
{
    google::AddLogSink(m_sink.get());
}

LineCollector::~LineCollector()
{
    google::RemoveLogSink(m_sink.get());
}

} // namespace Apricothook
