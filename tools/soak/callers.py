"""Stand-ins of callers: they look addresses up, keep connections, and write down what they see."""

import asyncio
import hashlib
import json
import random
from dataclasses import dataclass, field, replace

import http1
import targets

HOST = "soak.example"
PATIENCE_MS = 5000
KINDS = {"unsafe": "/u/p/", "safe": "/i/p/", "resumable": "/r/s/", "single": "/n/s/"}
GIVES_UP = 0.04


@dataclass
class Seen:
    """One request as its caller saw it."""

    request_id: str
    kind: str
    line: str
    body: bytes
    key: str
    daemon: int
    sent: float
    status: int = 0
    signature: str = ""
    whole: bool = False
    answer: bytes = b""
    gave_up: bool = False
    ended: float = 0.0


@dataclass
class Callers:
    """All callers; `lookups` and `links` are addresses, `links` by the address that a lookup names."""

    lookups: list[tuple[str, int]]
    links: dict[str, tuple[int, tuple[str, int]]]
    keys: list[str]
    random: random.Random
    seen: list[Seen] = field(default_factory=list)
    stopping: bool = False

    async def run(self, pause: float) -> None:
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0, 2 * pause))
            try:
                addresses = await asyncio.wait_for(self.look_up(), 1)
                await self.talk(self.random.choice(addresses))
            except (http1.Broken, OSError, TimeoutError, IndexError):
                continue

    async def look_up(self) -> list[str]:
        reader, writer = await asyncio.open_connection(*self.random.choice(self.lookups))
        try:
            writer.write(http1.message(f"GET /-/resolve?Name={HOST}&Region=r&Zone=z HTTP/1.1", {"Host": HOST}))
            head = await http1.read_head(reader)
            body = await http1.read_body(reader, head)
            return json.loads(body)["Addresses"] if head.status == 200 else []
        finally:
            writer.close()

    async def talk(self, address: str) -> None:
        """Some requests on one connection; it is used until it ends, whatever the daemon does."""
        daemon, link = self.links[address]
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*link), 1)
        try:
            for _ in range(self.random.randint(1, 4)):
                seen = self.make(daemon)
                self.seen.append(seen)
                try:
                    closes = await asyncio.wait_for(self.exchange(seen, reader, writer), PATIENCE_MS / 1000)
                finally:
                    seen.ended = asyncio.get_running_loop().time()
                if closes or seen.gave_up:
                    return
        finally:
            writer.close()

    async def send_again(self, kind: str, body: bytes, until: float, pause: float) -> None:
        """One caller's request that comes again and again, with the same path, key and body."""
        line, key = f"POST {KINDS[kind]}1 HTTP/1.1", self.keys[0]
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(self.random.uniform(0, 2 * pause))
            try:
                daemon, link = self.links[self.random.choice(await asyncio.wait_for(self.look_up(), 1))]
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*link), 1)
                seen = replace(self.make(daemon), kind=kind, line=line, key=key, body=body)
                self.seen.append(seen)
                await asyncio.wait_for(self.exchange(seen, reader, writer), PATIENCE_MS / 1000)
                writer.close()
            except (http1.Broken, OSError, TimeoutError, IndexError):
                continue

    def make(self, daemon: int) -> Seen:
        kind = self.random.choice(list(KINDS))
        request_id = f"{self.random.getrandbits(64):016x}"
        body = self.random.randbytes(self.random.choice((0, 40, 3000)))
        line = f"POST {KINDS[kind]}{self.random.randint(1, 9)} HTTP/1.1"
        now = asyncio.get_running_loop().time()
        return Seen(request_id, kind, line, body, self.random.choice(self.keys), daemon, now)

    async def exchange(self, seen: Seen, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        writer.write(http1.message(seen.line, {
            "Host": HOST, "Request-Id": seen.request_id, "Request-Deadline": str(PATIENCE_MS),
            "Authorization": f"Bearer {seen.key}", "Token-Counts": "100,150"}, seen.body))
        if self.random.random() < GIVES_UP:
            await asyncio.sleep(self.random.uniform(0, 0.3))
            seen.gave_up = True
            return True
        head = await http1.read_head(reader)
        seen.status, seen.signature = head.status, head.headers.get("response-signature", "")
        async for part in http1.chunks(reader, head):
            seen.answer += part
        seen.whole = True
        return head.headers.get("connection", "") == "close"


def expected_answer(seen: Seen) -> bytes:
    if "/s/" in seen.line:
        return b"".join(targets.event(seen.request_id, number) for number in range(1, targets.EVENTS + 1))
    return targets.plain_body(seen.request_id, seen.body)


def digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()[:8]
