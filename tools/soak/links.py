"""A loopback proxy that can delay, reset or silently drop traffic, in one or both directions."""

import asyncio
import random

OPEN, DELAYED, DROPPING, CUT_UPSTREAM, CUT_DOWNSTREAM = "open", "delayed", "silent", "cut there", "cut back"
FAULT_STATES = (DELAYED, DROPPING, CUT_UPSTREAM, CUT_DOWNSTREAM)
DELAY_SECONDS = (0.02, 0.3)


class Link:
    """Forwards connections from `listen` to `to`, subject to the current link state."""

    def __init__(self, listen: tuple[str, int], to: tuple[str, int]) -> None:
        self.listen, self.to, self.state = listen, to, OPEN
        self.writers: set[asyncio.StreamWriter] = set()
        self.last_fault_at = 0.0

    async def start(self) -> None:
        await asyncio.start_server(self.accept, *self.listen)

    def reset(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.to)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, upstream_writer}
        directions = [asyncio.create_task(self.copy(reader, upstream_writer, CUT_UPSTREAM)),
                asyncio.create_task(self.copy(upstream_reader, writer, CUT_DOWNSTREAM))]
        await asyncio.wait(directions, return_when=asyncio.ALL_COMPLETED)
        self.writers -= {writer, upstream_writer}

    async def copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut: str) -> None:
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
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            await asyncio.sleep(0.05)
            writer.close()
        except (ConnectionError, OSError, RuntimeError):
            # A reset is forwarded as a reset.
            writer.transport.abort()
