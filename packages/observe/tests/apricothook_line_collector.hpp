#pragma once

#include <memory>
#include <string>
#include <vector>

namespace Apricothook {

enum class LineSeverity { Info, Warning, Error };

/**
 * Captures the lines written to glog. Hides glog's header, whose CHECK macro conflicts with
 * doctest's.
 */
class LineCollector
{
public:
    LineCollector();
    ~LineCollector();
    LineCollector(const LineCollector &) = delete;
    LineCollector &operator=(const LineCollector &) = delete;

    std::vector<LineSeverity> severities;
    std::vector<std::string> lines;

private:
    class Sink;
    std::unique_ptr<Sink> m_sink;
};

} // namespace Apricothook
