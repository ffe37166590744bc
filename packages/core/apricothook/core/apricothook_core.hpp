#pragma once

#include <apricothook/core/apricothook_core_ports_set.hpp>
#include <apricothook/ports/apricothook_core_event.hpp>

#include <memory>

namespace Apricothook {

class CoreTurn;

/**
 * The decision core of one daemon: every event goes in here, every decision comes out through the
 * ports. One thread; no I/O, no waiting, time and random numbers are given.
 */
class Core
{
public:
    Core(const CoreIdentity &identity, const CorePortsSet &ports, Instant now);
    ~Core();
    Core(const Core &) = delete;
    Core &operator=(const Core &) = delete;

    void handle(CoreEvent event, Instant now);
    /** Call when nextDue() has come, or earlier. */
    void tick(Instant now);
    Instant nextDue() const;

    /** A configuration is in force, and the daemon isn't closed. */
    bool isReady() const;
    /** Drained after StopRequested: the process may end. */
    bool isDone() const;
    Generation generation() const;
    const Policy &policy() const;
    std::size_t activeExchanges() const;

private:
    std::unique_ptr<CoreTurn> m_turn;
};

} // namespace Apricothook
