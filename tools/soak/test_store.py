"""Tests that the emulated store's links behave like real ones."""

import asyncio
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import store


class RecordingWriter:
    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        self.written += data

    async def drain(self) -> None:
        pass


class StoreTest(unittest.TestCase):
    def send(self, silenced: bool) -> bytes:
        emulated, writer = store.Store(), RecordingWriter()
        emulated.links["address"] = asyncio.Lock()
        emulated.connections["address"] = {writer}
        if silenced:
            emulated.silence("address")
        asyncio.run(emulated.send("address", writer, b"x" * 3 * store.CHUNK_BYTES))
        return writer.written

    def test_a_response_is_sent_whole(self):
        self.assertEqual(len(self.send(False)), 3 * store.CHUNK_BYTES)

    def test_a_silent_connection_transfers_nothing(self):
        self.assertEqual(self.send(True), b"")


if __name__ == "__main__":
    unittest.main()
