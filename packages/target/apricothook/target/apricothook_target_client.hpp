#pragma once

#include <apricothook/ports/apricothook_core_ports.hpp>
#include <apricothook/target/apricothook_target_options.hpp>

#include <memory>

namespace Apricothook {

class Clock;
class CoreInbox;

/**
 * Talks to targets with libcurl in one thread of its own. Every accepted DispatchOrder ends in
 * exactly one DispatchEnded and every accepted EngineOrder in one EngineOrderEnded, also when the
 * client is stopped. See docs/TARGET-ADAPTER.md.
 */
class TargetClient : public TargetPort
{
public:
    /** `inbox` and `clock` must outlive the client and are called from its thread. */
    TargetClient(CoreInbox &inbox, const Clock &clock, TargetOptions options = {});
    ~TargetClient() override;
    TargetClient(const TargetClient &) = delete;
    TargetClient &operator=(const TargetClient &) = delete;

    /** Starts the thread; false when the system has no thread left. */
    bool start();
    /** Ends what still runs as Cancelled and joins the thread; no order is accepted after it. */
    void stop();
    bool order(TargetOrder order) override;

private:
    class Worker;
    std::unique_ptr<Worker> m_worker;
};

} // namespace Apricothook
