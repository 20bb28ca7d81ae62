"""Tests of the steps of an entry's stop, on a server with a CallersApp."""

import gevent
import msgspec

from sesameplank.core.common.clock import SystemClock
from sesameplank.core.common.entry_stop import make_entry_stop_schedule
from sesameplank.core.membership.peer_messages import Phase
from sesameplank.core.search.messages import SearchAnswer
from sesameplank.draining import Drain
from sesameplank.logs import output
from sesameplank.serving import ServingGate, ServingState

from .callers.raw_http import GOOD_BODY, RawResponse, make_post
from .callers.served_app import ServedAppTestCase
from .failing_membership import make_failing_membership_service

HUGE_BYTES = 30_000_000  # More than the buffers of a connection hold.


class RecordedPhases:
    """Records the phases that a stop announces."""

    def __init__(self) -> None:
        self.phases: list[Phase] = []

    def leave(self, phase: Phase) -> None:
        """Record a phase."""
        self.phases.append(phase)


class DrainTests(ServedAppTestCase):
    """Each step of a stop and each request without an answer leaves a line."""

    def setUp(self):
        super().setUp()
        self.lines = []
        self.patch(output, "write", self.lines.append)
        self.membership = RecordedPhases()
        self.is_huge = False

    def search(self, call, request) -> SearchAnswer:
        """Return an answer, which is huge if the test says so."""
        answer = super().search(call, request)
        size = HUGE_BYTES if self.is_huge else 1
        return msgspec.structs.replace(answer, collection="x" * size)

    def drain(self, drain_timeout_s: float) -> None:
        """Stop the server, with addresses that run out at once."""
        clock = SystemClock()
        now = clock.now()
        gate = ServingGate(clock)
        gate.set_state(ServingState.OPEN)
        gate.stop = make_entry_stop_schedule(now, 0.0, drain_timeout_s, now)
        Drain(gate.stop, gate, self.server, self.membership, clock).run()

    def get_event(self, event: str) -> str:
        """Return the only line of an event."""
        (line,) = [item for item in self.lines if item.startswith(f"event={event} ")]
        return line

    def test_steps_are_logged_with_counts(self):
        self.drain(1.0)
        for event in ("leaving", "stop_accepting", "left"):
            line = self.get_event(event)
            self.assertIn("in_flight=0 busy=0 connections=0 refused=0 after_s=", line)
        self.assertIn("finished=True cut_off=0 unanswered=0", self.get_event("left"))
        self.assertEqual([Phase.LEAVING, Phase.LEFT], self.membership.phases)

    def test_stop_goes_on_if_the_others_cannot_be_told(self):
        self.membership = make_failing_membership_service()
        sock = self.connect()
        sock.sendall(make_post(GOOD_BODY))
        self.assertEqual(200, RawResponse(sock.makefile("rb")).status)
        self.drain(1.0)
        self.assertIn("finished=True cut_off=0 unanswered=0", self.get_event("left"))
        failed = [line for line in self.lines if "event=announcement_failed" in line]
        self.assertEqual(2, len(failed))

    def test_request_without_an_answer_at_the_end_is_cut_off_and_answered(self):
        self.release.clear()
        sock = self.connect()
        sock.sendall(make_post(GOOD_BODY))
        self.wait_until(lambda: self.searches)
        self.drain(0.5)
        answer = RawResponse(sock.makefile("rb"))
        self.assertEqual(
            (503, "leaving", "unknown"),
            (answer.status, answer.kind, answer.problem["ran"]),
        )
        self.assertIn("finished=False cut_off=1 unanswered=0", self.get_event("left"))

    def test_answer_that_is_not_read_by_the_end_of_the_stop_is_logged(self):
        self.is_huge = True
        sock = self.connect()
        sock.sendall(make_post(GOOD_BODY, "X-Request-Id: unread-answer"))
        self.wait_until(lambda: self.searches)
        gevent.sleep(0.1)
        self.drain(0.5)
        line = self.get_event("request_unanswered")
        self.assertIn("request_id=unread-answer stage=writing", line)
        self.assertIn("finished=False cut_off=1 unanswered=1", self.get_event("left"))
