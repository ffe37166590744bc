"""A small deployment on loopback: settings as the platform writes them, daemons as separate processes, and targets."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools" / "soak"))
import http1  # noqa: E402
import store as store_module  # noqa: E402

# The command that deploy/system.toml names under `run`, and its settings as DEPLOY.md gives them.
PROGRAM = ROOT / "target" / "platform" / "apricothookd-platform"
ZONES = ("za", "zb", "zc")
HOST = "shop.example"
STABLE_SECONDS, RESTART_SECONDS = 3.0, 0.5
SETTINGS = """NodeName = "edge-{zone}-{index}"
Role = "entry"
MachineClass = "edge"
Serves = ["edge","registry","control_plane"]
IpAddress = "{ip}"
Zone = "{zone}"
Region = "r"
InternalPortRange = [{internal},{internal_end}]
SeedNodes = [{seeds}]
Bootstrap = {bootstrap}
InFaultBudget = false
Discovery = "platform"
EntryKind = "registry"
HeartbeatMs = 1200
[Zones]
za = "r"
zb = "r"
zc = "r"
[ListenAddresses]
Frontend = "{ip}:{base}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
Directory = "{ip}:{directory}"
[Limits]
CpuShare = 0.25
CpuCores = 1
MemoryMb = 260
FileDescriptors = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddressReuseS = 2
StableWindowMs = 3000
AckTimeoutMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
OuterBoundMs = 5000
StrictRevocation = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 56
QuotaWindowS = 8
QuotaOvershoot = 0.25
QuotaSlack = 140000
RecoveryS = 12
PassMs = 120
ReuseWindowS = 10
ttl_max_s = 5
[Platform]
Address = "{platform}"
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""


class Record:
    """Writes lines with the time since the start to the case's record."""

    def __init__(self, path: pathlib.Path) -> None:
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


class Daemon:
    """The daemon of one machine. A process that ends by itself is started again after a short delay."""

    def __init__(self, site: "Site", index: int) -> None:
        self.site, self.index = site, index
        self.ip, self.platform_ip = f"127.{site.net}.1.{index}", f"127.{site.net}.2.{index}"
        self.zone = ZONES[index % len(ZONES)]
        self.process: asyncio.subprocess.Process | None = None
        self.is_expected_down, self.is_first_start = False, True
        # Times at which the process ended though nobody had sent it a signal, with its exit status.
        self.own_ends: list[tuple[float, int]] = []
        self.started_at = 0.0

    def write_settings(self) -> pathlib.Path:
        base, net = self.site.base, self.site.net
        path = self.site.folder / f"node-{self.index}.toml"
        path.write_text(SETTINGS.format(
            index=self.index, ip=self.ip, zone=self.zone, base=base, ready=base + 1, control=base + 2, directory=base + 3,
            internal=base + 10, internal_end=base + 25, platform=f"{self.platform_ip}:{base}", bootstrap=str(self.is_first_start).lower(),
            seeds=", ".join(f'"127.{net}.1.{seed}:{base + 2}"' for seed in self.site.seeds)))
        return path

    async def start(self) -> None:
        environment = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"), "APRICOTHOOK_BOOT": str(self.write_settings())}
        self.is_first_start, self.is_expected_down = False, False
        with open(self.site.folder / f"node-{self.index}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(str(PROGRAM), cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.started_at = time.monotonic()
        asyncio.ensure_future(self.watch(self.process))

    async def watch(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        if self.is_expected_down or self.site.is_over:
            return
        self.own_ends.append((time.monotonic(), status))
        self.site.record.line(f"daemon {self.index}: the process ended by itself, status {status}")
        await asyncio.sleep(RESTART_SECONDS)
        if not self.site.is_over:
            await self.start()

    def send_signal(self, number: signal.Signals) -> None:
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.is_expected_down = True
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        self.send_signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def wait_until_ready(self, seconds: float = 20) -> bool:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(OSError, http1.Broken):
                reader, writer = await asyncio.open_connection(self.ip, self.site.base + 1)
                writer.write(http1.message("GET /-/readiness HTTP/1.1", {"Host": self.ip, "Connection": "close"}))
                head = await http1.read_head(reader)
                writer.close()
                if head.status == 200:
                    return True
            await asyncio.sleep(0.05)
        return False


class Site:
    """Daemons, the platform's store, and where they listen."""

    def __init__(self, record: pathlib.Path, daemons: int, seeds: list[int] | None = None) -> None:
        self.record = Record(record)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.seeds, self.is_over = seeds or [1, 2, 3][:daemons], False
        self.net, self.base = self.choose_addresses()
        self.store = store_module.Store()
        self.daemons = [Daemon(self, index) for index in range(1, daemons + 1)]

    @staticmethod
    def choose_addresses() -> tuple[int, int]:
        """A loopback network and a port from which on the ports of a machine are free there."""
        for _ in range(200):
            net, base = random.randrange(20, 250), random.randrange(20000, 30000)
            try:
                for port in (*range(base, base + 4), base + 10, base + 30):
                    with socket.socket() as probe:
                        probe.bind((f"127.{net}.1.1", port))
                return net, base
            except OSError:
                continue
        sys.exit(2)

    async def set_up(self, configuration: dict) -> None:
        if not PROGRAM.exists():
            print(f"{PROGRAM} is missing: run the build of the deploy file first")
            sys.exit(2)
        await self.store.put("op/config", configuration)
        for daemon in self.daemons:
            await self.store.listen(daemon.platform_ip, self.base)
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            if not await daemon.wait_until_ready():
                print("a daemon doesn't become ready")
                sys.exit(2)

    async def end(self) -> None:
        self.is_over = True
        for daemon in self.daemons:
            await daemon.kill()


def configuration(version: int, routes: list[dict], services: list[dict], tenants: list[dict]) -> dict:
    return {"Version": version, "Routes": routes, "Services": services, "Tenants": tenants,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 10000}}


def route(name: str, prefix: str, service: str, kind: str, **fields: object) -> dict:
    return {"Name": name, "Hostname": HOST, "Prefix": prefix, "Service": service, "RouteKind": kind, "MaxAttempts": 2,
            "TimeoutMs": 5000, "TargetLatencyMs": 400, "Priority": 1, **fields}


def new_id() -> str:
    return f"{random.getrandbits(64):016x}"


def signature(request_id: str) -> str:
    return f"sig-{request_id[::-1]}"


def dump(value: object) -> str:
    return json.dumps(value, sort_keys=True)
