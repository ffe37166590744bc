#pragma once

#include <apricothook/daemon/apricothook_daemon_failure.hpp>
#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/model/apricothook_settings.hpp>
#include <apricothook/peers/apricothook_peer_keys.hpp>

#include <memory>

namespace Apricothook {

class EventSink;
class RequestObserver;
struct DaemonGauges;

/** All threads of one daemon: the core, callers, targets, peers, platform. */
class DaemonProcess
{
public:
    /** The sinks outlive the process object; the event sink is called from several threads. */
    DaemonProcess(const Settings &settings, const PeerKeys &keys, EventSink &events,
                  RequestObserver &observer);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    Result<void, DaemonFailure> start();
    /** Leave the fleet, drain, end; isDone() tells when. */
    void requestStop();
    bool isDone() const;
    /** For /healthz: false when the core hasn't turned for seconds. */
    bool isAlive() const;
    /** For /readyz: a configuration is in force and new requests are taken. */
    bool isReady() const;
    DaemonGauges gauges() const;
    /** Ends all threads; what is still open is cut. */
    void stop();

private:
    class Threads;
    std::unique_ptr<Threads> m_threads;
};

} // namespace Apricothook
