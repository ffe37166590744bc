"""Minimal HTTP/1.1 over asyncio streams for the emulated peers: heads, and bodies with a length or in chunks."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field


class Broken(Exception):
    """The peer closed the connection or sent a malformed message."""


@dataclass
class Head:
    """Start line and headers of a message; header names are lower case."""

    line: str
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def status(self) -> int:
        return int(self.line.split(" ")[1])


def reset_at_end(writer: asyncio.StreamWriter) -> None:
    """From now on the end of the connection is a reset; otherwise it ends in good order unless there is something left to read."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def reset(writer: asyncio.StreamWriter) -> None:
    reset_at_end(writer)
    writer.transport.abort()


async def read_head(reader: asyncio.StreamReader) -> Head:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError) as error:
        raise Broken(str(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    head = Head(lines[0])
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            head.headers[name.strip().lower()] = value.strip()
    return head


async def chunks(reader: asyncio.StreamReader, head: Head):
    """Yields the parts of the body as they are received; raises Broken if the body is truncated."""
    try:
        if head.headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline() or b"x", 16):
                yield await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
        elif length := int(head.headers.get("content-length", "0")):
            yield await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Broken(str(error)) from error


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    return b"".join([part async for part in chunks(reader, head)])


def message(line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    sized = {**headers, "Content-Length": str(len(body))}
    return "\r\n".join([line, *(f"{name}: {value}" for name, value in sized.items()), "", ""]).encode() + body


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
