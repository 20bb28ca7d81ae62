"""Tests of the client of the platform's service, with a scripted server."""

import contextlib

import gevent
import testtools
from gevent.server import StreamServer

from sesameplank.exceptions import PlatformError
from sesameplank.net import Address
from sesameplank.published.reader import PlatformReader

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNK = b"a" * 65_536
MOST_SENT_BYTES = 64 * 1024 * 1024  # With what the kernel holds.
MOST_S = 10.0


class PlatformReaderTests(testtools.TestCase):
    """An answer is bounded in bytes and in time."""

    def setUp(self):
        super().setUp()
        self.sent_bytes = 0

    def serve(self, parts, delay_s: float) -> PlatformReader:
        """Return a client of a server that sends a part after the other."""

        def handle(sock, address):
            sock.recv(65_536)
            with contextlib.suppress(OSError):
                for part in parts():
                    sock.sendall(part)
                    self.sent_bytes += len(part)
                    gevent.sleep(delay_s)

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        self.addCleanup(server.stop, timeout=0)
        return PlatformReader(Address("127.0.0.1", server.server_port))

    def assert_no_answer(self, parts, delay_s: float) -> None:
        """Assert that a read fails in time and without reading on."""
        client = self.serve(parts, delay_s)
        with gevent.Timeout(MOST_S):
            self.assertRaises(PlatformError, client.read_vms, 0, 0.0)
        self.assertLess(self.sent_bytes, MOST_SENT_BYTES)

    def send_without_end(self, head: bytes, part: bytes):
        """Return a function that yields a head, then the same part for ever."""

        def parts():
            yield head
            while True:
                yield part

        return parts

    def test_body_without_end(self):
        self.assert_no_answer(self.send_without_end(HEAD + b"\r\n", CHUNK), 0.0)

    def test_body_without_end_in_chunks(self):
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        part = b"%x\r\n%s\r\n" % (len(CHUNK), CHUNK)
        self.assert_no_answer(self.send_without_end(head, part), 0.0)

    def test_body_whose_length_is_too_great(self):
        head = HEAD + b"Content-Length: %d\r\n\r\n" % 10**12
        self.assert_no_answer(self.send_without_end(head, CHUNK), 0.0)

    def test_headers_without_end(self):
        part = b"X-More: %s\r\n" % CHUNK
        self.assert_no_answer(self.send_without_end(HEAD, part), 0.0)

    def test_body_that_trickles(self):
        head = HEAD + b"Content-Length: 1000000\r\n\r\n"
        self.assert_no_answer(self.send_without_end(head, b"a"), 0.05)
