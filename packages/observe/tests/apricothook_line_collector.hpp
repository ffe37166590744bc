#pragma once

#include <memory>
#include <string>
#include <vector>

namespace Apricothook {

enum class LineSeverity { Info, Warning, Error };

/** Takes the lines that go to the log. Keeps glog's header, whose CHECK isn't doctest's, out. */
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
