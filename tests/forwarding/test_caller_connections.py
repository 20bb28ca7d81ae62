"""Tests that no request of a caller ends without an answer unnoticed."""

import socket
import struct
import time
from collections.abc import Callable

import gevent
import gevent.socket
import msgspec
import testtools
from gevent.event import Event

from sesameplank.core.common.clock import ManualClock
from sesameplank.core.published.routes import RequestLimits
from sesameplank.forwarding import caller_connections
from sesameplank.forwarding.answer_accounts import AnswerAccounts, StopTotals
from sesameplank.forwarding.caller_connections import MAX_PIPELINED
from sesameplank.forwarding.caller_server import CallerServer
from sesameplank.forwarding.http_messages import Request
from sesameplank.forwarding.metrics import FrontMetrics
from sesameplank.forwarding.request_handling import Reply, RequestContext
from sesameplank.forwarding.request_log import RequestLog
from sesameplank.logs import output
from sesameplank.net import Address
from sesameplank.standins.fleet import reserve_block

WAIT_S = 10.0
CALLS = 3
LARGE_BODY = b"x" * 16_000_000  # More than the buffers of both sockets hold.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def make_requests(*ids: str) -> bytes:
    """Return pipelined requests; the path of each is its id."""
    return b"".join(f"GET /{id} HTTP/1.1\r\nHost: x\r\n\r\n".encode() for id in ids)


def get_request_id(request: Request) -> str:
    """Return the id that `make_requests` gave to a request."""
    return request.path[1:]


class CallerConnectionTestCase(testtools.TestCase):
    """Runs a server whose handler answers when the test lets it."""

    def setUp(self):
        super().setUp()
        self.lines: list[str] = []
        self.patch(output, "write", self.lines.append)
        self.served = 0
        self.context: RequestContext | None = None
        self.reply = Reply(200)
        self.may_reply = Event()
        self.metrics = FrontMetrics()
        self.address = Address(f"{self.enterContext(reserve_block())}.1.1", 8104)
        self.server = self.enterContext(
            CallerServer(
                self.address,
                self.serve,
                RequestLimits,
                time.monotonic,
                accounts=AnswerAccounts(
                    RequestLog(ManualClock()), self.metrics.count, get_request_id
                ),
            )
        )
        self.client = self.connect()

    def serve(self, request: Request, context: RequestContext) -> Reply:
        self.served += 1
        self.context = context
        context.calls = CALLS
        self.may_reply.wait()
        return self.reply

    def connect(self) -> gevent.socket.socket:
        client = gevent.socket.create_connection(tuple(self.address), WAIT_S)
        self.addCleanup(client.close)
        self.wait_for(lambda: self.server.connections, "the connection")
        return client

    def wait_for(self, condition, description: str) -> None:
        error = AssertionError(f"timed out waiting for: {description}")
        with gevent.Timeout(WAIT_S, error):
            while not condition():
                gevent.sleep(0.005)

    def send(self, *ids: str) -> None:
        """Send pipelined requests and return once the server has read them."""
        read = self.get_count("requests_read") + len(ids)
        self.client.sendall(make_requests(*ids))
        self.wait_for(lambda: self.get_count("requests_read") == read, "requests")
        self.wait_for(lambda: self.served, "a request at the handler")

    def send_until_writing(self, *ids: str) -> None:
        """Send requests and let the server write a reply that it can't finish."""
        self.reply = Reply(200, body=LARGE_BODY)
        self.send(*ids)
        self.may_reply.set()
        self.wait_for(self.is_writing, "a reply that is being written")

    def end_server(self) -> None:
        """Stop the server, and check that it reports at once.

        The greenlets of its connections don't run any more when a process ends.
        """
        self.server.__exit__()
        self.assertEqual(self.get_count("requests_read"), self.count_ended())

    def is_writing(self) -> bool:
        pending = [item for conn in self.server.connections for item in [conn.last]]
        return any(item is not None and item.unwritten for item in pending)

    def get_count(self, event: str) -> int:
        return self.metrics.counts.get(event, 0)

    def get_lines(self, event: str) -> list[dict[str, str]]:
        """Return the fields of the log lines of an event."""
        parsed = [
            dict(word.partition("=")[::2] for word in line.split())
            for line in self.lines
        ]
        return [fields for fields in parsed if fields["event"] == event]

    def get_unanswered(self) -> set[tuple[str, str, str]]:
        return {
            (fields["request"], fields["stage"], fields["cause"])
            for fields in self.get_lines("request_unanswered")
        }

    def count_ended(self) -> int:
        """Return how many requests are counted as answered or unanswered."""
        return self.get_count("answers_written") + sum(
            count
            for event, count in self.metrics.counts.items()
            if event.startswith("unanswered_")
        )


def leave_while_served(test: "UnansweredTests") -> None:
    """Close the caller's side while the handler is at work."""
    test.send("a", "b")
    test.client.close()


def leave_while_answered(test: "UnansweredTests") -> None:
    """Shut down the caller's side while the reply is being written."""
    test.send_until_writing("a", "b")
    test.client.shutdown(socket.SHUT_WR)


def send_behind_the_announced_end(test: "UnansweredTests") -> None:
    """Send a request behind one whose reply ends the connection."""
    test.reply = Reply(200, close=True)
    test.send("a", "b")
    test.may_reply.set()


def end_while_served(test: "UnansweredTests") -> None:
    """End the server while the handler is at work."""
    test.send("a", "b")
    test.end_server()


def end_while_answered(test: "UnansweredTests") -> None:
    """End the server while the reply is being written."""
    test.send_until_writing("a", "b")
    test.end_server()


def reset_while_answered(test: "UnansweredTests") -> None:
    """Reset the connection while the server writes to it and doesn't read it."""
    test.send_until_writing(*get_full_queue())
    test.client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    test.client.close()


def read_nothing(test: "UnansweredTests") -> None:
    """Let the caller read nothing of the reply."""
    test.patch(caller_connections, "WRITE_TIMEOUT_S", 0.1)
    test.send_until_writing("a", "b")


def get_full_queue() -> list[str]:
    """Return so many ids that the server stops reading the connection."""
    return [f"q{number}" for number in range(MAX_PIPELINED + 2)]


class UnansweredCase(msgspec.Struct, frozen=True):
    """An act that leaves requests without an answer, and what is reported of them.

    `first_stage` is the stage of the first request; the others are queued.
    """

    act: Callable[["UnansweredTests"], None]
    cause: str
    ids: list[str]
    first_stage: str


CASES = {
    "caller_leaves_while_served": UnansweredCase(
        leave_while_served, "caller_left", ["a", "b"], "served"
    ),
    "caller_leaves_while_answered": UnansweredCase(
        leave_while_answered, "caller_left", ["a", "b"], "answered"
    ),
    "pipelined_behind_the_reply_that_ends_its_connection": UnansweredCase(
        send_behind_the_announced_end, "connection_closed", ["b"], "queued"
    ),
    "process_ends_while_served": UnansweredCase(
        end_while_served, "process_ended", ["a", "b"], "served"
    ),
    "process_ends_while_answered": UnansweredCase(
        end_while_answered, "process_ended", ["a", "b"], "answered"
    ),
    "write_fails_while_answered": UnansweredCase(
        reset_while_answered, "write_failed", get_full_queue(), "answered"
    ),
    "write_times_out_while_answered": UnansweredCase(
        read_nothing, "write_timeout", ["a", "b"], "answered"
    ),
}


def add_tests(cases: dict[str, UnansweredCase]) -> Callable[[type], type]:
    """Return a decorator that adds a test method for each case."""

    def add(test_class: type) -> type:
        for name, case in cases.items():
            setattr(
                test_class,
                f"test_request_is_not_lost_unnoticed_if_{name}",
                lambda self, case=case: self.check(case),
            )
        return test_class

    return add


@add_tests(CASES)
class UnansweredTests(CallerConnectionTestCase):
    """Each request that ends without an answer is logged with its stage and cause."""

    def check(self, case: UnansweredCase) -> None:
        case.act(self)
        self.wait_for(lambda: len(self.get_unanswered()) == len(case.ids), "lines")
        stages = [case.first_stage, *["queued"] * (len(case.ids) - 1)]
        self.assertEqual(
            {
                (id, stage, case.cause)
                for id, stage in zip(case.ids, stages, strict=True)
            },
            self.get_unanswered(),
        )
        self.check_counts(len(case.ids), case.cause)
        is_first_served = case.first_stage == "served"
        told = self.context.close_cause
        self.assertEqual(case.cause if is_first_served else None, told and told.value)
        for fields in self.get_lines("request_unanswered"):
            is_served = fields["stage"] == "served"
            self.assertEqual(str(CALLS) if is_served else None, fields.get("calls"))
            is_answered = fields["stage"] == "answered"
            self.assertEqual(is_answered, int(fields.get("unwritten_bytes", 0)) > 0)
            self.assertEqual(str(self.address), fields["listener"])
            self.assertGreaterEqual(int(fields["after_ms"]), 0)

    def check_counts(self, number: int, cause: str) -> None:
        """Check that each request is reported and counted exactly once."""
        self.may_reply.set()
        self.wait_for(lambda: not self.server.connections, "the end")
        gevent.sleep(0.05)  # The handler's late reply must not be counted.
        self.assertEqual(number, len(self.get_lines("request_unanswered")))
        self.assertEqual(number, self.get_count(f"unanswered_{cause}"))
        self.assertEqual(self.get_count("requests_read"), self.count_ended())


class AnsweredTests(CallerConnectionTestCase):
    """Requests that are answered are counted and not reported."""

    def test_requests_read_are_pending_until_they_are_answered(self):
        self.send("a", "b", "c")
        self.assertEqual((3, 0, 3), self.get_totals())
        self.may_reply.set()
        self.wait_for(lambda: not self.server.pending, "answers")
        self.assertEqual((3, 3, 0), self.get_totals())
        self.assertEqual([], self.lines)

    def test_reply_that_is_being_written_is_pending(self):
        self.send_until_writing("a")
        self.assertEqual((1, 0, 1), self.get_totals())

    def get_totals(self) -> tuple[int, int, int]:
        return self.get_count("requests_read"), self.count_ended(), self.server.pending

    def test_totals_of_a_stop_leave_out_requests_read_before_it(self):
        self.send("a")
        self.server.is_stopping = True
        self.reply = Reply(503)
        self.may_reply.set()
        self.wait_for(lambda: not self.server.connections, "the first answer")
        self.client = self.connect()
        self.send("b")
        self.wait_for(lambda: not self.server.connections, "the second answer")
        self.assertEqual(StopTotals(1, 0, 1, 0), self.server.accounts.stop_totals)

    def test_request_lost_in_the_socket_at_a_close_is_reported(self):
        self.send("a")
        self.may_reply.set()
        self.wait_for(lambda: not self.server.in_flight, "the answer")
        gevent.sleep(0.05)
        self.client.sendall(make_requests("b"))
        self.end_server()
        self.check_unread("process_ended")

    def test_request_that_crosses_the_end_of_its_connection_is_reported(self):
        self.send("a")
        self.reply = Reply(200, close=True)
        self.may_reply.set()
        self.wait_for(lambda: not self.server.in_flight, "the answer")
        self.client.sendall(make_requests("b"))
        self.client.shutdown(socket.SHUT_WR)
        self.wait_for(lambda: not self.server.connections, "the end")
        self.check_unread("connection_closed")

    def check_unread(self, cause: str) -> None:
        """Check that the bytes of the request "b" are reported as lost."""
        (fields,) = self.get_lines("connection_closed_unread")
        self.assertEqual(len(make_requests("b")), int(fields["unread_bytes"]))
        self.assertEqual(cause, fields["cause"])
        self.assertEqual(1, self.get_count("closed_unread"))
