#pragma once

#include <string>

namespace Apricothook {

/** Initializes glog and shuts it down again. A process may have only one instance. */
class LogSession
{
public:
    /**
     * Logs to files in `folder`, or to standard error if it is empty. Discards messages below
     * `minimumLevel` (0-2).
     */
    LogSession(const std::string &program, const std::string &folder, int minimumLevel);
    ~LogSession();
    LogSession(const LogSession &) = delete;
    LogSession &operator=(const LogSession &) = delete;

private:
    /** Outlives glog, which stores a pointer to the text. */
    std::string m_program;
};

} // namespace Apricothook
