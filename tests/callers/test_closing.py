"""Tests that closing a connection loses no answer and no request, over raw sockets."""

import socket
import struct

import gevent

from sesameplank.callers.server import CallersHandler
from sesameplank.logs import output

from .raw_http import GOOD_BODY, RawResponse, make_head, make_post
from .served_app import ServedAppTestCase

UNREAD_BYTES = 300_000
PAUSE_S = 0.3


class StoppingServerTests(ServedAppTestCase):
    """A stopping server answers what was sent before it closes a connection."""

    def test_last_of_the_pipelined_requests_ends_the_connection(self):
        self.release.clear()
        sock = self.connect()
        sock.sendall(3 * make_post(GOOD_BODY))
        self.wait_until(lambda: len(self.searches) == 1)
        self.server.is_stopping = True
        self.release.set()
        stream = sock.makefile("rb")
        answers = [RawResponse(stream) for _ in range(3)]
        self.assertEqual([200] * 3, [item.status for item in answers])
        self.assertEqual(
            [None, None, "close"], [item.headers.get("connection") for item in answers]
        )
        self.assertEqual(b"", stream.read())

    def test_idle_connection_is_closed_and_one_with_a_request_is_answered(self):
        idle, used = self.connect(), self.connect()
        for sock in (idle, used):
            sock.sendall(make_post(GOOD_BODY))
            self.assertEqual(200, RawResponse(sock.makefile("rb")).status)
        self.release.clear()
        used.sendall(make_post(GOOD_BODY))
        self.wait_until(lambda: len(self.searches) == 3)
        self.server.is_stopping = True
        self.server.close_idle()
        self.assertEqual(b"", idle.recv(1))
        self.release.set()
        stream = used.makefile("rb")
        self.assertEqual(200, RawResponse(stream).status)
        self.assertEqual(b"", stream.read())

    def test_cut_off_refuses_only_requests_without_an_answer(self):
        table = [make_post(GOOD_BODY)[:9], make_head(28)[:-2], make_head(28)]
        socks = [self.connect() for _ in table]
        for sock, payload in zip(socks, table, strict=True):
            sock.sendall(payload)
        idle = self.connect()
        self.wait_until(lambda: len(self.server.get_busy()) == len(table))
        self.server.cut_off()
        for sock in socks:
            answer = RawResponse(sock.makefile("rb"))
            self.assertEqual((503, "leaving"), (answer.status, answer.kind))
            self.assertEqual("not_run", answer.problem["ran"])
        idle.sendall(make_post(GOOD_BODY))
        self.assertEqual(200, RawResponse(idle.makefile("rb")).status)

    def test_connections_in_the_queue_of_the_listener_are_served(self):
        self.server.stop_accepting()
        socks = [self.connect() for _ in range(3)]
        for sock in socks:
            sock.sendall(make_post(GOOD_BODY))
        self.server.is_stopping = True
        self.server.stop()
        for sock in socks:
            stream = sock.makefile("rb")
            self.assertEqual(200, RawResponse(stream).status)
            self.assertEqual(b"", stream.read())
        self.assertRaises(ConnectionRefusedError, self.connect)

    def get_lines(self, event: str) -> list[str]:
        """Return the lines of an event since `record_log` was called."""
        return [item for item in self.lines if f"event={event}" in item]

    def record_log(self) -> None:
        self.lines = []
        self.patch(output, "write", self.lines.append)

    def test_request_that_comes_after_the_close_is_logged(self):
        self.record_log()
        sock = self.connect()
        self.wait_until(lambda: self.server.handlers)
        self.server.close_idle()
        self.assertEqual(b"", sock.recv(1))
        sock.sendall(make_post(GOOD_BODY))
        sock.close()
        self.wait_until(lambda: self.server.open_connections == 0)
        (line,) = self.get_lines("request_unanswered")
        self.assertIn(f"stage=unread bytes={len(make_post(GOOD_BODY))}", line)
        self.assertEqual(1, self.server.unanswered_requests)

    def test_each_unanswered_request_of_a_stop_is_logged(self):
        self.record_log()
        self.server.is_stopping = True
        handler = CallersHandler(self.connect(), self.address, self.server)
        for _ in range(200):
            handler.log_unanswered("test")
        self.assertEqual(200, len(self.get_lines("request_unanswered")))

    def test_answer_that_cannot_be_written_is_logged(self):
        self.record_log()
        self.release.clear()
        sock = self.connect()
        sock.sendall(make_post(GOOD_BODY, "X-Request-Id: gone"))
        self.wait_until(lambda: len(self.searches) == 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        gevent.sleep(PAUSE_S)
        self.release.set()
        self.wait_until(lambda: self.server.open_connections == 0)
        (line,) = self.get_lines("request_unanswered")
        self.assertIn("request_id=gone stage=writing cause=", line)


class ClosedConnectionTests(ServedAppTestCase):
    """The answer arrives whole although bytes behind it are not read."""

    def read_late(self, payload: bytes) -> RawResponse:
        """Send bytes, and read the answer only after the server has closed."""
        sock = self.connect()
        sock.sendall(payload)
        gevent.sleep(PAUSE_S)
        stream = sock.makefile("rb")
        answer = RawResponse(stream)
        self.assertEqual(b"", stream.read())
        return answer

    def test_unread_bytes_do_not_reset_an_answer(self):
        unread = b"x" * UNREAD_BYTES
        table = [
            (make_post(GOOD_BODY, "Connection: close") + unread, 200),
            (b"nonsense\r\n\r\n" + unread, 400),
            (make_head("abc") + unread, 400),
        ]
        for payload, status in table:
            self.assertEqual(status, self.read_late(payload).status, payload[:60])

    def test_unread_bytes_do_not_reset_the_refusal_over_the_limit(self):
        self.server.max_connections = 0
        answer = self.read_late(make_post(GOOD_BODY) + b"x" * UNREAD_BYTES)
        self.assertEqual((503, "overloaded"), (answer.status, answer.kind))
