"""Faults that a seed draws, one after another, while load runs."""

import random
import threading
import time

from . import calls

MostAway = 2
ReplaceSeconds = (1, 8)
PauseSeconds = (1, 20)
LinkSeconds = (1, 8)
PartitionSeconds = (4, 25)
PlatformSeconds = (3, 15)
GapSeconds = (1.5, 5)


class FaultDriver:
    """Draws faults from a seed until told to stop; each has a thread that also ends it."""

    def __init__(self, site, seed, say):
        self.site = site
        self.random = random.Random(seed)
        self.say = say
        self.counts = {}
        self.broken = []
        self.threads = []
        self.busy = set()
        self.lock = threading.Lock()
        self.kinds = [
            (4, self.killDaemon), (2, self.drainDaemon), (3, self.pauseDaemon), (3, self.cutLink),
            (6, self.engineFault), (2, self.plainFault), (2, self.platformFault),
            (3, self.publish), (1, self.leavingVm), (2, self.partition), (1, self.deafDaemon)]

    def run(self, seconds):
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            weights = [weight for weight, _ in self.kinds]
            kind = self.random.choices([kind for _, kind in self.kinds], weights)[0]
            kind(random.Random(self.random.random()))
            time.sleep(self.random.uniform(*GapSeconds))

    def finish(self):
        for thread in self.threads:
            thread.join()

    def begin(self, name, told, action, subject=None):
        """Runs the action on its own thread unless the subject has a fault already."""
        subject = subject or told
        with self.lock:
            if subject in self.busy:
                return
            self.busy.add(subject)
            self.counts[name] = self.counts.get(name, 0) + 1
        self.say(f"fault: {name} {told}")

        def whole():
            try:
                action()
            finally:
                with self.lock:
                    self.busy.discard(subject)
        self.threads.append(threading.Thread(target=whole))
        self.threads[-1].start()

    def someDaemon(self, draw):
        if sum(daemon.isAway for daemon in self.site.daemons) >= MostAway:
            return None
        here = [d for d in self.site.daemons if not d.isAway and d.id not in self.busy]
        return draw.choice(here) if here else None

    def withDaemon(self, name, draw, action):
        daemon = self.someDaemon(draw)
        if daemon is None:
            return
        daemon.isAway = True

        def whole():
            action(daemon)
            if not daemon.process.isRunning():
                time.sleep(draw.uniform(*ReplaceSeconds))
                daemon.start()
            limit = time.monotonic() + 30
            while not daemon.isReady() and time.monotonic() < limit:
                time.sleep(0.1)
            if not daemon.isReady():
                self.broken.append(f"{daemon.id} wasn't ready 30 s after {name}")
            daemon.isAway = False
        self.begin(name, daemon.id, whole)

    def killDaemon(self, draw):
        self.withDaemon("SIGKILL", draw, lambda daemon: daemon.kill())

    def drainDaemon(self, draw):
        self.withDaemon("SIGTERM", draw, lambda daemon: daemon.drain())

    def pauseDaemon(self, draw):
        seconds = draw.uniform(*PauseSeconds)
        self.withDaemon("SIGSTOP", draw, lambda daemon: daemon.pause(seconds))

    def cutLink(self, draw):
        address = draw.choice(list(self.site.links.values()))
        kind = draw.choice(["cut", "held", "silenceOpen"])
        seconds = draw.uniform(*LinkSeconds)

        def act():
            if kind == "silenceOpen":
                calls.control(address, silenceOpen=True)
                return
            calls.control(address, state=kind)
            time.sleep(seconds)
            calls.control(address, state="open")
        self.begin(f"link {kind}", f"link {address}", act)

    def partition(self, draw):
        """One data centre, or any group, is cut off from the rest; both sides go on serving."""
        daemons = self.site.daemons
        if draw.random() < 0.5:
            centre = draw.choice(daemons).dataCentre
            group = [d for d in daemons if d.dataCentre == centre]
        else:
            group = draw.sample(daemons, draw.randint(1, len(daemons) // 2))
        seconds = draw.uniform(*PartitionSeconds)

        def act():
            began = time.time()
            self.site.partition(group)
            time.sleep(seconds)
            self.site.partition([])
            self.site.splits.append((began, time.time(), group))
        self.begin("partition", f"peers of {[d.id for d in group]}", act, subject="peers")

    def deafDaemon(self, draw):
        """Nothing reaches one daemon from its peers, but it is heard."""
        daemon = draw.choice(self.site.daemons)
        seconds = draw.uniform(*LinkSeconds)

        def act():
            began = time.time()
            calls.control(daemon.peerLink, state="cut")
            time.sleep(seconds)
            calls.control(daemon.peerLink, state="open")
            self.site.splits.append((began, time.time(), [daemon]))
        self.begin("deaf daemon", f"peer link of {daemon.id}", act)

    def targetFault(self, draw, isEngine, choices):
        target = draw.choice([t for t in self.site.targets if self.site.isEngine(t) == isEngine])
        address = self.site.targets[target]["address"]
        fault, lifted = draw.choice(choices)
        seconds = draw.uniform(*LinkSeconds)

        def act():
            calls.control(address, **fault)
            if lifted:
                time.sleep(seconds)
                calls.control(address, **lifted)
        name = ("engine " if isEngine else "plain ") + next(iter(fault))
        self.begin(name, target, act)

    def engineFault(self, draw):
        self.targetFault(draw, True, [
            ({"kills": 2, "killAfterBytes": 200}, None), ({"silenceOpen": True}, None),
            ({"crash": True}, None), ({"stall": True}, {"stall": False}),
            ({"straggler": 3}, {"straggler": 1}), ({"refuse": True}, {"refuse": False}),
            ({"down": True}, {"down": False})])

    def plainFault(self, draw):
        self.targetFault(draw, False, [
            ({"kills": 2}, None), ({"stall": True}, {"stall": False}),
            ({"refuse": True}, {"refuse": False}), ({"down": True}, {"down": False}),
            ({"delayMs": 300}, {"delayMs": 5})])

    def platformFault(self, draw):
        fault = draw.choice(["down", "stale"])
        seconds = draw.uniform(*PlatformSeconds)

        def act():
            calls.control(self.site.platform, **{fault: True})
            time.sleep(seconds)
            calls.control(self.site.platform, **{fault: False})
        self.begin(f"platform {fault}", "platform", act)

    def publish(self, draw):
        note = draw.randrange(1000)
        self.begin("publish", "text", lambda: self.site.publish(note))

    def leavingVm(self, draw):
        target = draw.choice([t for t in self.site.targets if self.site.isEngine(t)])
        self.begin("leaving VM", "vm list", lambda: self.leave(target))

    def leave(self, target):
        """A target whose VM is on its way out takes in no new call after some seconds."""
        self.site.publishVms([self.site.targets[target]["vm"]])
        time.sleep(self.site.leavingSeconds)
        before = self.site.accepted(target)
        time.sleep(10)
        after = self.site.accepted(target)
        self.site.publishVms()
        if None not in (before, after) and after > before:
            self.broken.append(f"{target} on a leaving VM took in {after - before} new calls")
