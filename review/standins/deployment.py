"""A small deployment on loopback for the scripts of the review: settings, daemons, and what the platform does to a process.

The platform's store comes from tools/soak. Daemons are started with the command of deploy/system.toml.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import signal
import socket
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools" / "soak"))

PORTS = 5
RESTART_SECONDS = 0.5
SETTINGS = """NodeName = "edge-z{zone}-{index}"
Role = "entry"
MachineClass = "edge"
Serves = ["edge","registry","control_plane"]
IpAddress = "127.0.1.{index}"
Zone = "z{zone}"
Region = "r"
InternalPortRange = [{internal}, {internal}]
SeedNodes = [{seeds}]
Bootstrap = true
Discovery = "platform"
EntryKind = "registry"
HeartbeatMs = 1200
[Zones]
z0 = "r"
z1 = "r"
z2 = "r"
[ListenAddresses]
Frontend = "127.0.1.{index}:{base}"
Ready = "127.0.1.{index}:{ready}"
Control = "127.0.1.{index}:{control}"
Directory = "127.0.1.{index}:{directory}"
[Limits]
CpuShare = 0.25
CpuCores = 1
MemoryMb = {memory}
FileDescriptors = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
StableWindowMs = 3000
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
OuterBoundMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 56
QuotaWindowS = 8
QuotaOvershoot = 0.25
QuotaSlack = 140000
RecoveryS = 12
ttl_max_s = 5
[Platform]
Address = "127.0.2.{index}:{base}"
form = "read"
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
"""


def free_base() -> int:
    """First of PORTS consecutive ports that nobody listens on at the first daemon's address."""
    for base in range(23000 + os.getpid() % 500 * 10, 60000, 10):
        sockets = []
        try:
            for port in range(base, base + PORTS):
                one = socket.socket()
                sockets.append(one)
                one.bind(("127.0.1.1", port))
            return base
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise OSError("no free ports")


def addresses_of(lookup: bytes) -> list[str]:
    """Addresses of the answer to a lookup."""
    return json.loads(lookup)["Addresses"]


def run_command() -> list[str]:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["entry"]["run"].split()


started: list[asyncio.subprocess.Process] = []


def end_all() -> None:
    """Ends what a case that failed has left running."""
    for process in started:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGKILL)


def end_on_signal() -> None:
    """Makes a case that is asked to stop end its processes first."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


class Daemon:
    """One machine's process. The platform restarts a process that has ended, shortly after."""

    def __init__(self, index: int, count: int, base: int, memory_mb: int, folder: pathlib.Path, log,
                 descriptors: int = 4100) -> None:
        self.index, self.base, self.memory_mb, self.log, self.descriptors = index, base, memory_mb, log, descriptors
        self.address = (f"127.0.1.{index}", base)
        self.settings = folder / f"edge-{index}.toml"
        self.output = folder / f"edge-{index}.log"
        seeds = ", ".join(f'"127.0.1.{seed}:{base + 2}"' for seed in range(1, min(count, 3) + 1))
        self.settings.write_text(SETTINGS.format(
            index=index, zone=index % 3, base=base, ready=base + 1, control=base + 2, directory=base + 3,
            internal=base + 4, seeds=seeds, memory=memory_mb))
        self.process: asyncio.subprocess.Process | None = None
        self.peak_mb = 0.0
        # When the platform ended the process as it was over its memory.
        self.ended_at: list[float] = []
        self.is_over = False

    async def start(self) -> None:
        with open(self.output, "ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *run_command(), cwd=ROOT, env={"PATH": os.environ["PATH"], "APRICOTHOOK_BOOT": str(self.settings)},
                stdout=output, stderr=output, preexec_fn=self.limit_descriptors)
        started.append(self.process)
        self.log("daemon", edge=self.index, event="started", pid=self.process.pid)

    def limit_descriptors(self) -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    def memory(self) -> float:
        """Resident memory in MB; 0 if the process is gone."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        lines = [line for line in status.splitlines() if line.startswith("VmRSS")]
        return int(lines[0].split()[1]) / 1024 if lines else 0.0

    async def supervise(self) -> None:
        """The platform: a process that exceeds MemoryMb is killed; one that has ended is started again."""
        while not self.is_over:
            used = self.memory()
            self.peak_mb = max(self.peak_mb, used)
            if used > self.memory_mb:
                self.ended_at.append(asyncio.get_running_loop().time())
                self.log("platform", edge=self.index, event="killed, over MemoryMb", mb=round(used))
                os.kill(self.process.pid, signal.SIGKILL)
            if self.process.returncode is not None or used > self.memory_mb:
                await self.process.wait()
                await asyncio.sleep(RESTART_SECONDS)
                if not self.is_over:
                    await self.start()
            await asyncio.sleep(0.005)

    async def stop(self) -> None:
        self.is_over = True
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()
