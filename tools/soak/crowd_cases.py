"""Clients that don't behave: each function is one client of a crowd. It goes on until it is cancelled or its connection ends."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from crowd_site import MAX_HEADER_BYTES, Site

KIB, MIB = 1 << 10, 1 << 20
PIECE = b"x" * (64 * KIB)
Client = Callable[[Site], Awaitable[None]]


@dataclass(frozen=True)
class Case:
    """`clients`: how many of the crowd come at once, `crowds` times in series; they stay for `seconds` each time."""

    name: str
    client: Client
    clients: int
    memory_mb: int = 128
    descriptors: int = 1000
    seconds: float = 3.0
    crowds: int = 1
    limits: dict[str, int] = field(default_factory=dict)


async def stay() -> None:
    await asyncio.Event().wait()


async def send(connection: socket.socket, data: bytes) -> None:
    await asyncio.get_running_loop().sock_sendall(connection, data)
    # Bytes that are taken at once don't let the other clients run.
    await asyncio.sleep(0)


def client_on(address: str = "callers", window: int = 0) -> Callable:
    """Gives the function a connection that is closed with its end."""
    def decorate(function: Callable[[Site, socket.socket], Awaitable[None]]) -> Client:
        async def client(site: Site) -> None:
            connection = site.connect(getattr(site, address), window)
            try:
                await function(site, connection)
                await stay()
            finally:
                connection.close()
        return client
    return decorate


def chunked(site: Site, path: str = "/u/1", key: str = "key") -> bytes:
    return site.head(path, key, Transfer_Encoding="chunked") + b"\r\n"


def sized(site: Site, length: int, path: str = "/u/1") -> bytes:
    return site.head(path, Content_Length=str(length)) + b"\r\n"


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


@client_on()
async def chunks_without_last(site: Site, connection: socket.socket) -> None:
    await send(connection, chunked(site))
    for _ in range(4 * MIB // len(PIECE)):
        await send(connection, chunk(PIECE))


@client_on()
async def small_chunks_without_last(site: Site, connection: socket.socket) -> None:
    await send(connection, chunked(site))
    for _ in range(512):
        await send(connection, chunk(b"x") * KIB)


@client_on()
async def chunks_without_end(site: Site, connection: socket.socket) -> None:
    await send(connection, chunked(site))
    while True:
        await send(connection, chunk(PIECE))


@client_on()
async def chunks_of_unknown_key(site: Site, connection: socket.socket) -> None:
    await send(connection, chunked(site, key="unknown"))
    for _ in range(4 * MIB // len(PIECE)):
        await send(connection, chunk(PIECE))


@client_on()
async def body_without_its_last_bytes(site: Site, connection: socket.socket) -> None:
    await send(connection, sized(site, 4 * MIB) + b"x" * (4 * MIB - 10))


@client_on()
async def body_in_pieces_without_the_last(site: Site, connection: socket.socket) -> None:
    await send(connection, sized(site, 4 * MIB))
    for _ in range(4 * MIB // (4 * KIB) - 1):
        await send(connection, b"x" * (4 * KIB))


@client_on()
async def body_that_trickles(site: Site, connection: socket.socket) -> None:
    await send(connection, sized(site, 4 * MIB) + b"x" * (4 * MIB - 1000))
    while True:
        await asyncio.sleep(0.5)
        await send(connection, b"x")


@client_on()
async def body_that_ends_in_the_middle(site: Site, connection: socket.socket) -> None:
    await send(connection, sized(site, 4 * MIB) + b"x" * (3 * MIB))
    connection.shutdown(socket.SHUT_WR)


@client_on()
async def body_far_over_the_limit(site: Site, connection: socket.socket) -> None:
    await send(connection, sized(site, 1 << 30))
    while True:
        await send(connection, PIECE)


@client_on()
async def whole_body_that_waits(site: Site, connection: socket.socket) -> None:
    await send(connection, sized(site, 4 * MIB, "/slow/1") + b"x" * (4 * MIB))


@client_on()
async def request_and_more(site: Site, connection: socket.socket) -> None:
    await send(connection, sized(site, 0, "/slow/1"))
    for _ in range(2):
        await send(connection, sized(site, 4 * MIB) + b"x" * (4 * MIB))


@client_on(window=4 * KIB)
async def answers_never_read(site: Site, connection: socket.socket) -> None:
    while True:
        await send(connection, b"".join(sized(site, 0, "/large/") for _ in range(64)))


@client_on(window=4 * KIB)
async def refusals_never_read(site: Site, connection: socket.socket) -> None:
    while True:
        await send(connection, b"".join(sized(site, 0, "/nowhere/") for _ in range(64)))


@client_on(window=4 * KIB)
async def stream_never_read(site: Site, connection: socket.socket) -> None:
    await send(connection, sized(site, 0, "/endless/1"))


@client_on()
async def head_without_end(site: Site, connection: socket.socket) -> None:
    start = site.head()
    await send(connection, start + b"a: " + b"x" * (MAX_HEADER_BYTES - len(start) - 100))


@client_on()
async def head_of_tiny_fields(site: Site, connection: socket.socket) -> None:
    start = site.head()
    await send(connection, start + b"a:\r\n" * ((MAX_HEADER_BYTES - len(start) - 100) // 4))


@client_on()
async def chunk_of_long_extensions(site: Site, connection: socket.socket) -> None:
    await send(connection, chunked(site))
    while True:
        await send(connection, b"1;" + b"e" * (60 * KIB) + b"\r\nx\r\n")


@client_on()
async def idle(site: Site, connection: socket.socket) -> None:
    await send(connection, sized(site, 0))


@client_on()
async def silent(site: Site, connection: socket.socket) -> None:
    await send(connection, b"")


@client_on("directory")
async def silent_lookup(site: Site, connection: socket.socket) -> None:
    await send(connection, b"GET /-/resolve?Name=x HTTP/1.1\r\nHost: ")


@client_on("directory", window=4 * KIB)
async def lookups_never_read(site: Site, connection: socket.socket) -> None:
    while True:
        await send(connection, b"GET /-/resolve?Name=x&Region=r&Zone=z1 HTTP/1.1\r\nHost: x\r\n\r\n" * 64)


CASES = [
    Case("chunked bodies that stop before their end", chunks_without_last, 60),
    Case("bodies in chunks of one byte that stop before their end", small_chunks_without_last, 80, memory_mb=64, descriptors=400,
         seconds=6),
    Case("chunked bodies without end", chunks_without_end, 60),
    Case("chunked bodies of an unknown key", chunks_of_unknown_key, 60),
    Case("large bodies that stop before their end", body_without_its_last_bytes, 60),
    Case("large bodies in pieces that stop before their end", body_in_pieces_without_the_last, 60),
    Case("large bodies whose last bytes trickle", body_that_trickles, 60, seconds=5),
    Case("large bodies whose senders close in the middle", body_that_ends_in_the_middle, 60),
    Case("bodies far over the limit", body_far_over_the_limit, 60),
    Case("whole large bodies that wait for the target", whole_body_that_waits, 60),
    Case("large requests behind one that waits", request_and_more, 400, descriptors=1000),
    Case("responses that are never read", answers_never_read, 100, memory_mb=64, descriptors=400, seconds=5),
    Case("refusals that are never read", refusals_never_read, 100, memory_mb=64, descriptors=400, seconds=5),
    Case("streams that are never read", stream_never_read, 300, memory_mb=64),
    Case("heads that aren't ended", head_without_end, 1800, memory_mb=64, descriptors=2600),
    Case("heads of tiny fields that aren't ended", head_of_tiny_fields, 300, memory_mb=64),
    Case("chunks with long extensions", chunk_of_long_extensions, 60),
    Case("idle connections beyond the descriptors", idle, 400, descriptors=400),
    Case("silent connections beyond the descriptors", silent, 400, descriptors=400),
    Case("unfinished lookups beyond the descriptors", silent_lookup, 400, descriptors=400),
    Case("lookups whose answers are never read", lookups_never_read, 100, memory_mb=64, descriptors=400, seconds=5),
    Case("ten crowds of large bodies in series", body_without_its_last_bytes, 40, seconds=0.7, crowds=10),
]
