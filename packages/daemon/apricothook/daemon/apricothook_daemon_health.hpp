#pragma once

#include <apricothook/daemon/apricothook_daemon_process.hpp>
#include <apricothook/observe/apricothook_health_source.hpp>

namespace Apricothook {

/** What a daemon says of its health. */
class DaemonHealth : public HealthSource
{
public:
    explicit DaemonHealth(const DaemonProcess &daemon) : m_daemon(daemon) { }
    bool isAlive() const override { return m_daemon.isAlive(); }
    bool isReady() const override { return m_daemon.isReady(); }

private:
    const DaemonProcess &m_daemon;
};

} // namespace Apricothook
