#pragma once

#include <apricothook/daemon/apricothook_daemon_process.hpp>
#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_settings.hpp>
#include <apricothook/requests/apricothook_request_observer.hpp>
#include <apricothook/testing/apricothook_engine_stand_in.hpp>
#include <apricothook/testing/apricothook_platform_stand_in.hpp>
#include <apricothook/testsupport/apricothook_recording_event_sink.hpp>

#include "apricothook_stand_in_client.hpp"

namespace Apricothook {

class UnheardObserver : public RequestObserver
{
public:
    void ended(const RequestSummary &) override { }
};

/** One engine, a platform that serves a text with it, and one daemon, all in this process. */
class DaemonSite
{
public:
    explicit DaemonSite(const EngineOptions &options);

    /** Starts the daemon; the failure's name, or nothing when it runs. */
    std::string start();
    /** Sends a prompt to the daemon's service and reads the answer to its end. */
    ClientAnswer complete(const CompletionRequest &request, const std::string &key) const;

    /** From a lookup; keys begin with it. */
    std::string ticket() const;

    PlatformStandIn platform;
    EngineStandIn engine;
    Settings settings;
    RecordingEventSink events;
    UnheardObserver observer;
    DaemonProcess daemon;

private:
    std::string fleetText() const;
};

} // namespace Apricothook
