"""A loopback proxy whose connections can be delayed, reset, cut one way or silenced."""

import asyncio
import random

OPEN, DELAYED, SILENT, CUT_THERE, CUT_BACK = "open", "delayed", "silent", "cut there", "cut back"
HARMS = (DELAYED, SILENT, CUT_THERE, CUT_BACK)
DELAY_SECONDS = (0.02, 0.3)


class Link:
    """Passes what comes to `listen` on to `to`, as its state allows."""

    def __init__(self, listen: tuple[str, int], to: tuple[str, int]) -> None:
        self.listen, self.to, self.state = listen, to, OPEN
        self.writers: set[asyncio.StreamWriter] = set()
        self.last_harm = 0.0

    async def start(self) -> None:
        await asyncio.start_server(self.accept, *self.listen)

    def reset(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there_reader, there_writer = await asyncio.open_connection(*self.to)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, there_writer}
        ways = [asyncio.create_task(self.copy(reader, there_writer, CUT_THERE)),
                asyncio.create_task(self.copy(there_reader, writer, CUT_BACK))]
        await asyncio.wait(ways, return_when=asyncio.ALL_COMPLETED)
        self.writers -= {writer, there_writer}

    async def copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut: str) -> None:
        swallowed = False
        try:
            while data := await reader.read(65536):
                if self.state in (SILENT, cut):
                    swallowed = True
                    continue
                if swallowed:
                    # A network loses the rest of a connection, never a piece of its middle.
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
            # A reset passes on as one.
            writer.transport.abort()
