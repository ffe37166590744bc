"""One daemon with lowered limits, its store and one target, and what a crowd of clients may cost the daemon."""

import asyncio
import os
import pathlib
import signal
import socket

import daemons
import http1
import store
import targets

HOST = "soak.example"
KEY = "key"
MAX_HEADER_BYTES = 16384
TIMEOUT_MS = 8000
SLOTS = 8
# A stream that is as long as its caller reads it, in events of this size.
EVENT = b"id: 1\ndata: " + b"x" * 32768 + b"\n\n"
LARGE_ANSWER = b"x" * 1_000_000
# A process that takes up so much is ended, for the sake of the machine.
LARGEST_PROCESS = 2_000_000_000
# Tries of an ordinary request, which follows the times to return that it is told.
TRIES = 4
SAMPLE_SECONDS = 0.02
# Sockets and pipes share what is left of the descriptors.
DESCRIPTORS_FOR_FILES = 200


class Desk:
    """A target that answers at once, when it is released, or with a stream that doesn't end, as the path says."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address, self.released, self.slots = address, asyncio.Event(), asyncio.Semaphore(SLOTS)

    async def listen(self) -> None:
        await asyncio.start_server(self.serve, *self.address)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await http1.read_head(reader)
                body = await http1.read_body(reader, head)
                async with self.slots:
                    await self.answer(head, body, writer)
        except (http1.Broken, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, head: http1.Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        request_id = head.headers["request-id"]
        signed = {"Request-Id": request_id, "Response-Signature": targets.signature(request_id)}
        if "/endless/" in head.line:
            lines = "".join(f"{name}: {value}\r\n" for name, value in signed.items())
            writer.write(f"HTTP/1.1 200 OK\r\n{lines}Transfer-Encoding: chunked\r\n\r\n".encode())
            while True:
                writer.write(http1.chunk(EVENT))
                await writer.drain()
        if "/slow/" in head.line:
            await self.released.wait()
        answer = LARGE_ANSWER if "/large/" in head.line else str(len(body)).encode()
        writer.write(http1.message("HTTP/1.1 200 OK", signed, answer))
        await writer.drain()


class Site:
    """`limits`: values of the configuration that replace the usual ones."""

    def __init__(self, program: pathlib.Path, folder: pathlib.Path, memory_mb: int, descriptors: int, **limits: int) -> None:
        base = 30000 + os.getpid() % 2000 * 10
        self.daemon = daemons.Daemon(1, base, [1], program, folder, memory_mb=memory_mb, descriptors=descriptors)
        self.desk = Desk(("127.0.4.1", base))
        self.limits = {"MaxHeaderBytes": MAX_HEADER_BYTES, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000} | limits
        self.store = store.Store()
        self.callers, self.directory = ("127.0.1.1", base), ("127.0.1.1", base + 3)
        # Largest resident memory with what the kernel holds unread for the daemon, that part of it, and most descriptors but files.
        self.peak_bytes = self.peak_unread = self.peak_descriptors = 0
        self.findings: list[str] = []
        self.last_id = 0

    async def start(self) -> None:
        await self.store.listen("127.0.2.1", self.daemon.base)
        await self.desk.listen()
        await self.store.put("servers/i-desk", {
            "Service": "desk", "Address": f"{self.desk.address[0]}:{self.desk.address[1]}", "Zone": "z1", "Version": "v1",
            "Slots": SLOTS, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1})
        route = {"Hostname": HOST, "RouteKind": "non_idempotent", "TimeoutMs": TIMEOUT_MS, "TargetLatencyMs": 4000,
                 "Priority": 1, "Service": "desk", "MaxAttempts": 1}
        await self.store.put("op/config", {
            "Version": 1, "Services": [{"Name": "desk"}], "Tenants": [{"Name": "customer", "ApiKeys": [KEY]}],
            "Routes": [{**route, "Name": "plain", "Prefix": "/u/"}, {**route, "Name": "slow", "Prefix": "/slow/"},
                       {**route, "Name": "large", "Prefix": "/large/"},
                       {**route, "Name": "endless", "Prefix": "/endless/", "RouteKind": "streaming", "TargetGapMs": 300}],
            "Limits": self.limits})
        await self.daemon.start()
        await self.wait_until_served()

    async def wait_until_served(self) -> None:
        for _ in range(100):
            try:
                if await self.request(b"") == 200:
                    return
            except (OSError, http1.Broken, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError("the daemon serves nothing before the crowd comes")

    def head(self, path: str = "/u/1", key: str = KEY, **headers: str) -> bytes:
        """The head of a POST request with an id of its own, without the framing of a body."""
        self.last_id += 1
        lines = {"Host": HOST, "Request-Id": f"c{self.last_id}", "Request-Deadline": str(TIMEOUT_MS),
                 "Authorization": f"Bearer {key}", **{name.replace("_", "-"): value for name, value in headers.items()}}
        return "\r\n".join([f"POST {path} HTTP/1.1", *(f"{name}: {value}" for name, value in lines.items())]).encode() + b"\r\n"

    async def request(self, body: bytes, path: str = "/u/1") -> int:
        reader, writer = await asyncio.open_connection(*self.callers)
        try:
            writer.write(self.head(path, Content_Length=str(len(body))) + b"\r\n" + body)
            head = await asyncio.wait_for(http1.read_head(reader), 2 * TIMEOUT_MS / 1000)
            await http1.read_body(reader, head)
            if head.status in (429, 503):
                await asyncio.sleep(float(head.headers.get("retry-after", "0")))
            return head.status
        finally:
            writer.close()

    async def check_served(self, body: bytes, when: str) -> None:
        """An ordinary caller gets its answer."""
        ends = []
        for _ in range(TRIES):
            try:
                ends.append(str(await self.request(body)))
            except (OSError, http1.Broken, TimeoutError) as error:
                ends.append(type(error).__name__)
            if ends[-1] == "200":
                return
        self.findings.append(f"a request of {len(body)} bytes isn't answered {when}: {', '.join(ends)}")

    def connect(self, address: tuple[str, int], window: int = 0) -> socket.socket:
        """A connection that takes `window` bytes without being read, or as many as the system likes."""
        opened = socket.socket()
        if window:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        opened.setblocking(False)
        opened.connect_ex(address)
        return opened

    def unread_bytes(self) -> int:
        """Bytes that the kernel has received for the daemon's connections and the daemon hasn't read."""
        mine = {f"0101007F:{port:04X}" for port in range(self.daemon.base, self.daemon.base + 5)}
        total = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            # The queue of a listening socket counts connections.
            if fields[1] in mine and fields[3] != "0A":
                total += int(fields[4].split(":")[1], 16)
        return total

    def resident_bytes(self) -> int:
        return int(pathlib.Path(f"/proc/{self.daemon.process.pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def open_descriptors(self) -> int:
        folder = f"/proc/{self.daemon.process.pid}/fd"
        count = 0
        for name in os.listdir(folder):
            try:
                count += os.readlink(f"{folder}/{name}").startswith(("socket:", "pipe:"))
            except OSError:
                pass
        return count

    async def watch(self) -> None:
        while True:
            try:
                resident, unread = self.resident_bytes(), await asyncio.to_thread(self.unread_bytes)
                if resident > LARGEST_PROCESS:
                    self.daemon.send_signal(signal.SIGKILL)
                if resident + unread > self.peak_bytes:
                    self.peak_bytes, self.peak_unread = resident + unread, unread
                self.peak_descriptors = max(self.peak_descriptors, await asyncio.to_thread(self.open_descriptors))
            except OSError:
                return
            await asyncio.sleep(SAMPLE_SECONDS)

    def judge(self) -> None:
        if self.daemon.process.returncode is not None:
            self.findings.append(f"the process ended with {self.daemon.process.returncode}")
        self.peak_bytes = max(self.peak_bytes, self.daemon.peak_memory())
        if self.peak_bytes > self.daemon.memory_mb * 1_000_000:
            self.findings.append(f"{self.peak_bytes / 1e6:.0f} MB, limit {self.daemon.memory_mb}")
        if self.peak_descriptors > self.daemon.descriptors - DESCRIPTORS_FOR_FILES:
            self.findings.append(f"{self.peak_descriptors} sockets and pipes, limit {self.daemon.descriptors - DESCRIPTORS_FOR_FILES}")

    async def stop(self) -> None:
        self.desk.released.set()
        await self.daemon.stop(signal.SIGKILL)
