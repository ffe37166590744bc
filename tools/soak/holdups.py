"""Faults of a poor machine: processes get no processor, callers and log readers stop reading, planned work comes in series."""

import asyncio
import os
import signal

# A sound daemon may not run for so long.
HOLD_UP_SECONDS = (0.2, 1.8)
LOG_STALL_SECONDS = (2.0, 6.0)
CALLER_STALL_SECONDS = (1.0, 4.0)
CROWD_SECONDS = (2.0, 5.0)
# Busy processes beside the daemons, for each processor that these may use.
CROWD_PROCESSES = 2
# What planned work may be done to a daemon.
STOP, RELOAD, CONFIGURE = "stop", "reload", "configure"


class HoldUps:
    """Kinds of faults that explain no end of a response: they hold up, and break nothing. Part of Faults."""

    async def hold_up_daemons(self) -> None:
        """Half of the daemons stand still again and again, each for itself, as processes do that get no processor."""
        chosen = self.random.sample(self.fleet.daemons, max(1, len(self.fleet.daemons) // 2))
        await asyncio.gather(*(self.hold_up(daemon, self.random.randint(1, 3)) for daemon in chosen))

    async def hold_up(self, daemon, times: int) -> None:
        for _ in range(times):
            process = daemon.process
            daemon.send_signal(signal.SIGSTOP)
            await self.mark_affected([daemon], self.random.uniform(*HOLD_UP_SECONDS))
            if daemon.process is process:
                daemon.send_signal(signal.SIGCONT)
                daemon.held_up_until = asyncio.get_running_loop().time()
            await asyncio.sleep(self.random.uniform(0.05, 0.6))

    async def stop_held_up(self) -> None:
        """A daemon is asked to stop while it stands still, so it handles the signal late."""
        daemon = self.random_daemon()
        if daemon.is_stopping:
            return
        daemon.send_signal(signal.SIGSTOP)
        stopping = asyncio.create_task(self.restart(daemon, signal.SIGTERM))
        await asyncio.sleep(self.random.uniform(*HOLD_UP_SECONDS))
        daemon.send_signal(signal.SIGCONT)
        daemon.held_up_until = asyncio.get_running_loop().time()
        await stopping

    async def planned_work(self) -> None:
        """Stops, reloads and configurations in series that overlap, of up to half of the daemons."""
        work = []
        for daemon in self.random.sample(self.fleet.daemons, self.random.randint(1, max(1, len(self.fleet.daemons) // 2))):
            kind = self.random.choice((STOP, STOP, RELOAD, CONFIGURE))
            if kind == STOP:
                work.append(asyncio.create_task(self.restart(daemon, signal.SIGTERM)))
            elif kind == RELOAD:
                daemon.send_signal(signal.SIGHUP)
            else:
                await self.fleet.configure()
            await asyncio.sleep(self.random.uniform(0, 0.8))
        await asyncio.gather(*work)

    async def stall_log(self) -> None:
        """The reader of a daemon's standard output reads nothing for seconds."""
        daemon = self.random_daemon()
        daemon.is_log_read.clear()
        await asyncio.sleep(self.random.uniform(*LOG_STALL_SECONDS))
        daemon.is_log_read.set()

    async def close_log(self) -> None:
        """The reader of a daemon's standard output goes away for good."""
        self.random_daemon().close_log()

    async def stall_callers(self) -> None:
        """The callers of a daemon read nothing for seconds."""
        link = self.fleet.caller_links[self.random_daemon().index]
        link.is_read.clear()
        await asyncio.sleep(self.random.uniform(*CALLER_STALL_SECONDS))
        link.is_read.set()

    async def crowd(self) -> None:
        """Busy processes take processors from the daemons."""
        processors = os.sched_getaffinity(0) if self.fleet.processors is None else self.fleet.processors
        # An even share of the processors, not of the priority.
        busy = [await asyncio.create_subprocess_exec("/usr/bin/python3", "-c", f"import os\nos.sched_setaffinity(0, {{{processor}}})\nwhile True: pass")
                for processor in sorted(processors) for _ in range(CROWD_PROCESSES)]
        try:
            await asyncio.sleep(self.random.uniform(*CROWD_SECONDS))
        finally:
            for process in busy:
                process.kill()
            await asyncio.gather(*(process.wait() for process in busy))
