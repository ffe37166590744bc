"""Daemon processes under test, each with its own settings; signals are sent by process id."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
from dataclasses import dataclass, field

import targets

GRACE_SECONDS = 8
TARGET_CRASHED = 818
RETRY_RATIO, RETRY_WINDOW, RETRY_SLACK = 0.2, 10, 56
SETTINGS = """NodeName = "vm-{index}"
Zone = "z{zone}"
Region = "r"
IpAddress = "127.0.1.{index}"
InternalPortRange = [{internal}, {internal}]
SeedNodes = [{seeds}]
Bootstrap = {bootstrap}
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
CpuShare = {share}
MemoryMb = {memory}
FileDescriptors = {descriptors}
[Bounds]
GraceS = {grace}
ConfigApplyMs = 2000
DrainMs = 2000
RetryBudgetRatio = {retry_ratio}
BudgetWindowS = {retry_window}
RetryBudgetSlack = {retry_slack}
QuotaWindowS = 8
QuotaOvershoot = 0.25
QuotaSlack = 140000
ColdOvershoot = {overshoot}
ColdSlack = {slack}
EvacuationMs = 3000
ttl_max_s = 5
[Platform]
Address = "127.0.2.{index}:{base}"
"""


@dataclass
class Daemon:
    """The daemon of one VM. It listens on port `base` and the four ports after it, on its own loopback address."""

    index: int
    base: int
    seeds: list[int]
    program: pathlib.Path
    folder: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    # Time of the last fault of the daemon, its links or its store; time bounds are not checked around it.
    last_fault_at: float = 0.0
    is_stopping: bool = False
    # Whether the process that is started next is the first one, as the settings tell it.
    is_first_start: bool = True
    started: float = 0.0
    # When it last went on after it had stood still.
    held_up_until: float = 0.0
    # Limits of the process that the settings name.
    memory_mb: int = 260
    descriptors: int = 4100
    # Processors that the process may use; all if there are none.
    processors: frozenset[int] = frozenset()
    # Whether standard output is a pipe, and set while it is read.
    has_log_pipe: bool = False
    is_log_read: asyncio.Event = field(default_factory=asyncio.Event)
    log_copying: asyncio.Task | None = None

    @property
    def address(self) -> str:
        return f"127.0.1.{self.index}:{self.base}"

    @property
    def lookup(self) -> tuple[str, int]:
        return f"127.0.1.{self.index}", self.base + 3

    def write_settings(self) -> pathlib.Path:
        path = self.folder / f"vm-{self.index}.toml"
        path.write_text(SETTINGS.format(
            index=self.index, bootstrap=str(self.is_first_start).lower(), zone=self.index % targets.ZONES, base=self.base, ready=self.base + 1, control=self.base + 2,
            directory=self.base + 3, internal=self.base + 4, grace=GRACE_SECONDS,
            retry_ratio=RETRY_RATIO, retry_window=RETRY_WINDOW, retry_slack=RETRY_SLACK,
            overshoot=targets.COLD_OVERSHOOT, slack=targets.COLD_SLACK,
            share=0.5 if self.index % 4 == 0 else 0.12, memory=self.memory_mb, descriptors=self.descriptors,
            seeds=", ".join(f'"127.0.1.{seed}:{self.base + 2}"' for seed in self.seeds)))
        return path

    async def start(self) -> None:
        self.started = asyncio.get_running_loop().time()
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.program, "--settings", self.write_settings(), stdout=asyncio.subprocess.PIPE if self.has_log_pipe else log, stderr=log)
        self.is_first_start = False
        if self.processors:
            os.sched_setaffinity(self.process.pid, self.processors)
        if self.has_log_pipe:
            self.is_log_read.set()
            self.log_copying = asyncio.create_task(self.copy_log(self.process.stdout))

    @property
    def log_path(self) -> pathlib.Path:
        return self.folder / f"vm-{self.index}.log"

    async def copy_log(self, pipe: asyncio.StreamReader) -> None:
        while True:
            await self.is_log_read.wait()
            if not (lines := await pipe.read(65536)):
                return
            with open(self.log_path, "ab") as log:
                log.write(lines)

    def close_log(self) -> None:
        """Closes the reading end of the process's standard output."""
        self.process._transport.get_pipe_transport(1).close()

    def reported_crashes(self) -> list[str]:
        """Ids of the targets that the daemon's log reports as crashed."""
        lines = map(json.loads, filter(lambda line: line.startswith("{"), self.log_path.read_text().splitlines()))
        return [line["target"] for line in lines if line.get("event") == TARGET_CRASHED]

    def peak_memory(self) -> int:
        """Largest resident memory of the process so far, in bytes; 0 if there is none."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except (AttributeError, OSError):
            return 0
        peak = [line.split()[1] for line in status.splitlines() if line.startswith("VmHWM")]
        return int(peak[0]) * 1024 if peak else 0

    def send_signal(self, signal_number: signal.Signals) -> None:
        if self.process and self.process.returncode is None:
            # The process may have exited before its status was collected.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal_number)

    async def stop(self, signal_number: signal.Signals) -> int:
        """Sends the signal, kills the process after the grace period, and returns the exit status."""
        self.send_signal(signal_number)
        try:
            return await asyncio.wait_for(self.process.wait(), GRACE_SECONDS + 1)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()
            return -signal.SIGKILL
