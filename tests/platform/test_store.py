"""Tests of the client of the platform's store and of the source built on it."""

import os
import time

import gevent
import testtools
from gevent.server import StreamServer

from sesameplank.core.common.clock import SystemClock
from sesameplank.core.published.document_version import DocumentVersion
from sesameplank.exceptions import PlatformError, UnreadableResponseError
from sesameplank.forwarding.http_messages import Response
from sesameplank.loops import RoundOverdue
from sesameplank.net import Address
from sesameplank.platform.source import StoreSource
from sesameplank.platform.store import MAX_BODY_BYTES, UNKNOWN_ERA, StoreClient
from sesameplank.standins.fleet import reserve_block
from sesameplank.standins.front_store import PAGE_ITEMS, StoreStandin

MANY_FILES = 1_100  # More than select() can watch.


class EraTests(testtools.TestCase):
    """The era is read from every response; an unreadable one counts as unknown."""

    def read_era(self, value: bytes | None) -> int:
        response = Response()
        if value is not None:
            response.add(b"Store-Era", value)
        return StoreClient(Address("127.0.0.1", 1), "127.0.0.1").read_era(response)

    def test_eras(self):
        cases = (
            (b"1", 1),
            (b"17", 17),
            (None, UNKNOWN_ERA),
            (b"", UNKNOWN_ERA),
            (b"-3", UNKNOWN_ERA),
            (b"two", UNKNOWN_ERA),
            (b"1.5", UNKNOWN_ERA),
            ("²".encode("latin-1"), UNKNOWN_ERA),
            (b"9" * 400, UNKNOWN_ERA),
        )
        for value, era in cases:
            self.assertEqual(era, self.read_era(value), value)


class CutAnswerTests(testtools.TestCase):
    """An answer that ends before it is whole fails the call, wherever it ends."""

    ANSWER = (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
        b'Content-Length: 42\r\n\r\n{"items":[],"has_more":false,"as_of":1000}'
    )

    def setUp(self):
        super().setUp()
        block = self.enterContext(reserve_block())
        self.address = Address(f"{block}.200.1", 8102)
        self.data = b""
        self.is_held = False
        server = StreamServer(tuple(self.address), self.handle)
        server.start()
        self.addCleanup(server.stop, 0)
        self.client = StoreClient(self.address, f"{block}.1.1")
        self.addCleanup(self.client.close)

    def handle(self, sock, source) -> None:
        """Send the prepared bytes to each call, and end the connection.

        If `is_held`, the client has to end it.
        """
        sock.recv(65_536)
        sock.sendall(self.data)
        if self.is_held:
            sock.recv(1)
        sock.close()

    def test_cut_answers(self):
        for length in range(len(self.ANSWER)):
            self.data = self.ANSWER[:length]
            self.assertRaises(PlatformError, self.client.read_page, "")
        self.data = self.ANSWER
        self.assertEqual(1000, self.client.read_page("").as_of)

    def test_only_an_answer_that_has_begun_cannot_be_read_whole(self):
        for length in (0, 1, len(self.ANSWER) - 1):
            self.data = self.ANSWER[:length]
            error = self.assertRaises(PlatformError, self.client.read_page, "")
            has_begun = isinstance(error, UnreadableResponseError)
            self.assertEqual(length > 0, has_begun, length)

    def test_connection_of_an_ended_round_is_not_used_again(self):
        self.data, self.is_held = self.ANSWER[:-1], True
        overdue = gevent.Timeout(0.2, RoundOverdue("store", 0.2))
        with testtools.ExpectedException(RoundOverdue), overdue:
            self.client.read_page("")
        self.is_held = False
        self.assertIsNone(self.client.sock)
        self.data = self.ANSWER.replace(b"1000", b"2000")
        self.assertEqual(2000, self.client.read_page("").as_of)

    def test_too_large_an_answer(self):
        length = b"%d" % (MAX_BODY_BYTES + 1)
        self.data = self.ANSWER.replace(b"42", length)
        self.assertRaises(UnreadableResponseError, self.client.watch, "", 1, 0.1)


class ExtraAnswerTests(testtools.TestCase):
    """Bytes beyond an answer are never taken for the answer to a later call."""

    def setUp(self):
        super().setUp()
        block = self.enterContext(reserve_block())
        self.address = Address(f"{block}.200.1", 8102)
        self.calls = 0
        self.extra = b""
        self.delay_s = 0.0
        server = StreamServer(tuple(self.address), self.handle)
        server.start()
        self.addCleanup(server.stop, 0)
        self.client = StoreClient(self.address, f"{block}.1.1")
        self.addCleanup(self.client.close)

    def handle(self, sock, source) -> None:
        """Answer each call with its number, and the first with `extra` behind it."""
        while sock.recv(65_536):
            self.calls += 1
            sock.sendall(self.encode(self.calls))
            if self.calls == 1:
                gevent.sleep(self.delay_s)
                sock.sendall(self.extra)

    def encode(self, number: int) -> bytes:
        """Return an answer whose revision is a number."""
        body = b'{"items":[],"has_more":false,"as_of":%d}' % number
        head = b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n"
        return head % len(body) + body

    def test_connection_that_ends_after_each_answer(self):
        server = StreamServer((self.address.host, 8103), self.answer_once)
        server.start()
        self.addCleanup(server.stop, 0)
        client = StoreClient(Address(self.address.host, 8103), self.client.source_host)
        self.addCleanup(client.close)
        for number in range(1, 4):
            self.assertEqual(number, client.read_page("").as_of)
            gevent.sleep(0.05)

    def answer_once(self, sock, source) -> None:
        """Answer one call, and end the connection."""
        sock.recv(65_536)
        self.calls += 1
        sock.sendall(self.encode(self.calls))
        sock.close()

    def test_calls_of_a_process_with_many_open_files(self):
        for _ in range(MANY_FILES):
            self.addCleanup(os.close, os.dup(0))
        for number in range(1, 4):
            self.assertEqual(number, self.client.read_page("").as_of)

    def test_extra_bytes(self):
        cases = (
            ("a copy", self.encode(1), 0.0),
            ("a late copy", self.encode(1), 0.05),
            ("a part of an answer", self.encode(1)[:30], 0.05),
            ("no answer", b"\0" * 10, 0.05),
        )
        for name, self.extra, self.delay_s in cases:
            self.calls = 0
            self.client.close()
            revisions = []
            for _ in range(3):
                revisions.append(self.client.read_page("").as_of)
                gevent.sleep(0.1)
            self.assertEqual([1, 2, 3], revisions, name)


class SourceTests(testtools.TestCase):
    """Reads and watches of a store that is restored from a copy."""

    def setUp(self):
        super().setUp()
        block = self.enterContext(reserve_block())
        address = Address(f"{block}.200.1", 8102)
        self.store = self.enterContext(StoreStandin(address, time.monotonic))
        self.client = StoreClient(address, f"{block}.1.1")
        self.addCleanup(self.client.close)
        self.source = StoreSource(self.client, SystemClock())

    def test_version_has_the_era_of_the_response(self):
        self.store.copy()
        self.store.put("servers/a", b"x")
        version = self.source.read().targets.version
        self.assertEqual(DocumentVersion(1, 2), version)
        self.store.restore()
        self.assertEqual(DocumentVersion(2, 1), self.source.read().targets.version)

    def test_restore_between_two_pages_fails_the_read(self):
        for number in range(PAGE_ITEMS + 1):
            self.store.put(f"servers/a{number}", b"x")
        self.store.copy()
        read_page = self.client.read_page

        def restore_and_read(prefix: str, after: str = ""):
            if after:
                self.store.restore()
            return read_page(prefix, after)

        self.client.read_page = restore_and_read
        self.assertRaises(PlatformError, self.source.read)
