"""Tests that the fault-injecting proxy behaves like a real network."""

import asyncio
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import links


class ScriptedReader:
    """Sets the link to a scripted state before each read."""

    def __init__(self, link: links.Link, script: list[tuple[str, bytes]]) -> None:
        self.link, self.script = link, script

    async def read(self, _: int) -> bytes:
        self.link.state, data = self.script.pop(0)
        return data


class RecordingWriter:
    def __init__(self) -> None:
        self.written, self.aborted, self.transport = b"", False, self

    def write(self, data: bytes) -> None:
        self.written += data

    async def drain(self) -> None:
        pass

    def get_extra_info(self, _: str) -> None:
        return None

    def abort(self) -> None:
        self.aborted = True


async def is_answered(source: str, port: int) -> bool:
    """Whether bytes that are sent from the source come back within a moment."""
    try:
        async with asyncio.timeout(0.3):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=(source, 0))
            writer.write(b"a")
            return await reader.read(1) == b"a"
    except (TimeoutError, OSError):
        return False


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_with_dropped_bytes_is_aborted(self):
        # Two faults of one link overlap: the first drops bytes, the second only delays. The connection must be
        # aborted; forwarding later bytes without the dropped ones would emulate what no network does.
        link = links.Link(("127.0.0.1", 1), ("127.0.0.1", 2))
        reader = ScriptedReader(link, [(links.OPEN, b"a"), (links.DROPPING, b"b"), (links.OPEN, b"c")])
        writer = RecordingWriter()
        await link.copy(reader, writer, links.CUT_DOWNSTREAM)
        self.assertEqual(writer.written, b"a")
        self.assertTrue(writer.aborted)

    async def test_a_cut_stops_the_connections_of_its_sources_only(self):
        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        link = links.Link(("127.0.0.1", 0), server.sockets[0].getsockname())
        await link.start()
        port = link.server.sockets[0].getsockname()[1]
        for how in links.CUTS + links.SILENT_CUTS:
            link.cut(["127.0.0.2"], how)
            self.assertFalse(await is_answered("127.0.0.2", port), how)
            self.assertTrue(await is_answered("127.0.0.3", port), how)
            link.mend(["127.0.0.2"])
            self.assertTrue(await is_answered("127.0.0.2", port), how)

    async def test_a_reset_of_a_link_is_a_reset_for_its_peers(self):
        # A connection that merely ends may look like the end of a response without a length.
        async def answer(reader, writer):
            await reader.read(100)
            writer.write(b"part")

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        link = links.Link(("127.0.0.1", 0), server.sockets[0].getsockname())
        await link.start()
        reader, writer = await asyncio.open_connection(*link.server.sockets[0].getsockname()[:2])
        writer.write(b"a")
        self.assertEqual(await reader.read(4), b"part")
        link.reset()
        with self.assertRaises(ConnectionResetError):
            await reader.read(1)


if __name__ == "__main__":
    unittest.main()
