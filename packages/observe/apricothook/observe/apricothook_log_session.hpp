#pragma once

#include <string>

namespace Apricothook {

/** Keeps glog running; one in a process. */
class LogSession
{
public:
    /** Logs to standard error where `folder` is empty; drops levels below `minimumLevel` (0-2). */
    LogSession(const std::string &program, const std::string &folder, int minimumLevel);
    ~LogSession();
    LogSession(const LogSession &) = delete;
    LogSession &operator=(const LogSession &) = delete;

private:
    /** glog keeps the pointer. */
    std::string m_program;
};

} // namespace Apricothook
