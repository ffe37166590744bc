"""One site on loopback: platform, targets, links and daemons."""

import json
import os
import re
import signal
import time

from . import calls
from .processes import await_

ReadySeconds = 30
LongestSeconds = 1800
# The checks need every event; the daemon's limit on lines a second is far above what happens here.
EveryLine = 1_000_000
# "A few seconds": how long a target on a leaving VM may still be given new work.
LeavingSeconds = 5
# Offsets from the site's first port.
Platform, Targets, TargetLinks, PlatformLinks, Callers, Peers, Metrics, PeerLinks = (
    1, 100, 150, 200, 300, 400, 500, 600)


def readText(file):
    """A fleet text as a document; comments stand on lines of their own."""
    text = re.sub(r"^\s*//.*$", "", file.read_text(), flags=re.MULTILINE)
    return json.loads(text)


class Daemon:
    """One member over all of its lives."""

    def __init__(self, site, index, member):
        self.site = site
        self.index = index
        self.id = member["id"]
        self.dataCentre = member["dataCentre"]
        self.caller = site.address(Callers + index)
        self.listen = site.address(Peers + index)
        self.peer = site.address(PeerLinks + 2 * index)
        self.peerLink = site.address(PeerLinks + 2 * index + 1)
        self.metrics = site.address(Metrics + index)
        self.process = None
        self.lives = []
        self.pauses = []
        self.isAway = False

    def platformAddress(self):
        if self.site.hasPlatformLinks:
            return self.site.address(PlatformLinks + 2 * self.index)
        return self.site.platform

    def settings(self):
        seeds = [daemon.peer for daemon in self.site.daemons[:3]]
        return {
            "id": self.id, "vm": f"vm-of-{self.id}", "dataCentre": self.dataCentre,
            "region": self.site.regions[self.dataCentre], "callerAddress": self.caller,
            "peerAddress": self.peer, "peerListenAddress": self.listen,
            "metricsAddress": self.metrics,
            "platformAddress": self.platformAddress(), "seeds": seeds,
            "peerKeyFile": str(self.site.folder / "peer-keys"), "logFolder": "", "logLevel": 0,
            "logLinesPerSecond": EveryLine}

    def start(self):
        file = self.site.folder / f"{self.id}.json"
        file.write_text(json.dumps(self.settings(), indent=4))
        name = f"{self.id}-life-{len(self.lives) + 1}"
        self.process = self.site.group.start(
            name, [self.site.program("daemon", "apricothookd"), "--settings", file])
        self.lives.append({"log": self.process.log, "process": self.process, "end": None})

    def isReady(self):
        return calls.isOk(self.metrics, "/readyz")

    def kill(self):
        self.lives[-1]["end"] = "killed"
        self.process.kill()

    def drain(self):
        """SIGTERM; the exit code, None when it took too long."""
        self.lives[-1]["end"] = "drained"
        self.process.signal(signal.SIGTERM)
        code = self.process.wait()
        self.lives[-1]["code"] = code
        if code is None:
            self.process.kill()
        return code

    def pause(self, seconds):
        began = time.time()
        self.process.signal(signal.SIGSTOP)
        time.sleep(seconds)
        self.process.signal(signal.SIGCONT)
        self.pauses.append((began, time.time()))


class Site:
    """A site of one example text, with ports of its own."""

    def __init__(self, repository, build, folder, group, name, firstPort, count, linked=()):
        self.linked = linked
        self.repository = repository
        self.build = build
        self.folder = folder
        self.group = group
        self.name = name
        self.firstPort = firstPort
        self.hasPlatformLinks = False
        self.leavingSeconds = LeavingSeconds
        self.platform = self.address(Platform)
        self.document = readText(repository / "examples" / f"{name}.json")
        self.regions = {d["id"]: d["region"] for d in self.document["dataCentres"]}
        self.mix = {}
        self.splits = []
        self.targets = {}
        self.links = {}
        self.placeTargets(linked)
        self.placeMembers(count)
        self.daemons = []
        for index, member in enumerate(self.members):
            self.daemons.append(Daemon(self, index, member))

    def ofSize(self, count):
        """The same site with another number of daemons."""
        return Site(self.repository, self.build, self.folder, self.group, self.name,
                    self.firstPort, count, self.linked)

    def address(self, offset):
        return f"127.0.0.1:{self.firstPort + offset}"

    def program(self, package, name):
        return self.build / "packages" / package / name

    def placeTargets(self, linked):
        """Gives each target a port; daemons reach the linked ones through a link."""
        seen = json.loads(json.dumps(self.document))
        for index, target in enumerate(self.document["targets"]):
            address = self.address(Targets + index)
            target["address"] = address
            seen["targets"][index]["address"] = address
            like = self.targets.get(target.get("like"), {})
            self.targets[target["id"]] = {**like, **target, "address": address}
            if target["id"] in linked:
                link = self.address(TargetLinks + 2 * index)
                seen["targets"][index]["address"] = link
                self.links[target["id"]] = self.address(TargetLinks + 2 * index + 1)
        self.seen = seen

    def placeMembers(self, count):
        """The first names of the roster; more names are added where the text has too few."""
        centres = [d["id"] for d in self.document["dataCentres"]]
        roster = self.seen["roster"]
        while len(roster) < count:
            index = len(roster)
            roster.append({"id": f"entry-{index + 1}", "dataCentre": centres[index % len(centres)]})
        self.members = roster[:count]

    def text(self, note=0):
        """The text as daemons see it; the note makes texts differ without changing the policy."""
        self.seen["policy"]["lookupKeepSeconds"] = 10 + note % 2
        return json.dumps(self.seen, indent=1)

    def isEngine(self, target):
        kinds = {s["id"]: s["kind"] for s in self.document["services"]}
        return kinds[self.targets[target]["service"]] == "engine"

    def startPlatformAndTargets(self):
        standIn = self.program("testing", "apricothook-standin")
        (self.folder / "peer-keys").write_text(f"1 {os.urandom(32).hex()}\n")
        self.textFile = self.folder / "real.json"
        self.textFile.write_text(json.dumps(self.document, indent=1))
        published = self.folder / "published.json"
        published.write_text(self.text())
        self.group.start("platform", [standIn, "platform", "--port", self.firstPort + Platform,
                                      "--fleet", published, "--seconds", LongestSeconds])
        self.group.start("site", [standIn, "site", "--fleet", self.textFile,
                                  "--seconds", LongestSeconds])
        for target, controlAddress in self.links.items():
            port = int(controlAddress.split(":")[1])
            self.startLink(f"link-{target}", port - 1, self.targets[target]["address"])
        last = list(self.targets.values())[-1]["address"]
        return all(await_(lambda a=a: calls.isOk(a, "/_counts"), ReadySeconds)
                   for a in (self.platform, last))

    def startLink(self, name, port, target):
        self.group.start(name, [self.program("testing", "apricothook-standin"), "link",
                                "--port", port, "--target", target, "--control-port", port + 1,
                                "--seconds", LongestSeconds])

    def startPlatformLinks(self):
        self.hasPlatformLinks = True
        for daemon in self.daemons:
            port = self.firstPort + PlatformLinks + 2 * daemon.index
            self.startLink(f"platform-link-{daemon.id}", port, self.platform)

    def platformLink(self, daemon):
        return self.address(PlatformLinks + 2 * daemon.index + 1)

    def startDaemons(self):
        """Whether all became ready behind their links; prints those that didn't."""
        for daemon in self.daemons:
            port = self.firstPort + PeerLinks + 2 * daemon.index
            self.startLink(f"peer-link-{daemon.id}", port, daemon.listen)
        if not all(await_(lambda d=d: calls.isOk(d.peerLink, "/"), ReadySeconds)
                   for d in self.daemons):
            return False
        for daemon in self.daemons:
            daemon.start()
        late = [d.id for d in self.daemons if not await_(d.isReady, ReadySeconds)]
        if late:
            print(f"fleet-run: not ready after {ReadySeconds} s: {late}", flush=True)
        return not late

    def partition(self, group):
        """Datagrams between the group and the others are dropped; an empty group ends that."""
        for daemon in self.daemons:
            isIn = daemon in group
            blocked = [int(other.listen.split(":")[1]) for other in self.daemons
                       if group and (other in group) != isIn]
            calls.control(daemon.peerLink, blockSenders=blocked)

    def publish(self, note=0):
        """Publishes the text anew; the platform's revision afterwards."""
        calls.control(self.platform, text=self.text(note))
        return calls.document(self.platform, "/_counts")["revision"]

    def publishVms(self, leaving=()):
        vms = {target["vm"] for target in self.targets.values()}
        calls.control(self.platform, vms=[
            {"id": vm, "state": "leaving" if vm in leaving else "live"} for vm in sorted(vms)])

    def accepted(self, target):
        """Calls that the target took in, over all keys."""
        counts = calls.document(self.targets[target]["address"], "/_counts")
        return sum(row[0] for row in counts["keys"].values()) if counts else None

    def startLoad(self, name, rate, seconds, seed, burst=None, drain=130):
        arguments = [self.program("testing", "apricothook-load"), "--mix", self.name,
                     "--fleet", self.textFile, "--rate", rate, "--seconds", seconds,
                     "--entry", ",".join(d.caller for d in self.daemons), "--seed", seed,
                     "--callers", 24, "--drain", drain, "--counts", "--quiet"]
        if burst:
            arguments += ["--burst", burst]
        return self.group.start(name, arguments)

    def serviceOfClass(self, requestClass):
        """The service that the mix sends the class to."""
        if not self.mix:
            file = self.repository / "packages" / "testing" / "mixes" / f"{self.name}.json"
            self.mix = {kind["class"]: kind["service"] for kind in readText(file)["requests"]}
        return self.mix.get(requestClass)
