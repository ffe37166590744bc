"""Emulated platform store: items with revisions that are read and watched over HTTP.

Each daemon reaches the store through an address of its own, so that a fault can affect a single daemon.
"""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

import http1

UP, REFUSES, HANGS = "up", "refuses", "hangs"
CHUNK_BYTES = 16384


class Store:
    """`link_rate`: bytes per second to each daemon, over all of its connections; unlimited if None."""

    def __init__(self, link_rate: float | None = None) -> None:
        self.link_rate = link_rate
        # By listening address; holds the link while a chunk is sent.
        self.links: dict[str, asyncio.Lock] = {}
        # Connections that transfer nothing any more and aren't closed either.
        self.silent: set[asyncio.StreamWriter] = set()
        self.revision = 0
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.changed = asyncio.Condition()
        # By listening address.
        self.states: dict[str, str] = {}
        self.connections: dict[str, set[asyncio.StreamWriter]] = {}

    async def put(self, key: str, value: dict | None) -> None:
        async with self.changed:
            self.revision += 1
            event = {"Key": key, "Revision": self.revision}
            if value is None:
                self.items.pop(key, None)
                event["Deleted"] = True
            else:
                event["Value"] = base64.b64encode(json.dumps(value).encode()).decode()
                self.items[key] = event
            self.events.append(event)
            self.changed.notify_all()

    async def listen(self, address: str, port: int) -> None:
        self.states[address] = UP
        self.connections[address] = set()
        self.links[address] = asyncio.Lock()
        await asyncio.start_server(lambda reader, writer: self.serve(address, reader, writer), address, port)

    def set_state(self, address: str, state: str) -> None:
        self.states[address] = state
        if state == REFUSES:
            for writer in list(self.connections[address]):
                http1.reset(writer)

    def silence(self, address: str) -> None:
        """Silences the open connections of a daemon; new ones work."""
        self.silent |= self.connections[address]

    async def send(self, address: str, writer: asyncio.StreamWriter, data: bytes) -> None:
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = data[start:start + CHUNK_BYTES]
            if writer in self.silent:
                return
            async with self.links[address]:
                writer.write(chunk)
                if self.link_rate:
                    await asyncio.sleep(len(chunk) / self.link_rate)
            await writer.drain()

    async def serve(self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections[address].add(writer)
        try:
            while True:
                head = await http1.read_head(reader)
                while self.states[address] == HANGS:
                    await asyncio.sleep(0.1)
                if self.states[address] == REFUSES:
                    writer.write(http1.message("HTTP/1.1 503 Busy", {}))
                else:
                    body = json.dumps(await self.answer(head.line.split(" ")[1])).encode()
                    await self.send(address, writer,
                                    http1.message("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (http1.Broken, ConnectionError):
            pass
        finally:
            self.connections[address].discard(writer)
            self.silent.discard(writer)
            writer.close()

    async def answer(self, target: str) -> dict:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/kv-range":
            return {"Items": list(self.items.values()), "HasMore": False, "At": self.revision}
        after, wait = int(query["After"]), int(query["WaitMs"]) / 1000
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: self.revision > after), wait)
            except TimeoutError:
                pass
        return {"events": [event for event in self.events if event["Revision"] > after], "At": self.revision}
