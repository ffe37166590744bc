"""Emulated targets: they serve plain answers and event streams, and record each request that they run."""

import asyncio
import hashlib
import math
import random
import re
from dataclasses import dataclass

import http1

SLOTS, QUEUED = 8, 8
ZONES = 3
COLD_SECONDS, COLD_PER_SECOND, COLD_OVERSHOOT, COLD_SLACK = 3.0, 4, 1.5, 2
COLD_BOUND = int(COLD_PER_SECOND * COLD_OVERSHOOT + COLD_SLACK)
PLAIN_SECONDS, GAP_SECONDS = 0.03, 0.015
EVENTS = 30
# Streams last so many seconds at most, drawn by their id; if it is none, as long as their events take.
LONGEST_STREAM: float | None = None
SHORTEST_STREAM = 1.0
# Bytes that are added to each event and each plain answer.
PADDING = 0
# Failure modes: rejects the request as not executed, answers with an error, or resets the connection.
REJECTS, FAILS, RESETS = "rejects", "fails", "resets"
# Answers without end: no head, header lines, an event, a chunk, a length that isn't reached, the body of a refusal.
ENDLESS = ("no head", "headers", "event", "chunk", "length", "refusal")
ENDLESS_PIECE, ENDLESS_PAUSE, ENDLESS_PIECES = b"x" * 65536, 0.002, 2000
# How a run ended: with its whole answer, by the target's own failure, or as its connection was closed.
COMPLETED, BROKEN_OFF, DISCONNECTED = "completed", "broken off", "disconnected"
# Body prefixes of requests that crash each target that runs them, before the head of the answer or after it.
CRASH_PREFIX = b"crash "
CRASH_AFTER_HEAD_PREFIX = CRASH_PREFIX + b"after head "
CRASH_DELAY_SECONDS = 0.09
# Time from the beginning of a run until a part of its prompt crashes the target, and from the head of an answer if it sends one.
PART_CRASH_SECONDS, PART_CRASH_AFTER_HEAD_SECONDS = (0.05, 0.15), 0.4
# A brittle target reduces its queue this long after it has begun to say so.
BRITTLE_NOTICE_SECONDS = 3.0


def plain_body(request_id: str, body: bytes) -> bytes:
    return hashlib.sha256(request_id.encode() + body).hexdigest().encode() + b"." * PADDING


def signature(request_id: str) -> str:
    return hashlib.sha256(f"signed {request_id}".encode()).hexdigest()[:16]


def event(stream_id: str, number: int, version: str = "") -> bytes:
    """An event of the stream that the caller's request `stream_id` began; without a version, as the checks compare it."""
    text = hashlib.sha256(f"{stream_id} {number}".encode()).hexdigest()[:12]
    mark = f"@{version}" if version else ""
    return f"id: {number}\ndata: {text}{'.' * PADDING}{mark}\n\n".encode()


def gap_of(stream_id: str) -> float:
    """Seconds between the events of a stream."""
    if LONGEST_STREAM is None:
        return GAP_SECONDS
    return random.Random(stream_id).uniform(SHORTEST_STREAM, LONGEST_STREAM) / EVENTS


def without_versions(events: bytes) -> bytes:
    return re.sub(rb"@[^\n]*", b"", events)


def versions_of(events: bytes) -> list[str]:
    """The versions of the targets that wrote the events, one for each event."""
    return [version.decode() for version in re.findall(rb"@([^\n]*)", events)]


@dataclass(frozen=True)
class Run:
    """A request that a target started to execute."""

    request_id: str
    line: str
    body: bytes
    service: str
    target: str
    customer: str
    started: float
    zone: str = ""
    is_cold: bool = False


@dataclass(frozen=True)
class RunEnd:
    """The end of a run; see COMPLETED and the others."""

    request_id: str
    target: str
    how: str
    at: float


@dataclass(frozen=True)
class Crash:
    """A crash of a target that a request caused."""

    body: bytes
    target: str
    at: float


@dataclass(frozen=True)
class PartCrash:
    """A crash of a target that a part of a prompt caused."""

    part: str
    target: str
    at: float


@dataclass(frozen=True)
class Arrival:
    """A request that a target received, whether or not it executed it."""

    request_id: str
    service: str
    at: float
    target: str = ""


@dataclass(frozen=True)
class NamedLimit:
    """The limit that a target named in its answers from `since` on; infinite if it named none."""

    target: str
    per_second: float
    since: float


@dataclass
class Life:
    """A target's process of a version, from its start to its end."""

    version: str
    since: float
    until: float = math.inf


class Target:
    """A process of a service at a fixed address; each restart changes its id."""

    def __init__(self, service: str, address: tuple[str, int], runs: list[Run], arrivals: list[Arrival],
                 limits: list[NamedLimit], crashing: set[bytes], crashes: list[Crash], ends: list[RunEnd]) -> None:
        self.service, self.address, self.runs, self.arrivals, self.limits = service, address, runs, arrivals, limits
        # Bodies of the requests that crash a target now, and the crashes that they have caused.
        self.crashing, self.crashes = crashing, crashes
        # Ends of runs, and the ids of requests that wait for a slot or run now.
        self.ends, self.held = ends, set()
        # Parts of prompts that crash the target, and whether after the head of the answer; the crashes that they have caused.
        self.crashing_parts: dict[str, bool] = {}
        self.part_crashes: list[PartCrash] = []
        # Fraction of requests whose answers have no end, and the ids of these requests.
        self.endless_probability, self.endless_ids = 0.0, set()
        # A paused target reads and writes nothing.
        self.is_paused = False
        # Requests per second that it takes from all daemons together, as named in its answers.
        self.limit: float | None = None
        # Requests per second that a brittle target may reject for lack of room; with one more it crashes.
        self.brittle: int | None = None
        self.brittle_since, self.brittle_queue = 0.0, QUEUED
        self.rejections: list[float] = []
        # Ids of the instances that crashed for this reason, and when.
        self.falls: list[tuple[str, float]] = []
        # Failure mode, and the fraction of requests that it applies to.
        self.failure, self.failure_probability, self.random = "", 0.0, random.Random(address[0])
        self.random_endless = random.Random(f"endless {address[0]}")
        # Version of the software; a release raises it with the next start.
        self.version = "v1"
        self.lives: list[Life] = []
        self.incarnation, self.accepted, self.is_unresponsive, self.is_up = 0, 0, False, False
        self.crashed_ids: set[str] = set()
        self.cold_seconds = COLD_SECONDS
        self.zone, self.cold_until = "", 0.0
        self.slots = asyncio.Semaphore(SLOTS)
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def id(self) -> str:
        return f"i-{self.address[0].replace('.', '-')}-{self.incarnation}"

    async def listen(self) -> None:
        await asyncio.start_server(self.serve, *self.address)

    def start(self) -> None:
        self.incarnation += 1
        self.lives.append(Life(self.version, asyncio.get_running_loop().time()))
        self.limit = None
        self.rejections = []
        self.slots, self.accepted, self.is_up = asyncio.Semaphore(SLOTS), 0, True
        self.restart_cold_period()

    def raise_version(self) -> None:
        self.version = f"v{int(self.version[1:]) + 1}"

    def restart_cold_period(self) -> None:
        self.cold_until = asyncio.get_running_loop().time() + self.cold_seconds

    def remaining_cold_ms(self) -> int:
        return max(0, int((self.cold_until - asyncio.get_running_loop().time()) * 1000))

    def name_limit(self, per_second: float | None) -> None:
        self.limit = per_second
        named = math.inf if per_second is None else per_second
        self.limits.append(NamedLimit(self.id, named, asyncio.get_running_loop().time()))

    def headers(self, request_id: str, **others: str) -> dict[str, str]:
        """Headers of an answer."""
        headers = {"Request-Id": request_id, **{name.replace("_", "-"): value for name, value in others.items()}}
        limit = {} if self.limit is None else {"Server-Limit": f"{self.limit:g}"}
        brittle = {} if self.brittle is None else {"Server-Brittle": str(self.brittle)}
        return headers | limit | brittle

    def become_brittle(self, rejections: int | None, queue: int = QUEUED) -> None:
        self.brittle, self.brittle_queue, self.brittle_since = rejections, queue, asyncio.get_running_loop().time()

    def room(self) -> int:
        is_reduced = self.brittle is not None and asyncio.get_running_loop().time() > self.brittle_since + BRITTLE_NOTICE_SECONDS
        return SLOTS + (self.brittle_queue if is_reduced else QUEUED)

    def fall_if_overloaded(self) -> None:
        """Counts a rejection for lack of room."""
        now = asyncio.get_running_loop().time()
        self.rejections = [at for at in self.rejections if at > now - 1] + [now]
        if self.brittle is not None and len(self.rejections) > self.brittle and now > self.brittle_since + BRITTLE_NOTICE_SECONDS:
            self.falls.append((self.id, now))
            self.crash()

    def crash(self) -> None:
        self.is_up = False
        self.lives[-1].until = asyncio.get_running_loop().time()
        self.crashed_ids.add(self.id)
        for request_id in sorted(self.held):
            self.record_end(request_id, BROKEN_OFF)
        # The end of a process closes its connections in order or resets them.
        for writer in list(self.writers):
            if self.incarnation % 2:
                http1.reset(writer)
            else:
                writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.is_up:
            http1.reset(writer)
            return
        incarnation = self.incarnation
        self.writers.add(writer)
        try:
            while incarnation == self.incarnation:
                head = await http1.read_head(reader)
                body = await http1.read_body(reader, head)
                await self.wait_while_paused()
                if incarnation != self.incarnation or not self.is_up:
                    return
                await self.answer(head, body, writer, incarnation)
        except (http1.Broken, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, head: http1.Head, body: bytes, writer: asyncio.StreamWriter, incarnation: int) -> None:
        request_id = head.headers.get("request-id", "")
        if not request_id:
            while self.is_unresponsive and self.is_up:
                await asyncio.sleep(0.05)
            writer.write(http1.message("HTTP/1.1 400 No id", {"Not-Executed": "1"}))
            return
        self.arrivals.append(Arrival(request_id, self.service, asyncio.get_running_loop().time(), self.id))
        if head.headers.get("expected-instance", self.id) != self.id:
            writer.write(http1.message("HTTP/1.1 421 Other", self.headers(request_id, Instance_Id=self.id)))
            return
        failure = self.failure if self.random.random() < self.failure_probability else ""
        if failure == RESETS:
            self.record_run(head, body, request_id)
            self.record_end(request_id, BROKEN_OFF)
            http1.reset(writer)
            return
        if failure == FAILS:
            self.record_run(head, body, request_id)
            self.record_end(request_id, BROKEN_OFF)
            writer.write(http1.message("HTTP/1.1 500 Failed", self.headers(request_id)))
            return
        if self.random_endless.random() < self.endless_probability:
            await self.answer_without_end(head, body, writer, request_id)
            return
        is_full = self.accepted >= self.room()
        if failure == REJECTS or is_full:
            if is_full:
                self.fall_if_overloaded()
            writer.write(http1.message("HTTP/1.1 503 Full", self.headers(request_id, Not_Executed="1")))
            return
        self.accepted += 1
        self.held.add(request_id)
        try:
            async with self.slots:
                if incarnation == self.incarnation and self.is_up and not writer.is_closing():
                    await self.run(head, body, writer, request_id)
        finally:
            self.held.discard(request_id)
            if incarnation == self.incarnation:
                self.accepted -= 1

    async def answer_without_end(self, head: http1.Head, body: bytes, writer: asyncio.StreamWriter, request_id: str) -> None:
        """Sends bytes that never become an answer until the daemon closes the connection."""
        kind = self.random_endless.choice(ENDLESS)
        # A response without a length that ends in good order would be complete.
        http1.reset_at_end(writer)
        self.endless_ids.add(request_id)
        if kind != "refusal":
            self.record_run(head, body, request_id)
            self.record_end(request_id, BROKEN_OFF)
        signed = "".join(f"{name}: {value}\r\n" for name, value in
                         self.headers(request_id, Response_Signature=signature(request_id)).items())
        refused = "".join(f"{name}: {value}\r\n" for name, value in self.headers(request_id, Not_Executed="1").items())
        writer.write({"no head": "", "headers": f"HTTP/1.1 200 OK\r\n{signed}", "event": f"HTTP/1.1 200 OK\r\n{signed}\r\ndata: ",
                      "chunk": f"HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked\r\n\r\n40000000\r\n",
                      "length": f"HTTP/1.1 200 OK\r\n{signed}Content-Length: {1 << 62}\r\n\r\n",
                      "refusal": f"HTTP/1.1 503 Full\r\n{refused}\r\n"}[kind].encode())
        for _ in range(ENDLESS_PIECES):
            writer.write(ENDLESS_PIECE)
            await writer.drain()
            await asyncio.sleep(ENDLESS_PAUSE)
        raise ConnectionError

    def record_run(self, head: http1.Head, body: bytes, request_id: str) -> None:
        self.runs.append(Run(request_id, head.line, body, self.service, self.id,
                             head.headers.get("tenant-name", ""), asyncio.get_running_loop().time(), self.zone,
                             self.remaining_cold_ms() > 0))

    def record_end(self, request_id: str, how: str) -> None:
        self.ends.append(RunEnd(request_id, self.id, how, asyncio.get_running_loop().time()))

    async def wait_while_paused(self) -> None:
        while self.is_paused and self.is_up:
            await asyncio.sleep(0.02)

    def write_head(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        headers = self.headers(request_id, Response_Signature=signature(request_id), Content_Type="text/event-stream",
                               Transfer_Encoding="chunked")
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())

    def crashing_part(self, head: http1.Head) -> str:
        """The part of the request's prompt that crashes targets; empty if there is none."""
        parts = [part.partition(":")[0] for part in head.headers.get("prompt-prefix", "").split(",")]
        return next((part for part in parts if part in self.crashing_parts), "")

    async def crash_on_part(self, part: str, writer: asyncio.StreamWriter, request_id: str) -> None:
        incarnation = self.incarnation
        if self.crashing_parts[part]:
            self.write_head(writer, request_id)
            await asyncio.sleep(PART_CRASH_AFTER_HEAD_SECONDS)
        else:
            await asyncio.sleep(self.random.uniform(*PART_CRASH_SECONDS))
        if self.is_up and incarnation == self.incarnation:
            self.part_crashes.append(PartCrash(part, self.id, asyncio.get_running_loop().time()))
            self.crash()

    async def crash_during(self, body: bytes, writer: asyncio.StreamWriter, request_id: str) -> None:
        incarnation = self.incarnation
        if body.startswith(CRASH_AFTER_HEAD_PREFIX):
            self.write_head(writer, request_id)
        await asyncio.sleep(CRASH_DELAY_SECONDS)
        if self.is_up and incarnation == self.incarnation:
            self.crashes.append(Crash(body, self.id, asyncio.get_running_loop().time()))
            self.crash()

    async def run(self, head: http1.Head, body: bytes, writer: asyncio.StreamWriter, request_id: str) -> None:
        self.record_run(head, body, request_id)
        try:
            await self.respond(head, body, writer, request_id)
            self.record_end(request_id, COMPLETED)
        except ConnectionError:
            self.record_end(request_id, DISCONNECTED)
            raise

    async def respond(self, head: http1.Head, body: bytes, writer: asyncio.StreamWriter, request_id: str) -> None:
        if body in self.crashing:
            await self.crash_during(body, writer, request_id)
            return
        if part := self.crashing_part(head):
            await self.crash_on_part(part, writer, request_id)
            return
        while self.is_unresponsive and self.is_up:
            await asyncio.sleep(0.05)
        if "/s/" not in head.line:
            await asyncio.sleep(PLAIN_SECONDS)
            await self.wait_while_paused()
            writer.write(http1.message("HTTP/1.1 200 OK", self.headers(request_id, Response_Signature=signature(request_id)),
                                       plain_body(request_id, body)))
            await writer.drain()
            return
        self.write_head(writer, request_id)
        stream_id = head.headers.get("resumes", head.headers.get("emulated-stream", request_id))
        version = self.version
        for number in range(int(head.headers.get("last-event-id", "0")) + 1, EVENTS + 1):
            await asyncio.sleep(gap_of(stream_id))
            await self.wait_while_paused()
            writer.write(http1.chunk(event(stream_id, number, version)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
