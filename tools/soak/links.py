"""A loopback proxy that can delay, reset or silently drop traffic, in one or both directions, and cut single daemons off."""

import asyncio
import ctypes
import random
import socket
import struct

import http1

OPEN, DELAYED, DROPPING, CUT_UPSTREAM, CUT_DOWNSTREAM = "open", "delayed", "silent", "cut there", "cut back"
FAULT_STATES = (DELAYED, DROPPING, CUT_UPSTREAM, CUT_DOWNSTREAM)
DELAY_SECONDS = (0.02, 0.3)
# What a cut does to the connections of a source: all hang, all are reset, or open ones live on and new ones are reset.
HANGS, RESETS, REFUSES_NEW = "hangs", "resets", "refuses new"
CUTS = (HANGS, RESETS, REFUSES_NEW)
# Connections open, or stay open, and carry nothing: in neither direction, or not to or from the target.
SILENT, SILENT_THERE, SILENT_BACK = "carries nothing", "carries nothing there", "carries nothing back"
SILENT_CUTS = (SILENT, SILENT_THERE, SILENT_BACK)
# The socket option and the instructions of Linux packet filters, which Python doesn't name.
SO_ATTACH_FILTER = 26
LOAD_WORD, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 0x06
SOURCE_ADDRESS = 0xFFF00000 + 12
WHOLE_PACKET, NOTHING = 0xFFFFFFFF, 0


class Instruction(ctypes.Structure):
    _fields_ = [("code", ctypes.c_ushort), ("if_true", ctypes.c_ubyte), ("if_false", ctypes.c_ubyte), ("value", ctypes.c_uint)]


def drop_packets(endpoint: socket.socket, sources: list[str]) -> None:
    """Makes the kernel drop all packets from the sources, so that their connections hang; replaces an earlier filter."""
    addresses = [struct.unpack(">I", socket.inet_aton(source))[0] for source in sources]
    checks = [(JUMP_IF_EQUAL, len(addresses) - index, 0, address) for index, address in enumerate(addresses)]
    program = [(LOAD_WORD, 0, 0, SOURCE_ADDRESS), *checks, (RETURN, 0, 0, WHOLE_PACKET), (RETURN, 0, 0, NOTHING)]
    instructions = (Instruction * len(program))(*(Instruction(*line) for line in program))
    endpoint.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER,
                        struct.pack("HxxxxxxP", len(program), ctypes.addressof(instructions)))


class Link:
    """Forwards connections from `listen` to `to`, subject to the current link state."""

    def __init__(self, listen: tuple[str, int], to: tuple[str, int]) -> None:
        self.listen, self.to, self.state = listen, to, OPEN
        self.writers: set[asyncio.StreamWriter] = set()
        # Cuts by the source address of connections, and the accepted connections of each source.
        self.cuts: dict[str, str] = {}
        self.accepted: dict[asyncio.StreamWriter, str] = {}
        self.server: asyncio.Server | None = None
        # Cleared while the side that connects reads nothing.
        self.is_read = asyncio.Event()
        self.is_read.set()
        # Bytes that the side that connects takes without reading; the system's default if it is none.
        self.window: int | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.accept, *self.listen)

    def reset(self) -> None:
        for writer in list(self.writers):
            http1.reset(writer)

    def cut(self, sources: list[str], how: str) -> None:
        """Cuts the sources off until mend() is called for them; see CUTS."""
        self.cuts |= dict.fromkeys(sources, how)
        self.update_filters()
        if how == RESETS:
            self.reset_from(sources)

    def mend(self, sources: list[str]) -> None:
        for source in sources:
            self.cuts.pop(source, None)
        self.update_filters()

    def reset_from(self, sources: list[str]) -> None:
        for writer, source in list(self.accepted.items()):
            if source in sources:
                http1.reset(writer)

    def update_filters(self) -> None:
        hung = [source for source, how in self.cuts.items() if how == HANGS]
        endpoints = [*self.server.sockets, *(writer.get_extra_info("socket") for writer in self.accepted if not writer.is_closing())]
        for endpoint in endpoints:
            drop_packets(endpoint, hung)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = writer.get_extra_info("peername")[0]
        if source in self.cuts and self.cuts[source] not in SILENT_CUTS:
            http1.reset(writer)
            return
        self.accepted[writer] = source
        try:
            await self.forward(reader, writer, source)
        finally:
            del self.accepted[writer]

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.to)
        except OSError:
            http1.reset(writer)
            return
        if self.window is not None:
            upstream_writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window)
        self.writers |= {writer, upstream_writer}
        directions = [asyncio.create_task(self.copy(reader, upstream_writer, CUT_UPSTREAM, source)),
                asyncio.create_task(self.copy(upstream_reader, writer, CUT_DOWNSTREAM, source))]
        await asyncio.wait(directions, return_when=asyncio.ALL_COMPLETED)
        self.writers -= {writer, upstream_writer}

    async def copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut: str, source: str = "") -> None:
        has_dropped = False
        try:
            while data := await reader.read(65536):
                if self.state in (DROPPING, cut):
                    has_dropped = True
                    continue
                if has_dropped:
                    # TCP never delivers bytes after a gap, so the connection is reset once bytes were dropped.
                    raise ConnectionResetError
                if self.state == DELAYED:
                    await asyncio.sleep(random.uniform(*DELAY_SECONDS))
                await self.wait_while_hung(writer)
                if cut == CUT_DOWNSTREAM:
                    await self.is_read.wait()
                while self.cuts.get(source) in (SILENT, SILENT_THERE if cut == CUT_UPSTREAM else SILENT_BACK):
                    # Connections that were given up would otherwise pile up here.
                    if reader.at_eof() or reader.exception() or writer.is_closing():
                        raise ConnectionResetError
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            await asyncio.sleep(0.05)
            writer.close()
        except (ConnectionError, OSError, RuntimeError):
            # A reset is forwarded as a reset.
            http1.reset(writer)

    async def wait_while_hung(self, writer: asyncio.StreamWriter) -> None:
        """The filter drops what the source sends; what is sent to it must be held up too."""
        while self.cuts.get(self.accepted.get(writer, "")) == HANGS:
            await asyncio.sleep(0.02)
