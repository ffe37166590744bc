"""What must hold after a run; each check returns a list of broken promises."""

from . import calls, logs

# A reservation is logged by the entry a message after the steward gave it, and a raise by each
# steward; on a busy machine this much later.
LogSlackSeconds = 0.5
# Within this time after a split the members hear of each other's floors again.
HealSeconds = 8


class GenerationWatch:
    """Notes when a daemon, also as a new process, has a lower generation than it had before."""

    def __init__(self):
        self.highest = {}
        self.broken = []

    def look(self, site):
        for daemon in site.daemons:
            life = len(daemon.lives)
            if daemon.isAway or not daemon.isReady():
                continue
            status = calls.status(daemon.caller)
            if status is None or len(daemon.lives) != life:
                continue
            generation = status["generation"]
            before = self.highest.get(daemon.id, 0)
            if generation < before:
                self.broken.append(f"{daemon.id} went from generation {before} to {generation}")
            self.highest[daemon.id] = max(before, generation)


def processFaults(site):
    """Processes that ended by themselves, and drains that failed."""
    broken = []
    for daemon in site.daemons:
        for number, life in enumerate(daemon.lives, 1):
            name = f"{daemon.id} life {number}"
            if life["end"] is None and life["process"].child.poll() is not None:
                broken.append(f"{name} ended by itself with {life['process'].child.returncode}")
            if life["end"] == "drained" and life["code"] != 0:
                broken.append(f"{name} drained with exit code {life['code']}")
    return broken


def cutByDrain(site):
    """A drained process that accepted a request must have told its end as well."""
    ends = {logs.Refused, logs.Answered, logs.AnswerFound, logs.CallerLeft}
    broken = []
    for daemon in site.daemons:
        for number, life in enumerate(daemon.lives, 1):
            if life["end"] != "drained":
                continue
            events, _ = logs.readEvents(life["log"])
            ended = {event.key for event in events if event.number in ends}
            for event in events:
                if event.number == logs.Accepted and event.key not in ended:
                    broken.append(f"{daemon.id} life {number} drained but left {event.key} open")
    return broken


def leftOutLines(site):
    """Event lines that the log's limit left out; 0 when the logs are complete."""
    total = 0
    for daemon in site.daemons:
        for life in daemon.lives:
            events, _ = logs.readEvents(life["log"])
            total += sum(int(event.details.get("left-out", 0)) for event in events)
    return total


def wereSplit(site, one, other, moment):
    """Whether the two couldn't hear each other then or shortly before."""
    return any(began <= moment <= ended + HealSeconds and (one in group) != (other in group)
               for began, ended, group in site.splits)


def wasPaused(daemon, moment):
    return any(began - 1 <= moment <= ended + 2 for began, ended in daemon.pauses)


def gather(site):
    """All events of all lives in the order of time, each with its daemon."""
    found = []
    for daemon in site.daemons:
        for life in daemon.lives:
            events, _ = logs.readEvents(life["log"])
            found += [(event.at, daemon, event) for event in events]
    return sorted(found, key=lambda entry: entry[0])


def tierInversions(site):
    """Lower tiers that were reserved while a higher one of the same service was shed.

    From the moment when an entry tells that a request of a tier was shed until the first steward
    tells that the service's floor fell, no entry may be given room for a lower tier. Each side of a
    partition agrees on its own, so entries of two sides aren't compared.
    """
    tierOf, classService, shedAt, broken = {}, {}, {}, []
    for at, daemon, event in gather(site):
        if event.number == logs.Accepted:
            tierOf[event.key] = int(event.details["tier"])
            classService[event.key] = event.details["class"]
        elif event.number == logs.Refused and event.details["reason"] == "shed" and event.key in tierOf:
            service = site.serviceOfClass(classService[event.key])
            shedAt.setdefault(service, {})[tierOf[event.key]] = (at, daemon)
        elif event.number == logs.FloorFell:
            shedAt.pop(event.details["service"], None)
        elif event.number == logs.Reserved and event.key in tierOf:
            broken += inversionsOf(site, daemon, event, tierOf[event.key], shedAt)
    return broken


def inversionsOf(site, daemon, event, tier, shedAt):
    service = site.targets[event.details["target"]]["service"]
    if wasPaused(daemon, event.at):
        return []
    return [f"{service}: tier {tier} reserved at {daemon.id}, tier {shed} was shed "
            f"{event.at - at:.2f} s before: {event.key}"
            for shed, (at, by) in shedAt.get(service, {}).items()
            if shed < tier and event.at - at > LogSlackSeconds
            and not wereSplit(site, daemon, by, event.at)]


def countOf(site, *numbers):
    return sum(1 for _, _, event in gather(site) if event.number in numbers)


def errorEvents(site):
    """How often each event of the severity error was logged."""
    counts = {}
    for _, _, event in gather(site):
        if event.severity in "EF":
            counts[event.text.split()[0]] = counts.get(event.text.split()[0], 0) + 1
    return counts
