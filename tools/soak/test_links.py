"""The proxy harms connections as a network would."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import links


class ScriptedReader:
    """Brings the link into a state before each piece of data."""

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

    def abort(self) -> None:
        self.aborted = True


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_whose_middle_was_swallowed_does_not_go_on(self):
        # The daemon must get a broken answer. Two harms of one link overlap: the first swallows bytes, the second
        # only delays, and the connection went on without them, which no network does.
        link = links.Link(("127.0.0.1", 1), ("127.0.0.1", 2))
        reader = ScriptedReader(link, [(links.OPEN, b"a"), (links.SILENT, b"b"), (links.OPEN, b"c")])
        writer = RecordingWriter()
        await link.copy(reader, writer, links.CUT_BACK)
        self.assertEqual(writer.written, b"a")
        self.assertTrue(writer.aborted)


if __name__ == "__main__":
    unittest.main()
