"""Emulated callers: they resolve addresses, reuse connections and record each request and its outcome."""

import asyncio
import hashlib
import itertools
import json
import random
from dataclasses import dataclass, field, replace

import http1
import targets

HOST = "soak.example"
REQUEST_TIMEOUT_MS = 5000
KINDS = {"unsafe": "/u/p/", "safe": "/i/p/", "resumable": "/r/s/", "single": "/n/s/"}
ABANDON_PROBABILITY = 0.04
# Numbers of values of the parts of a prompt that requests have in common; a last part is the request's own.
PART_VALUES = (3, 6, 12)
# Attempts at one stream beyond the first, and the wait before one if the daemon named none.
MOST_RESUMPTIONS, RESUMPTION_PAUSE = 3, 0.05
# The stream of a request that takes one up without naming it, for the emulated targets only.
UNNAMED_STREAM = "Emulated-Stream"


@dataclass
class RequestRecord:
    """One request as observed by its caller."""

    request_id: str
    kind: str
    line: str
    body: bytes
    key: str
    daemon: int
    sent: float
    status: int = 0
    signature: str = ""
    complete: bool = False
    answer: bytes = b""
    abandoned: bool = False
    ended: float = 0.0
    is_repeated: bool = False
    # The request that began the stream, and the last event that the caller has, if this one takes the stream up.
    resumes: str = ""
    last_event: int = 0
    retry_after: float = 0.0
    # Ids of the parts of the prompt.
    parts: tuple[str, ...] = ()
    # Whether the connection ended before the whole answer had come, and not by the caller.
    is_broken: bool = False

    @property
    def stream_id(self) -> str:
        return self.resumes or self.request_id

    def events(self) -> int:
        """Number of complete events that the caller has after this request."""
        return self.last_event + self.answer.count(b"\n\n")


@dataclass
class Callers:
    """All callers. `resolvers` holds resolver addresses; `links` maps a resolved address to its daemon and proxy address."""

    resolvers: list[tuple[str, int]]
    links: dict[str, tuple[int, tuple[str, int]]]
    keys: list[str]
    random: random.Random
    records: list[RequestRecord] = field(default_factory=list)
    stopping: bool = False
    # Draws the parts of prompts, so that a seed keeps its other draws.
    part_random: random.Random = field(default_factory=lambda: random.Random(0))
    # Mean pause between requests on a connection that is used until it ends; None if callers close theirs after a few.
    reuse_pause: float | None = None
    # Whether callers that take a stream up name the request that began it, and for how long after that they come again.
    names_streams: bool = True
    resumption_seconds: float | None = None

    async def run(self, mean_pause: float) -> None:
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0, 2 * mean_pause))
            try:
                addresses = await asyncio.wait_for(self.resolve(), 1)
                await self.send_requests(self.random.choice(addresses))
            except (http1.Broken, OSError, TimeoutError, IndexError):
                continue

    async def resolve(self) -> list[str]:
        reader, writer = await asyncio.open_connection(*self.random.choice(self.resolvers))
        try:
            writer.write(http1.message(f"GET /-/resolve?Name={HOST}&Region=r&Zone=z HTTP/1.1", {"Host": HOST}))
            head = await http1.read_head(reader)
            body = await http1.read_body(reader, head)
            return json.loads(body)["Addresses"] if head.status == 200 else []
        finally:
            writer.close()

    async def send_requests(self, address: str) -> None:
        """Sends several requests on one connection and reuses it until it closes, also across a daemon's shutdown."""
        daemon, link = self.links[address]
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*link), 1)
        try:
            for number in range(self.random.randint(1, 4)) if self.reuse_pause is None else itertools.count():
                if self.reuse_pause is not None and number > 0:
                    await asyncio.sleep(self.random.uniform(0, 2 * self.reuse_pause))
                    if self.stopping or reader.at_eof():
                        return
                record = self.new_record(daemon)
                self.records.append(record)
                try:
                    closes = await asyncio.wait_for(self.exchange(record, reader, writer), REQUEST_TIMEOUT_MS / 1000)
                except asyncio.CancelledError:
                    # The caller itself leaves, as a burst of callers does at its end.
                    record.abandoned = True
                    raise
                except (http1.Broken, OSError):
                    record.ended = asyncio.get_running_loop().time()
                    await self.take_up(record)
                    return
                finally:
                    record.ended = record.ended or asyncio.get_running_loop().time()
                if closes or record.abandoned:
                    return
        finally:
            writer.close()

    async def take_up(self, broken: RequestRecord) -> None:
        """Goes on with a resumable stream that broke after its first event, at any daemon and on new connections."""
        until = broken.sent + (self.resumption_seconds or REQUEST_TIMEOUT_MS / 1000)
        for _ in range(MOST_RESUMPTIONS) if self.resumption_seconds is None else itertools.count():
            if broken.kind != "resumable" or broken.events() == 0 or broken.complete and broken.status == 200:
                return
            await asyncio.sleep(broken.retry_after or RESUMPTION_PAUSE)
            left = until - asyncio.get_running_loop().time()
            if left <= 0 or self.stopping:
                return
            try:
                daemon, link = self.links[self.random.choice(await asyncio.wait_for(self.resolve(), 1))]
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*link), 1)
            except (http1.Broken, OSError, TimeoutError, IndexError):
                continue
            record = replace(self.new_record(daemon), kind=broken.kind, line=broken.line, key=broken.key, body=broken.body, parts=broken.parts,
                             resumes=broken.stream_id, last_event=broken.events())
            self.records.append(record)
            try:
                await asyncio.wait_for(self.exchange(record, reader, writer), min(left, REQUEST_TIMEOUT_MS / 1000))
            except (http1.Broken, OSError, TimeoutError):
                pass
            finally:
                record.ended = asyncio.get_running_loop().time()
                writer.close()
            if record.abandoned:
                return
            broken = record

    async def repeat_request(self, kind: str, body: bytes, until: float, mean_pause: float) -> None:
        """Sends the same request repeatedly, with equal path, key and body."""
        line, key = f"POST {KINDS[kind]}1 HTTP/1.1", self.keys[0]
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(self.random.uniform(0, 2 * mean_pause))
            try:
                daemon, link = self.links[self.random.choice(await asyncio.wait_for(self.resolve(), 1))]
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*link), 1)
                record = replace(self.new_record(daemon), kind=kind, line=line, key=key, body=body, is_repeated=True)
                self.records.append(record)
                try:
                    await asyncio.wait_for(self.exchange(record, reader, writer), REQUEST_TIMEOUT_MS / 1000)
                finally:
                    record.ended = asyncio.get_running_loop().time()
                writer.close()
            except (http1.Broken, OSError, TimeoutError, IndexError):
                continue

    async def send_with_part(self, part: str, place: int) -> None:
        """Sends a new request whose prompt has the part at the place."""
        try:
            daemon, link = self.links[self.random.choice(await asyncio.wait_for(self.resolve(), 1))]
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*link), 1)
            record = self.new_record(daemon)
            record.parts = (*record.parts[:place], part, *record.parts[place + 1:])
            record.is_repeated = True
            self.records.append(record)
            try:
                await asyncio.wait_for(self.exchange(record, reader, writer), REQUEST_TIMEOUT_MS / 1000)
            finally:
                record.ended = asyncio.get_running_loop().time()
                writer.close()
        except (http1.Broken, OSError, TimeoutError, IndexError):
            pass

    def new_record(self, daemon: int) -> RequestRecord:
        kind = self.random.choice(list(KINDS))
        request_id = f"{self.random.getrandbits(64):016x}"
        body = self.random.randbytes(self.random.choice((0, 40, 3000)))
        line = f"POST {KINDS[kind]}{self.random.randint(1, 9)} HTTP/1.1"
        now = asyncio.get_running_loop().time()
        parts = (*(f"{level:x}{self.part_random.randrange(values):x}" for level, values in enumerate(PART_VALUES, 10)), request_id)
        return RequestRecord(request_id, kind, line, body, self.random.choice(self.keys), daemon, now, parts=parts)

    async def exchange(self, record: RequestRecord, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        try:
            return await self.send_and_receive(record, reader, writer)
        except (http1.Broken, OSError):
            record.is_broken = True
            raise

    async def send_and_receive(self, record: RequestRecord, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        name = "Resumes" if self.names_streams else UNNAMED_STREAM
        taken_up = {name: record.resumes, "Last-Event-Id": str(record.last_event)} if record.resumes else {}
        writer.write(http1.message(record.line, {
            "Host": HOST, "Request-Id": record.request_id, "Request-Deadline": str(REQUEST_TIMEOUT_MS),
            "Authorization": f"Bearer {record.key}", "Token-Counts": "100,150",
            "Prompt-Prefix": ",".join(f"{part}:25" for part in record.parts), **taken_up}, record.body))
        if self.random.random() < ABANDON_PROBABILITY:
            await asyncio.sleep(self.random.uniform(0, 0.3))
            record.abandoned = True
            return True
        head = await http1.read_head(reader)
        record.retry_after = float(head.headers.get("retry-after", "0"))
        record.status, record.signature = head.status, head.headers.get("response-signature", "")
        async for part in http1.chunks(reader, head):
            record.answer += part
        record.complete = True
        return head.headers.get("connection", "") == "close"


def expected_answer(record: RequestRecord) -> bytes:
    if "/s/" in record.line:
        return b"".join(targets.event(record.stream_id, number) for number in range(record.last_event + 1, targets.EVENTS + 1))
    return targets.plain_body(record.request_id, record.body)


def digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()[:8]
