#include <apricothook/observe/apricothook_log_session.hpp>

#include <glog/logging.h>

namespace Apricothook {

LogSession::LogSession(const std::string &program, const std::string &folder, int minimumLevel)
    : m_program(program)
{
    FLAGS_logtostderr = folder.empty();
    FLAGS_log_dir = folder;
    FLAGS_minloglevel = minimumLevel;
    // Writes each line at once: buffered lines would be lost in a crash of the VM, and they are the
    // ones that explain it.
    FLAGS_logbufsecs = 0;
    google::InitGoogleLogging(m_program.c_str());
}

LogSession::~LogSession()
{
    google::ShutdownGoogleLogging();
}

} // namespace Apricothook
