"""Fault injection: plays a random, possibly overlapping sequence of faults that a seed determines."""

import asyncio
import random
import signal

import callers
import daemons
import holdups
import links
import store
import targets

# A target's entry expires after three missed heartbeats.
ENTRY_EXPIRY_SECONDS = 3.6
DRAIN_SECONDS = 2.0
# A new key is known at all daemons after this time, on a busy machine too.
KEY_SECONDS = 5.0
IDLE_ROUTES = (700, 1400)
# Operators wait until a large configuration has been acknowledged before they write the next one.
CONFIGURATION_PAUSE = 1.0
# Requests per second that targets take while they are limited.
LIMITS = (0.5, 2, 4, 12)
# Before this a process may not have installed its signal handlers, and a signal terminates it.
STARTUP_SECONDS = 0.3
# Delays before a target that a request crashed is restarted; with the shortest, a connection attempt finds it up again.
RESTART_DELAYS = (0.04, 0.5, 2.0)
# A cut lasts longer than the time after which callers of the cut daemons must be served.
CUT_SECONDS = (6.0, 9.0)
# For this time a target that is sound may be silent.
SILENCE_SECONDS = (0.8, 1.3)
# For this time a sound target may read and write nothing.
PAUSE_SECONDS = (1.0, 1.6)
# Connections that a fault breaks may end so much later.
HARM_MARGIN = 0.5
# From this fraction of the grace period on, a daemon that stops may break requests off.
GRACE_FRACTION = 5 / 6
BRITTLE_SECONDS = (8.0, 12.0)
BURST_CALLERS, BURST_CALLER_PAUSE = 60, 0.1
MOST_CRASHING_REQUESTS = 3
# Requests per second with a part that crashes targets, and for how long they come.
PART_RATES = (1, 5, 12, 20)
PART_SECONDS = (16.0, 20.0)
MOST_CRASHING_PARTS = 2
# Requests before the first crash show how often they begin at once.
CALM_SECONDS = 4.0


class Faults(holdups.HoldUps):
    """Injects faults into a fleet and marks the daemons that each fault affects."""

    def __init__(self, fleet, seed: int, chosen: str = "on") -> None:
        """`chosen`: "on", "off" or a comma-separated list of fault kinds. An unknown kind is an error."""
        self.fleet, self.random = fleet, random.Random(seed)
        self.running: set[asyncio.Task] = set()
        self.log: list[str] = []
        self.evacuated: set[str] = set()
        self.cut_off: frozenset[int] = frozenset()
        self.crashing_requests = 0
        self.is_releasing_all = False
        self.configuring = asyncio.Lock()
        self.kinds = [self.kill, self.kill_many, self.freeze, self.terminate, self.reload, self.harm_caller_link,
                      self.harm_target_link, self.reset_links, self.store_away, self.store_outage, self.crash_target,
                      self.mute_target, self.replace_target, self.change_configuration, self.revoke_key, self.evacuate,
                      self.fail_service, self.kill_in_series, self.freeze_others]
        # Only when named explicitly, so that a seed keeps its faults; the first one crashes most targets.
        self.opt_in_kinds = [self.crashing_request, self.crashing_part, self.endless_answers, self.resize_configuration, self.silence_store, self.replace_key,
                             self.limit_target, self.cut_daemons, self.cut_zone, self.cut_all_but_one,
                             self.kill_most, self.reset_callers, self.release_target, self.crash_to_next_version,
                             self.cut_from_half, self.cut_in_series, self.cut_silently, self.silence_target, self.brittle_service,
                             self.pause_one, self.pause_half, self.pause_all, self.pause_in_series, self.change_limits,
                             self.hold_up_daemons, self.stop_held_up, self.planned_work, self.stall_log, self.close_log,
                             self.stall_callers, self.crowd, self.release_all_and_kill]
        if chosen != "on":
            known = {kind.__name__: kind for kind in self.kinds + self.opt_in_kinds}
            names = [] if chosen == "off" else chosen.split(",")
            unknown = [name for name in names if name not in known]
            if unknown:
                raise SystemExit(f"soak: no faults named {', '.join(unknown)}; there are {', '.join(known)}")
            self.kinds = [known[name] for name in names]

    async def play(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            kind = self.random.choice(self.kinds)
            self.log.append(f"{loop.time() - self.fleet.started:.2f} {kind.__name__}")
            task = asyncio.create_task(kind())
            self.running.add(task)
            await asyncio.sleep(self.random.uniform(0.05, 1.0))
        await asyncio.gather(*self.running)

    def random_daemon(self):
        return self.random.choice(self.fleet.daemons)

    async def mark_affected(self, daemons, seconds: float) -> None:
        """Waits for the given time and marks the daemons as affected by a fault meanwhile."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            for daemon in daemons:
                daemon.last_fault_at = loop.time()
            await asyncio.sleep(0.1)

    def record_harm(self, daemons, began: float) -> None:
        """Notes that the daemons' connections may have been broken by a fault from `began` until now."""
        for daemon in daemons:
            self.fleet.harms[daemon.index].append((began, asyncio.get_running_loop().time() + HARM_MARGIN))

    async def harm(self, daemons, seconds: float) -> None:
        """As mark_affected(), for a fault that may break the daemons' connections."""
        began = asyncio.get_running_loop().time()
        await self.mark_affected(daemons, seconds)
        self.record_harm(daemons, began)

    async def restart(self, daemon, signal_number: signal.Signals) -> None:
        if daemon.is_stopping:
            return
        daemon.is_stopping = True
        if signal_number == signal.SIGTERM and asyncio.get_running_loop().time() < daemon.started + STARTUP_SECONDS:
            await self.mark_affected([daemon], STARTUP_SECONDS)
        loop = asyncio.get_running_loop()
        signalled = loop.time()
        harmed_from = loop.time() + (daemons.GRACE_SECONDS * GRACE_FRACTION if signal_number == signal.SIGTERM else 0)
        stopping = asyncio.create_task(daemon.stop(signal_number))
        while not stopping.done():
            await self.mark_affected([daemon], 0.1)
        is_harmed = loop.time() > harmed_from
        if signal_number == signal.SIGTERM:
            # A daemon that has stood still since doesn't know when it is killed, and completes what it can.
            if daemon.held_up_until < signalled:
                self.fleet.stops.append((daemon.index, stopping.result()))
            self.fleet.stop_times[daemon.index].append((signalled, loop.time()))
        await self.mark_affected([daemon], self.random.uniform(0.2, 1.5))
        await daemon.start()
        if is_harmed:
            self.record_harm([daemon], harmed_from)
            self.fleet.stop_harms.add(self.fleet.harms[daemon.index][-1])
        daemon.is_stopping = False
        await self.mark_affected([daemon], 0.3)

    async def kill(self) -> None:
        await self.restart(self.random_daemon(), signal.SIGKILL)

    async def kill_many(self) -> None:
        count = self.random.randint(2, len(self.fleet.daemons))
        chosen = self.random.sample(self.fleet.daemons, count)
        await asyncio.gather(*(self.restart(daemon, signal.SIGKILL) for daemon in chosen))

    async def kill_most(self) -> None:
        """Kills six daemons in ten at once, and one at least."""
        chosen = self.random.sample(self.fleet.daemons, max(1, len(self.fleet.daemons) * 6 // 10))
        await asyncio.gather(*(self.restart(daemon, signal.SIGKILL) for daemon in chosen))

    async def reset_callers(self) -> None:
        """Resets all connections between callers and a daemon, which lives on and serves new ones at once."""
        daemon = self.random_daemon()
        self.fleet.caller_links[daemon.index].reset()
        self.record_harm([daemon], asyncio.get_running_loop().time())

    async def kill_in_series(self) -> None:
        """Kills all daemons several times in a row, so that no process knows the sends of the current retry window."""
        for _ in range(self.random.randint(2, 4)):
            await asyncio.gather(*(self.restart(daemon, signal.SIGKILL) for daemon in self.fleet.daemons))

    async def terminate(self) -> None:
        await self.restart(self.random_daemon(), signal.SIGTERM)

    async def freeze(self) -> None:
        daemon = self.random_daemon()
        daemon.send_signal(signal.SIGSTOP)
        await self.harm([daemon], self.random.uniform(0.3, 3))
        daemon.send_signal(signal.SIGCONT)

    async def freeze_others(self) -> None:
        """Freezes all daemons but one, for three of them in turn, so that the active one gets no messages."""
        for active in self.random.sample(self.fleet.daemons, 3):
            others = [daemon for daemon in self.fleet.daemons if daemon is not active]
            for daemon in others:
                daemon.send_signal(signal.SIGSTOP)
            await self.harm(self.fleet.daemons, self.random.uniform(1.2, 2.5))
            for daemon in others:
                daemon.send_signal(signal.SIGCONT)
            await self.mark_affected(others, 0.2)

    async def reload(self) -> None:
        daemon = self.random_daemon()
        daemon.send_signal(signal.SIGHUP)
        await self.mark_affected([daemon], 0.1)

    async def disturb_link(self, link, daemons) -> None:
        link.state = self.random.choice(links.FAULT_STATES)
        await self.harm(daemons, self.random.uniform(0.3, 2))
        if link.state != links.DELAYED:
            # Bytes were dropped, so the connections of the link can't continue and are reset.
            link.reset()
        link.state = links.OPEN

    async def harm_caller_link(self) -> None:
        daemon = self.random_daemon()
        await self.disturb_link(self.fleet.caller_links[daemon.index], [daemon])

    async def harm_target_link(self) -> None:
        await self.disturb_link(self.random.choice(self.fleet.target_links), self.fleet.daemons)

    async def reset_links(self) -> None:
        for link in self.random.sample(self.fleet.target_links, len(self.fleet.target_links) // 2):
            link.reset()
        await self.harm(self.fleet.daemons, 0.1)

    async def store_away(self) -> None:
        daemon = self.random_daemon()
        address = f"127.0.2.{daemon.index}"
        self.fleet.store.set_state(address, self.random.choice((store.REFUSES, store.HANGS)))
        await self.mark_affected([daemon], self.random.uniform(0.5, 4))
        self.fleet.store.set_state(address, store.UP)

    async def store_outage(self) -> None:
        state = self.random.choice((store.REFUSES, store.HANGS))
        for daemon in self.fleet.daemons:
            self.fleet.store.set_state(f"127.0.2.{daemon.index}", state)
        await self.mark_affected(self.fleet.daemons, self.random.uniform(0.5, 4))
        for daemon in self.fleet.daemons:
            self.fleet.store.set_state(f"127.0.2.{daemon.index}", store.UP)

    async def crash_target(self) -> None:
        target = self.random.choice(self.fleet.targets)
        if not target.is_up:
            return
        crashed_id = target.id
        target.crash()
        await asyncio.sleep(ENTRY_EXPIRY_SECONDS)
        await self.fleet.remove(crashed_id)
        if target.id != crashed_id:
            # Another fault has restarted it.
            return
        target.start()
        await self.fleet.announce(target)

    async def crash_to_next_version(self) -> None:
        """A target crashes, and a target of the next version gets its address soon; its old entry expires later."""
        target = self.random.choice(self.fleet.targets)
        if not target.is_up:
            return
        crashed_id = target.id
        target.crash()
        await asyncio.sleep(self.random.uniform(0.05, 1))
        if target.id == crashed_id:
            target.raise_version()
            target.start()
            await self.fleet.announce(target)
        await asyncio.sleep(ENTRY_EXPIRY_SECONDS)
        await self.fleet.remove(crashed_id)

    async def release_target(self) -> None:
        """Planned replacement of a target by one of the next version."""
        await self.replace_target(raises_version=True)

    async def crashing_request(self) -> None:
        """Callers repeat a request that crashes each target that runs it, beside one that is answered. Crashed targets are restarted."""
        if self.crashing_requests >= MOST_CRASHING_REQUESTS:
            return
        self.crashing_requests += 1
        loop = asyncio.get_running_loop()
        until = loop.time() + self.random.uniform(8, 12)
        prefix = self.random.choice((targets.CRASH_PREFIX, targets.CRASH_AFTER_HEAD_PREFIX))
        body = prefix + self.random.randbytes(8)
        harmless = body[::-1]
        kind = self.random.choice(("unsafe", "safe", "resumable"))
        pause = self.random.choice((0.05, 0.3))
        repeat = self.fleet.callers.repeat_request
        sending = [asyncio.create_task(repeat(kind, body, until, pause)) for _ in range(self.random.randint(1, 4))]
        sending.append(asyncio.create_task(repeat(kind, harmless, until, pause)))
        # It may have been answered before it begins to crash targets.
        await asyncio.sleep(self.random.choice((0, 1)))
        self.fleet.crashing.add(body)
        await self.restart_crashed(until, self.random.choice(RESTART_DELAYS))
        await asyncio.gather(*sending)
        self.crashing_requests -= 1

    async def crashing_part(self) -> None:
        """Requests that are all different share a part of their prompts that crashes targets; these are restarted."""
        if len(self.fleet.crashing_parts) >= MOST_CRASHING_PARTS:
            return
        loop = asyncio.get_running_loop()
        part, place = f"{self.random.getrandbits(32):08x}", self.random.randrange(len(callers.PART_VALUES))
        rate, until = self.random.choice(PART_RATES), loop.time() + self.random.uniform(*PART_SECONDS)
        self.fleet.crashing_parts[part] = self.random.random() < 0.3
        await asyncio.sleep(max(0.0, self.fleet.started + CALM_SECONDS - loop.time()))
        self.log.append(f"{loop.time() - self.fleet.started:.2f} part {part} at place {place}, {rate} a second, "
                        f"after the head: {self.fleet.crashing_parts[part]}")
        restarting = asyncio.create_task(self.restart_crashed(until, self.random.choice(RESTART_DELAYS)))
        sending = set()
        while loop.time() < until:
            task = asyncio.create_task(self.fleet.callers.send_with_part(part, place))
            sending.add(task)
            task.add_done_callback(sending.discard)
            await asyncio.sleep(self.random.uniform(0, 2 / rate))
        await asyncio.gather(restarting, *sending)

    async def restart_crashed(self, until: float, delay: float) -> None:
        """Restarts targets so long after their crash, until a little after `until`."""
        loop = asyncio.get_running_loop()
        while loop.time() < until + 2 * delay:
            down = [target for target in self.fleet.targets if not target.is_up]
            await asyncio.sleep(delay)
            for target in down:
                await self.start_again(target)

    async def start_again(self, target) -> None:
        """Starts a crashed target, unless another fault has meanwhile."""
        if target.is_up:
            return
        crashed_id = target.id
        target.start()
        await self.fleet.remove(crashed_id)
        await self.fleet.announce(target)

    async def endless_answers(self) -> None:
        """A third of the targets answer a part of their requests without end."""
        chosen = self.random.sample(self.fleet.targets, max(1, len(self.fleet.targets) // 3))
        for target in chosen:
            target.endless_probability = 0.3
        await asyncio.sleep(self.random.uniform(4, 8))
        for target in chosen:
            target.endless_probability = 0.0

    async def mute_target(self) -> None:
        target = self.random.choice(self.fleet.targets)
        target.is_unresponsive = True
        await self.mark_affected(self.fleet.daemons, self.random.uniform(0.5, 2.5))
        target.is_unresponsive = False

    async def cut(self, daemons, target_links, how: str, seconds: float) -> None:
        """Cuts daemons off from targets, but never all of them. They stay reachable for callers, the store and each other."""
        loop = asyncio.get_running_loop()
        spare = len(self.fleet.daemons) - len(self.cut_off) - 1
        chosen = frozenset([daemon.index for daemon in daemons if daemon.index not in self.cut_off][:spare])
        if not chosen:
            return
        self.cut_off |= chosen
        sources = [f"127.0.1.{index}" for index in sorted(chosen)]
        began = loop.time()
        self.log.append(f"{began - self.fleet.started:.2f} {how} for {seconds:.1f} s: {sources}, {len(target_links)} targets")
        for link in target_links:
            link.cut(sources, how)
        await asyncio.sleep(seconds)
        for link in target_links:
            link.mend(sources)
        self.record_harm([daemon for daemon in self.fleet.daemons if daemon.index in chosen], began)
        if len(target_links) == len(self.fleet.target_links):
            self.fleet.cuts.append((chosen, began, loop.time()))
        self.cut_off -= chosen

    async def cut_from_all(self, daemons) -> None:
        await self.cut(daemons, self.fleet.target_links, self.random.choice(links.CUTS), self.random.uniform(*CUT_SECONDS))

    async def cut_daemons(self) -> None:
        await self.cut_from_all(self.random.sample(self.fleet.daemons, self.random.randint(1, len(self.fleet.daemons) // 2)))

    async def cut_zone(self) -> None:
        zone = self.random.randrange(targets.ZONES)
        await self.cut_from_all([daemon for daemon in self.fleet.daemons if daemon.index % targets.ZONES == zone])

    async def cut_all_but_one(self) -> None:
        spared = self.random_daemon()
        await self.cut_from_all([daemon for daemon in self.fleet.daemons if daemon is not spared])

    async def cut_from_half(self) -> None:
        target_links = self.random.sample(self.fleet.target_links, len(self.fleet.target_links) // 2)
        daemons = self.random.sample(self.fleet.daemons, len(self.fleet.daemons) // 2)
        await self.cut(daemons, target_links, self.random.choice(links.CUTS), self.random.uniform(*CUT_SECONDS))

    async def cut_in_series(self) -> None:
        """The same daemons are cut off again and again, for short times and in different ways."""
        daemons = self.random.sample(self.fleet.daemons, len(self.fleet.daemons) // 2)
        for _ in range(4):
            await self.cut(daemons, self.fleet.target_links, self.random.choice(links.CUTS), self.random.uniform(0.3, 2.5))
            await asyncio.sleep(self.random.uniform(0.1, 1.0))

    async def cut_silently(self) -> None:
        """One, half or all but one of the daemons have connections that carry nothing."""
        count = self.random.choice((1, len(self.fleet.daemons) // 2, len(self.fleet.daemons) - 1))
        await self.cut(self.random.sample(self.fleet.daemons, count), self.fleet.target_links,
                       self.random.choice(links.SILENT_CUTS), self.random.uniform(*CUT_SECONDS))

    async def silence_target(self) -> None:
        """A sound target is silent for a moment and goes on."""
        target = self.random.choice(self.fleet.targets)
        target.is_unresponsive = True
        await asyncio.sleep(self.random.uniform(*SILENCE_SECONDS))
        target.is_unresponsive = False

    async def pause(self, chosen) -> None:
        async def pause_target(target) -> None:
            if not target.is_paused:
                target.is_paused = True
                await asyncio.sleep(self.random.uniform(*PAUSE_SECONDS))
                target.is_paused = False

        await asyncio.gather(*(pause_target(target) for target in chosen))

    async def pause_one(self) -> None:
        await self.pause([self.random.choice(self.fleet.targets)])

    async def pause_half(self) -> None:
        await self.pause(self.random.sample(self.fleet.targets, len(self.fleet.targets) // 2))

    async def pause_all(self) -> None:
        await self.pause(self.fleet.targets)

    async def pause_in_series(self) -> None:
        """Pauses parts of the targets, of which each begins before the one before has ended."""
        for _ in range(self.random.randint(3, 6)):
            self.running.add(asyncio.create_task(self.pause_half()))
            await asyncio.sleep(self.random.uniform(0.3, 1.2))

    async def limit_target(self) -> None:
        """A target names a limit in its answers, changes it now and then, and stops naming it."""
        target = self.random.choice(self.fleet.targets)
        if not target.is_up or target.limit is not None:
            return
        limited_id = target.id
        for _ in range(self.random.randint(1, 3)):
            target.name_limit(round(self.random.choice(LIMITS) * self.random.uniform(0.8, 1.2), 2))
            await asyncio.sleep(self.random.uniform(4, 9))
            if target.id != limited_id:
                return
        target.name_limit(None)

    async def brittle_service(self) -> None:
        """The targets of a service say that they are brittle, and crash if they have to reject too much. More callers come meanwhile."""
        service = self.random.choice(sorted({target.service for target in self.fleet.targets}))
        brittle = [target for target in self.fleet.targets if target.service == service]
        if any(target.brittle is not None for target in brittle):
            return
        loop = asyncio.get_running_loop()
        began, until = loop.time(), loop.time() + self.random.uniform(*BRITTLE_SECONDS)
        rejections, queue = self.random.randint(2, 5), self.random.randint(0, 2)
        for target in brittle:
            target.become_brittle(rejections, queue)
        burst = [asyncio.create_task(self.fleet.callers.run(BURST_CALLER_PAUSE)) for _ in range(BURST_CALLERS)]
        while loop.time() < until:
            down = [target for target in brittle if not target.is_up]
            await asyncio.sleep(2.0 if down else 0.1)
            for target in down:
                if not target.is_up:
                    await self.fleet.remove(target.id)
                    target.start()
                    await self.fleet.announce(target)
        for target in brittle:
            target.become_brittle(None)
        for caller in burst:
            caller.cancel()
        self.fleet.brittle_times.append((service, began, loop.time()))

    async def fail_service(self) -> None:
        """All targets of a service fail a fraction of their requests, in the same way."""
        service = self.random.choice(sorted({target.service for target in self.fleet.targets}))
        failing = [target for target in self.fleet.targets if target.service == service]
        failure = self.random.choice((targets.REJECTS, targets.FAILS, targets.RESETS))
        for target in failing:
            target.failure, target.failure_probability = failure, self.random.uniform(0.5, 1)
        await self.mark_affected(self.fleet.daemons, self.random.uniform(2, 6))
        for target in failing:
            target.failure = ""

    async def replace_target(self, raises_version: bool = False) -> None:
        """Planned replacement: a target drains, a delayed older write of its entry is applied, it stops, a new process starts."""
        target = self.random.choice(self.fleet.targets)
        if not target.is_up:
            return
        leaving_id = target.id
        await self.fleet.announce(target, "draining")
        delay = self.random.uniform(0.1, DRAIN_SECONDS)
        await asyncio.sleep(delay)
        await self.fleet.announce_stale(leaving_id)
        await asyncio.sleep(DRAIN_SECONDS + 2 - delay)
        if not target.is_up or target.id != leaving_id:
            # Another fault has stopped it; its stale entry is removed.
            await self.fleet.remove(leaving_id)
            return
        target.crash()
        await self.fleet.remove(leaving_id)
        await asyncio.sleep(self.random.uniform(0.1, 1))
        if target.id != leaving_id:
            return
        if raises_version:
            target.raise_version()
        target.start()
        await self.fleet.announce(target)

    async def release_all_and_kill(self) -> None:
        """All targets are replaced by those of the next version at the moment at which all daemons are killed, in series."""
        if self.is_releasing_all:
            return
        self.is_releasing_all = True
        for _ in range(self.random.randint(2, 3)):
            gone = [target.id for target in self.fleet.targets if target.is_up]
            for target in self.fleet.targets:
                if target.is_up:
                    target.crash()
                    target.raise_version()
                    target.start()
            restarting = [self.restart(daemon, signal.SIGKILL) for daemon in self.fleet.daemons]
            await asyncio.gather(*(self.fleet.remove(target_id) for target_id in gone),
                                 *(self.fleet.announce(target) for target in self.fleet.targets), *restarting)
            await asyncio.sleep(self.random.uniform(7, 12))
        self.is_releasing_all = False

    async def evacuate(self) -> None:
        zone = f"z{self.random.randrange(targets.ZONES)}"
        if zone in self.evacuated:
            return
        self.evacuated.add(zone)
        await self.fleet.evacuate(zone, self.random.uniform(3, 7))
        self.evacuated.discard(zone)

    async def change_configuration(self) -> None:
        await self.fleet.configure()

    async def change_limits(self) -> None:
        """Writes configurations in quick series that change limits, time-outs and idle times."""
        for _ in range(self.random.randint(2, 5)):
            self.fleet.change_limits(
                {"MaxHeaderBytes": self.random.choice((8192, 16384, 32768)),
                 "MaxBodyBytes": self.random.choice((1 << 16, 1 << 20)),
                 "HeaderTimeoutMs": self.random.choice((1500, 3000, 5000)),
                 "IdleTimeoutMs": self.random.choice((300, 1000, 10000))},
                {"TimeoutMs": self.random.choice((3500, 4000, 4600)),
                 "TargetLatencyMs": self.random.choice((300, 400, 800)),
                 "TargetGapMs": self.random.choice((150, 300, 500))})
            await self.fleet.configure()
            await asyncio.sleep(self.random.uniform(0.05, 0.5))

    async def revoke_key(self) -> None:
        if len(self.fleet.keys) > 2:
            self.fleet.revoked[self.fleet.keys.pop()] = asyncio.get_running_loop().time()
            await self.fleet.configure()

    async def replace_key(self) -> None:
        """Takes the oldest key away and adds one, which callers use once it must be known everywhere."""
        async with self.configuring:
            added = f"key-{len(self.fleet.revoked)}"
            self.fleet.revoked[self.fleet.keys.pop(0)] = asyncio.get_running_loop().time()
            self.fleet.keys.append(added)
            await self.fleet.configure()
            await asyncio.sleep(CONFIGURATION_PAUSE)
        await asyncio.sleep(KEY_SECONDS)
        self.fleet.callers.keys.append(added)

    async def resize_configuration(self) -> None:
        """Changes the number of unused routes; with all of them, a configuration takes a while on a small link."""
        async with self.configuring:
            self.fleet.idle_routes = self.random.choice(IDLE_ROUTES)
            await self.fleet.configure()
            await asyncio.sleep(CONFIGURATION_PAUSE)

    async def silence_store(self) -> None:
        """The open connections of some daemons to the store fall silent without a reset."""
        chosen = self.random.sample(self.fleet.daemons, self.random.randint(1, len(self.fleet.daemons) - 1))
        for daemon in chosen:
            self.fleet.store.silence(f"127.0.2.{daemon.index}")
        await self.mark_affected(chosen, 0.1)
