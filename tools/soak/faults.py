"""The faults of a seed: what happens to what, when, one after the other and overlapping."""

import asyncio
import random
import signal

import links
import store
import targets

# A runner's entry lapses after three heartbeats of silence.
LAPSE_SECONDS = 3.6
DRAIN_SECONDS = 2.0
# Until then a process may not have come to its own code, and a signal ends it.
STARTING_SECONDS = 0.3
# A target that a request crashed is back after so long.
CRASHED_SECONDS = 2.0


class Faults:
    """Plays faults on a bench; each marks the daemons that it touches."""

    def __init__(self, bench, seed: int, chosen: str = "on") -> None:
        """`chosen`: on, off, or the names of some kinds with commas between; another name is an error."""
        self.bench, self.random = bench, random.Random(seed)
        self.running: set[asyncio.Task] = set()
        self.told: list[str] = []
        self.evacuated: set[str] = set()
        self.kinds = [self.kill, self.kill_many, self.freeze, self.terminate, self.reload, self.harm_caller_link,
                      self.harm_target_link, self.reset_links, self.store_away, self.store_outage, self.crash_target,
                      self.mute_target, self.replace_target, self.change_configuration, self.revoke_key, self.evacuate,
                      self.fail_service, self.kill_in_series, self.freeze_others]
        # Only where it is named: it ends most targets.
        self.named_only = [self.crashing_request]
        if chosen != "on":
            known = {kind.__name__: kind for kind in self.kinds + self.named_only}
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
            self.told.append(f"{loop.time() - self.bench.started:.2f} {kind.__name__}")
            task = asyncio.create_task(kind())
            self.running.add(task)
            await asyncio.sleep(self.random.uniform(0.05, 1.0))
        await asyncio.gather(*self.running)

    def daemon(self):
        return self.random.choice(self.bench.daemons)

    async def harm(self, daemons, seconds: float) -> None:
        """Waits so long while the daemons count as harmed."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            for daemon in daemons:
                daemon.last_harm = loop.time()
            await asyncio.sleep(0.1)

    async def restart(self, daemon, number: signal.Signals) -> None:
        if daemon.stops:
            return
        daemon.stops = True
        if number == signal.SIGTERM and asyncio.get_running_loop().time() < daemon.started + STARTING_SECONDS:
            await self.harm([daemon], STARTING_SECONDS)
        ending = asyncio.create_task(daemon.end(number))
        while not ending.done():
            await self.harm([daemon], 0.1)
        if number == signal.SIGTERM:
            self.bench.stops.append((daemon.index, ending.result()))
        await self.harm([daemon], self.random.uniform(0.2, 1.5))
        await daemon.start()
        daemon.stops = False
        await self.harm([daemon], 0.3)

    async def kill(self) -> None:
        await self.restart(self.daemon(), signal.SIGKILL)

    async def kill_many(self) -> None:
        count = self.random.randint(2, len(self.bench.daemons))
        chosen = self.random.sample(self.bench.daemons, count)
        await asyncio.gather(*(self.restart(daemon, signal.SIGKILL) for daemon in chosen))

    async def kill_in_series(self) -> None:
        """All daemons, again and again, so that none remembers what it did in the retry window."""
        for _ in range(self.random.randint(2, 4)):
            await asyncio.gather(*(self.restart(daemon, signal.SIGKILL) for daemon in self.bench.daemons))

    async def terminate(self) -> None:
        await self.restart(self.daemon(), signal.SIGTERM)

    async def freeze(self) -> None:
        daemon = self.daemon()
        daemon.send(signal.SIGSTOP)
        await self.harm([daemon], self.random.uniform(0.3, 3))
        daemon.send(signal.SIGCONT)

    async def freeze_others(self) -> None:
        """One daemon hears nobody for as long; each of a few in turn."""
        for alone in self.random.sample(self.bench.daemons, 3):
            others = [daemon for daemon in self.bench.daemons if daemon is not alone]
            for daemon in others:
                daemon.send(signal.SIGSTOP)
            await self.harm(self.bench.daemons, self.random.uniform(1.2, 2.5))
            for daemon in others:
                daemon.send(signal.SIGCONT)
            await self.harm(others, 0.2)

    async def reload(self) -> None:
        daemon = self.daemon()
        daemon.send(signal.SIGHUP)
        await self.harm([daemon], 0.1)

    async def harm_link(self, link, daemons) -> None:
        link.state = self.random.choice(links.HARMS)
        await self.harm(daemons, self.random.uniform(0.3, 2))
        if link.state != links.DELAYED:
            # What was swallowed is gone; the connection can't go on as if it weren't.
            link.reset()
        link.state = links.OPEN

    async def harm_caller_link(self) -> None:
        daemon = self.daemon()
        await self.harm_link(self.bench.caller_links[daemon.index], [daemon])

    async def harm_target_link(self) -> None:
        await self.harm_link(self.random.choice(self.bench.target_links), self.bench.daemons)

    async def reset_links(self) -> None:
        for link in self.random.sample(self.bench.target_links, len(self.bench.target_links) // 2):
            link.reset()
        await self.harm(self.bench.daemons, 0.1)

    async def store_away(self) -> None:
        daemon = self.daemon()
        address = f"127.0.2.{daemon.index}"
        self.bench.store.set_state(address, self.random.choice((store.REFUSES, store.HANGS)))
        await self.harm([daemon], self.random.uniform(0.5, 4))
        self.bench.store.set_state(address, store.UP)

    async def store_outage(self) -> None:
        state = self.random.choice((store.REFUSES, store.HANGS))
        for daemon in self.bench.daemons:
            self.bench.store.set_state(f"127.0.2.{daemon.index}", state)
        await self.harm(self.bench.daemons, self.random.uniform(0.5, 4))
        for daemon in self.bench.daemons:
            self.bench.store.set_state(f"127.0.2.{daemon.index}", store.UP)

    async def crash_target(self) -> None:
        target = self.random.choice(self.bench.targets)
        if not target.is_up:
            return
        gone = target.id
        target.crash()
        await asyncio.sleep(LAPSE_SECONDS)
        await self.bench.remove(gone)
        target.start()
        await self.bench.announce(target)

    async def crashing_request(self) -> None:
        """A request that crashes each target that runs it, and comes again; the targets are back after a while."""
        loop = asyncio.get_running_loop()
        until = loop.time() + self.random.uniform(8, 12)
        body = targets.CRASHING + self.random.randbytes(8)
        kind = self.random.choice(("unsafe", "safe"))
        sending = asyncio.create_task(self.bench.callers.send_again(kind, body, until, 0.3))
        while loop.time() < until + 2 * CRASHED_SECONDS:
            down = [target for target in self.bench.targets if not target.is_up]
            await asyncio.sleep(CRASHED_SECONDS)
            for target in down:
                if not target.is_up:
                    await self.bench.remove(target.id)
                    target.start()
                    await self.bench.announce(target)
        await sending

    async def mute_target(self) -> None:
        target = self.random.choice(self.bench.targets)
        target.is_mute = True
        await self.harm(self.bench.daemons, self.random.uniform(0.5, 2.5))
        target.is_mute = False

    async def fail_service(self) -> None:
        """All targets of a service fail a part of their requests, in one way."""
        service = self.random.choice(sorted({target.service for target in self.bench.targets}))
        failing = [target for target in self.bench.targets if target.service == service]
        failure = self.random.choice((targets.REJECTS, targets.FAILS, targets.RESETS))
        for target in failing:
            target.failure, target.failing_part = failure, self.random.uniform(0.5, 1)
        await self.harm(self.bench.daemons, self.random.uniform(2, 6))
        for target in failing:
            target.failure = ""

    async def replace_target(self) -> None:
        """A planned one: it drains, an older write of it takes effect, it leaves, and another process comes."""
        target = self.random.choice(self.bench.targets)
        if not target.is_up:
            return
        leaving = target.id
        await self.bench.announce(target, "draining")
        late = self.random.uniform(0.1, DRAIN_SECONDS)
        await asyncio.sleep(late)
        await self.bench.announce_late(leaving)
        await asyncio.sleep(DRAIN_SECONDS + 2 - late)
        if not target.is_up or target.id != leaving:
            # Another fault ended it, and its late entry lapses.
            await self.bench.remove(leaving)
            return
        target.crash()
        await self.bench.remove(leaving)
        await asyncio.sleep(self.random.uniform(0.1, 1))
        target.start()
        await self.bench.announce(target)

    async def evacuate(self) -> None:
        zone = f"z{self.random.randrange(targets.ZONES)}"
        if zone in self.evacuated:
            return
        self.evacuated.add(zone)
        await self.bench.evacuate(zone, self.random.uniform(3, 7))
        self.evacuated.discard(zone)

    async def change_configuration(self) -> None:
        await self.bench.configure()

    async def revoke_key(self) -> None:
        if len(self.bench.keys) > 2:
            self.bench.revoked[self.bench.keys.pop()] = asyncio.get_running_loop().time()
            await self.bench.configure()
