#include <apricothook/observe/apricothook_log_session.hpp>

#include <glog/logging.h>

namespace Apricothook {

LogSession::LogSession(const std::string &program, const std::string &folder, int minimumLevel)
    : m_program(program)
{
    FLAGS_logtostderr = folder.empty();
    FLAGS_log_dir = folder;
    FLAGS_minloglevel = minimumLevel;
    // A VM that dies takes unwritten lines with it, and those are the ones that are looked for.
    FLAGS_logbufsecs = 0;
    google::InitGoogleLogging(m_program.c_str());
}

LogSession::~LogSession()
{
    google::ShutdownGoogleLogging();
}

} // namespace Apricothook
