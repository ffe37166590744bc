#pragma once

#include <string>
#include <vector>

namespace Apricothook {

/** One more figure of a case, such as messages or bytes for each operation. */
struct BenchFigure
{
    std::string name;
    double value = 0;
};

/** What a case measures: operate() is counted and timed, prepare() before each isn't. */
class BenchSubject
{
public:
    virtual ~BenchSubject() = default;
    virtual void prepare() { }
    virtual void operate() = 0;
    /** Called once after all operations. */
    virtual std::vector<BenchFigure> figures() const { return {}; }
};

} // namespace Apricothook
