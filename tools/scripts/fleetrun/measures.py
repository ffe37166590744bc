"""Measures that need several daemons; each prints JSON lines and returns the exit code."""

import json
import os
import statistics
import threading
import time

from . import calls
from .processes import await_

Publishes = 20
Deaths = 5
FleetSizes = (3, 9, 18, 32)
IdleSeconds = 20
LimitSeconds = 30

# One engine and the plain service whose calls may not be repeated are reached through links.
Linked = {"mulgara": ("analyst-1", "assistant-1", "faults-1"),
          "pawsitters": ("care-1", "match-1", "booking-1")}


def show(**values):
    print(json.dumps({**values, "load1": os.getloadavg()[0]}), flush=True)


def summary(seconds):
    done = sorted(s for s in seconds if s is not None)
    if not done:
        return {"count": 0, "missing": len(seconds)}
    return {"count": len(done), "missing": len(seconds) - len(done),
            "medianSeconds": round(statistics.median(done), 3), "worstSeconds": round(done[-1], 3)}


def inEachThread(daemons, action):
    """The results of the action for each daemon, all at the same time."""
    results = {}

    def one(daemon):
        results[daemon.id] = action(daemon)
    threads = [threading.Thread(target=one, args=(daemon,)) for daemon in daemons]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def secondsUntilInForce(site, revision, began):
    """Until the last daemon has the revision in force; None when one never has."""
    def until(daemon):
        def isThere():
            status = calls.status(daemon.caller)
            return status is not None and status["generation"] >= revision
        return time.monotonic() - began if await_(isThere, LimitSeconds, 0.01) else None
    times = inEachThread(site.daemons, until)
    return None if None in times.values() else max(times.values())


def publishes(site, say, name):
    seconds = []
    for number in range(Publishes):
        time.sleep(0.3)
        began = time.monotonic()
        revision = site.publish(number)
        seconds.append(secondsUntilInForce(site, revision, began))
        if seconds[-1] is None:
            say(f"publish {number} wasn't in force everywhere after {LimitSeconds} s")
    show(measure=name, daemons=len(site.daemons), **summary(seconds))


def configuration(site, say):
    """Time from publishing to in force everywhere, then with one daemon that sees the platform."""
    site.hasPlatformLinks = True
    if not site.startPlatformAndTargets():
        return 1
    site.startPlatformLinks()
    if not site.startDaemons():
        return 1
    time.sleep(5)
    publishes(site, say, "in force")
    for daemon in site.daemons[1:]:
        calls.control(site.platformLink(daemon), state="cut")
    publishes(site, say, "in force, one daemon reaches the platform")
    for daemon in site.daemons:
        calls.control(site.platformLink(daemon), state="cut" if daemon.index == 0 else "held")
    calls.control(site.platformLink(site.daemons[-1]), state="open")
    publishes(site, say, "in force, one other daemon does, the links of the rest pass nothing")
    return 0


def namedBy(site, victim, observer):
    answer = calls.lookup(observer.caller)
    return answer is not None and victim.caller in answer


def keepsTargets(victim, observer):
    status = calls.status(observer.caller)
    return status is None or any(t["steward"] == victim.id for t in status["targets"])


def death(site, say):
    """SIGKILL under load: when lookups and stewardships have moved on, and what callers saw."""
    if not site.startPlatformAndTargets() or not site.startDaemons():
        return 1
    time.sleep(5)
    load = site.startLoad("load", 15, 20 * Deaths, 1, drain=130)
    named, kept = [], []
    for number in range(Deaths):
        time.sleep(3)
        victim = site.daemons[(2 * number + 1) % len(site.daemons)]
        others = [d for d in site.daemons if d is not victim]
        began = time.monotonic()
        victim.kill()
        times = inEachThread(others, lambda other: watchDeath(site, victim, other, began))
        named.append(max(lookup for lookup, _ in times.values()))
        kept.append(max(steward for _, steward in times.values()))
        say(f"death of {victim.id}: named {named[-1]:.2f} s, kept targets {kept[-1]:.2f} s")
        victim.start()
        await_(victim.isReady, LimitSeconds)
    code = load.wait()
    print(load.log.read_text(), end="")
    show(measure="death", daemons=len(site.daemons), deaths=Deaths, loadCode=code,
         lookupsNamedIt=summary(named), targetsKept=summary(kept))
    return 0 if code == 0 else 1


def watchDeath(site, victim, observer, began, seconds=12):
    """When the observer last named the dead daemon in a lookup and as a steward."""
    lastNamed = lastKept = 0
    while time.monotonic() - began < seconds:
        moment = time.monotonic() - began
        if namedBy(site, victim, observer):
            lastNamed = moment
        if keepsTargets(victim, observer):
            lastKept = moment
        time.sleep(0.02)
    return lastNamed, lastKept


def reads(site, say):
    """Reads at the platform by idle fleets of several sizes."""
    for size in FleetSizes:
        fleet = site.ofSize(size)
        if not fleet.startPlatformAndTargets() or not fleet.startDaemons():
            say(f"{size} daemons didn't start")
            return 1
        time.sleep(15)
        before = calls.document(fleet.platform, "/_counts")
        time.sleep(IdleSeconds)
        after = calls.document(fleet.platform, "/_counts")
        show(measure="platform reads", daemons=size, waiting=after["waiting"],
             readsInASecond=(after["reads"] - before["reads"]) / IdleSeconds,
             mostReadsInASecond=after["mostReadsInASecond"])
        fleet.group.endAll()
    return 0


All = {"configuration": configuration, "death": death, "reads": reads}
