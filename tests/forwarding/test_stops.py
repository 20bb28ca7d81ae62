"""Tests of requests that are cut off when the server of callers stops."""

import contextlib
import errno
from collections import Counter
from unittest import mock

import gevent
import msgspec
from gevent.event import Event

from sesameplank.forwarding import caller_connections
from sesameplank.forwarding.answer_accounts import AnswerAccounts
from sesameplank.forwarding.caller_connections import FIRST_REQUEST_TIMEOUT_S
from sesameplank.forwarding.request_handling import Reply

from ..integration.front_world import RawConnection, make_request
from .caller_world import (
    TIMEOUT_S,
    CallerServerTestCase,
    KernelConnection,
    block_loop,
)

LARGE_BYTES = 300_000
VERY_LARGE_BYTES = 12_000_000  # More than the kernel's buffers hold.
SMALL_BUFFER_BYTES = 4_096
PIPELINED = (b"/a", b"/b", b"/c")


def make_pipelined() -> bytes:
    """Return several requests in a row."""
    return b"".join(make_request(path.decode()) for path in PIPELINED)


class PipelinedRequestTests(CallerServerTestCase):
    """Requests that were read behind another one on the same connection."""

    def test_each_pipelined_request_is_answered_during_a_stop(self):
        client = self.connect()
        self.server.is_stopping = True
        client.sock.sendall(make_pipelined())
        self.assertEqual(list(PIPELINED), self.read_paths(client, len(PIPELINED)))

    def test_only_the_last_pipelined_answer_announces_the_end(self):
        client = self.connect()
        self.server.is_stopping = True
        client.sock.sendall(make_pipelined())
        endings = [client.read().get(b"connection") for _ in PIPELINED]
        self.assertEqual([None, None, "close"], endings)


class LingeringTests(CallerServerTestCase):
    """Connections whose callers don't close them after the last answer."""

    def handle(self, request, context):
        return Reply(200, body=b"x" * LARGE_BYTES, close=True)

    def test_slow_caller_receives_the_rest_although_it_sends_more_much_later(self):
        self.patch(caller_connections, "LINGER_TIMEOUT_S", 0.1)
        client = self.enterContext(KernelConnection(self.address, SMALL_BUFFER_BYTES))
        client.sock.sendall(make_request("/large"))
        gevent.sleep(0.5)
        client.sock.sendall(make_request("/more"))
        gevent.sleep(0.1)
        self.assertEqual(LARGE_BYTES, len(client.read().body))

    def test_number_of_lingering_connections_is_bounded(self):
        self.patch(caller_connections, "MAX_LINGERING", 1)
        clients = [self.enterContext(KernelConnection(self.address)) for _ in range(3)]
        for client in clients:
            client.request(make_request("/large"))
        gevent.sleep(0.1)
        self.assertEqual(1, len(self.server.connections))
        self.assertEqual(1, self.server.lingering)


class EndlessCallerTests(CallerServerTestCase):
    """Callers that always send the next request before the answer to the last one."""

    def handle(self, request, context):
        gevent.sleep(0.02)
        return super().handle(request, context)

    def test_connection_ends_once_accepting_has_ended(self):
        client = self.connect()
        self.server.is_stopping = True
        sender = gevent.spawn(self.send_without_end, client)
        self.addCleanup(sender.kill)
        self.assertIsNone(client.read().get(b"connection"))
        self.server.stop_accepting()
        with gevent.Timeout(TIMEOUT_S):
            while client.read().get(b"connection") != "close":
                pass

    def send_without_end(self, client: RawConnection) -> None:
        """Send requests faster than they are answered."""
        with contextlib.suppress(OSError):
            while True:
                client.sock.sendall(make_pipelined())
                gevent.sleep(0.01)


class LargeAnswerTests(CallerServerTestCase):
    """Answers that the caller has not read yet when its connection is closed."""

    def handle(self, request, context):
        if request.path == "/large":
            return Reply(200, body=b"x" * LARGE_BYTES)
        return super().handle(request, context)

    def test_answer_arrives_whole_although_its_caller_sends_more_first(self):
        client = self.connect(SMALL_BUFFER_BYTES)
        self.server.is_stopping = True
        client.sock.sendall(make_request("/large"))
        gevent.sleep(0.2)
        client.sock.sendall(make_request("/next"))
        self.assertEqual(LARGE_BYTES, len(client.read().body))

    def test_answer_on_an_idle_connection_arrives_whole_although_it_is_closed(self):
        client = self.connect(SMALL_BUFFER_BYTES)
        client.sock.sendall(make_request("/large"))
        gevent.sleep(0.2)
        self.server.is_stopping = True
        self.server.close_idle()
        gevent.sleep(0.2)
        client.sock.sendall(make_request("/next"))
        self.assertEqual(LARGE_BYTES, len(client.read().body))


class BlockedAnswerTests(CallerServerTestCase):
    """Answers whose last bytes are written only when the caller has read others."""

    def setUp(self):
        super().setUp()
        self.counts = Counter()
        self.server.accounts = AnswerAccounts(None, lambda event: self.add(event))

    def add(self, event: str) -> None:
        """Count an event of the accounts."""
        self.counts[event] += 1

    def handle(self, request, context):
        return Reply(200, body=b"x" * VERY_LARGE_BYTES)

    def connect_slowly(self) -> KernelConnection:
        """Return a connection on which answers are not read."""
        client = KernelConnection(self.address, SMALL_BUFFER_BYTES)
        return self.enterContext(client)

    def test_no_request_is_read_behind_an_answer_that_announces_the_end(self):
        self.server.is_stopping = True
        client = self.connect_slowly()
        client.sock.sendall(make_request("/last"))
        gevent.sleep(0.2)
        client.sock.sendall(make_request("/behind"))
        gevent.sleep(0.2)
        self.assertEqual("close", client.read().get(b"connection"))
        gevent.sleep(0.2)
        self.assertEqual(0, self.counts["unanswered_connection_closed"])

    def test_answer_is_not_cut_off_because_the_next_request_is_incomplete(self):
        self.limits = msgspec.structs.replace(self.limits, header_timeout_s=0.5)
        client = self.connect_slowly()
        client.sock.sendall(make_request("/first") + b"GET /next")
        gevent.sleep(0.2)
        self.time_s = 1.0
        gevent.sleep(1.0)
        self.assertEqual(VERY_LARGE_BYTES, len(client.read().body))


class ListenerErrorTests(CallerServerTestCase):
    """Errors of the listener when it is closed."""

    def test_accepting_ends_although_no_descriptor_is_free(self):
        listener = self.server.stream_server
        error = OSError(errno.EMFILE, "too many open files")
        self.patch(listener, "do_read", mock.Mock(side_effect=error))
        self.server.stop_accepting()
        self.assertTrue(listener.closed)


class WaitingRequestTests(CallerServerTestCase):
    """Requests that wait in a socket when their connection is closed."""

    def test_request_in_the_socket_is_answered_when_idle_connections_close(self):
        client = self.connect()
        self.server.is_stopping = True
        client.sock.sendall(make_request("/waiting"))
        self.server.close_idle()
        self.assertEqual([b"/waiting"], self.read_paths(client, 1))

    def test_request_in_the_socket_is_answered_when_the_idle_timeout_is_late(self):
        self.limits = msgspec.structs.replace(self.limits, idle_timeout_s=1.0)
        client = self.enterContext(KernelConnection(self.address))
        self.wait_until_accepted()
        client.sock.sendall(make_request("/waiting"))
        block_loop(1.2)  # Request and timeout are then due at once.
        self.assertEqual([b"/waiting"], self.read_paths(client, 1))

    def test_request_in_the_listeners_queue_is_answered_when_accepting_ends(self):
        client = self.enterContext(KernelConnection(self.address))
        client.sock.sendall(make_request("/queued"))
        self.server.stop_accepting()
        self.assertEqual([b"/queued"], self.read_paths(client, 1))

    def test_first_request_is_answered_although_it_comes_after_accepting_ends(self):
        client = self.enterContext(KernelConnection(self.address))
        self.server.is_stopping = True
        self.server.stop_accepting()
        self.wait_until_accepted()
        self.server.close_idle()
        self.assertEqual(200, client.request(make_request("/first")).status)

    def test_connection_without_a_request_is_closed_in_the_end(self):
        client = self.enterContext(KernelConnection(self.address))
        self.wait_until_accepted()
        self.time_s = FIRST_REQUEST_TIMEOUT_S
        self.server.close_idle()
        self.assertTrue(client.is_closed())


class LeavingCallerTests(CallerServerTestCase):
    """Callers that leave while their requests are served during a stop."""

    def setUp(self):
        super().setUp()
        self.may_reply = Event()

    def handle(self, request, context):
        self.may_reply.wait()
        return super().handle(request, context)

    def test_worker_does_not_fail_on_the_closed_connection(self):
        client = self.enterContext(KernelConnection(self.address))
        self.server.is_stopping = True
        client.sock.sendall(make_request("/left"))
        self.wait_until_accepted()
        (connection,) = self.server.connections
        with gevent.Timeout(TIMEOUT_S):
            while connection.worker is None:
                gevent.sleep(0.01)
            worker = connection.worker
            client.sock.close()
            while self.server.connections:
                gevent.sleep(0.01)
            self.may_reply.set()
            self.assertIsNone(worker.get())
