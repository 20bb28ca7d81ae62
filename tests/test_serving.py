"""Tests of admission by serving state and of pause detection."""

import contextlib
import math

import gevent
import testtools

from sesameplank.bookings.forwarding import ForwardedBooking
from sesameplank.bookings.refusals import make_cut_off
from sesameplank.bookings.service import BookingService
from sesameplank.callers.problems import ProblemKind, Refusal
from sesameplank.core.bookings.bookings import BookingLimits, BookingRegistry
from sesameplank.core.bookings.writers import parse_key
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.common.entry_stop import make_entry_stop_schedule
from sesameplank.core.common.outcomes import Ran
from sesameplank.core.common.pauses import EventAge, PauseDetector
from sesameplank.core.membership.peer_messages import RelayedCall
from sesameplank.exceptions import StopReached
from sesameplank.serving import (
    GatedBookings,
    GatedRelay,
    ServingGate,
    ServingState,
)
from sesameplank.targets.relay import RelayDispatcher


class ServingGateTests(testtools.TestCase):
    """The gate admits requests by its state; refused requests have not run."""

    def test_refusal_by_state(self):
        table = [
            (ServingState.STARTING, ProblemKind.NOT_READY),
            (ServingState.REFRESHING, ProblemKind.NOT_READY),
            (ServingState.CLOSED, ProblemKind.LEAVING),
        ]
        for state, kind in table:
            gate = ServingGate()
            gate.set_state(state)
            refusal = self.assertRaises(Refusal, gate.admit().__enter__)
            self.assertEqual((kind, Ran.NOT_RUN), (refusal.kind, refusal.ran))
            self.assertEqual(0, gate.in_flight)

    def test_closed_is_final(self):
        gate = ServingGate()
        gate.set_state(ServingState.CLOSED)
        gate.set_state(ServingState.OPEN)
        self.assertIs(ServingState.CLOSED, gate.state)

    def test_idle_only_when_nothing_is_in_flight(self):
        gate = ServingGate()
        gate.set_state(ServingState.OPEN)
        with gate.admit(), gate.admit():
            self.assertFalse(gate.idle.is_set())
        self.assertTrue(gate.idle.is_set())

    def test_state_that_before_admission_sets_applies_to_the_same_request(self):
        gate = ServingGate()
        gate.set_state(ServingState.OPEN)
        gate.before_admission = lambda: gate.set_state(ServingState.REFRESHING)
        self.assertRaises(Refusal, gate.admit().__enter__)

    def test_request_that_cannot_end_before_the_stop_is_refused_as_not_run(self):
        clock = ManualClock()
        gate = ServingGate(clock)
        gate.set_state(ServingState.OPEN)
        gate.stop = make_entry_stop_schedule(0.0, 1.0, 0.0, 0.0)
        with gate.admit():
            clock.advance(gate.stop.answer_by - 0.1)
            refusal = self.assertRaises(Refusal, gate.admit().__enter__)
        self.assertEqual(
            (ProblemKind.LEAVING, Ran.NOT_RUN), (refusal.kind, refusal.ran)
        )
        with gate.admit(is_new=False):
            self.assertEqual(1, gate.in_flight)

    def test_deadlines_are_bounded_by_the_end_of_the_stop(self):
        gate = ServingGate(ManualClock())
        self.assertEqual(math.inf, gate.get_latest_deadline())
        gate.stop = make_entry_stop_schedule(0.0, 1.0, 2.0, 0.0)
        self.assertTrue(3.0 < gate.get_latest_deadline() < gate.stop.answer_by)

    def test_only_requests_in_flight_are_cut_off(self):
        gate = ServingGate()
        gate.set_state(ServingState.OPEN)
        outcomes = []

        def wait(is_admitted: bool) -> None:
            with gate.admit() if is_admitted else contextlib.nullcontext():
                try:
                    gevent.sleep(0.2)
                    outcomes.append((is_admitted, "ended"))
                except StopReached:
                    outcomes.append((is_admitted, "cut off"))

        greenlets = [gevent.spawn(wait, item) for item in (True, False)]
        gevent.sleep(0.05)
        gate.cut_off()
        gevent.joinall(greenlets, raise_error=True)
        self.assertEqual([(True, "cut off"), (False, "ended")], outcomes)
        self.assertEqual((0, set()), (gate.in_flight, gate.admitted))


class CutOffBookingTests(testtools.TestCase):
    """A booking that a stop cuts off is never said to be not run."""

    def test_remedy_by_issuer(self):
        table = [
            ("e1~5~1~a", None, "look for it in a search"),
            ("e2~5~1~a", 0, "ask another entry under the same key"),
            ("no-writer", None, "look for it in a search"),
        ]
        for text, retry_after_ms, remedy in table:
            refusal = make_cut_off(parse_key(text), "e1")
            self.assertEqual(
                (ProblemKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, retry_after_ms),
                (refusal.kind, refusal.ran, refusal.retry_after_ms),
                text,
            )
            self.assertIn(remedy, refusal.remedy)

    def test_forwarded_booking_in_flight_gets_a_reply(self):
        gate = ServingGate()
        service = BookingService(
            BookingRegistry("e1", 5, BookingLimits()), None, None, ManualClock()
        )
        service.handle_forwarded = lambda message, context: gevent.sleep(60)
        bookings = GatedBookings(service, gate)
        message = ForwardedBooking("r1", "desk", "e1~4~1~a", None)
        handler = gevent.spawn(bookings.handle_forwarded_booking, message, None)
        gevent.sleep(0.05)
        gate.cut_off()
        problem = handler.get(timeout=10).problem
        self.assertEqual(Ran.UNKNOWN, problem.ran)
        self.assertEqual("r1", problem.request_id)


class GatedRelayTests(testtools.TestCase):
    """A home that stops refuses new calls of other entries and lets others end."""

    def serve(self, relay: GatedRelay, path: str):
        """Return the outcome of a relayed call, in a greenlet of its own."""
        return gevent.spawn(relay.serve, RelayedCall("t1", path, b"", 0), None)

    def make_relay(self) -> GatedRelay:
        """Return a relay whose target answers after 60 s."""
        dispatcher = RelayDispatcher.__new__(RelayDispatcher)
        dispatcher.serve = lambda message, context: gevent.sleep(60)
        return GatedRelay(dispatcher, ServingGate())

    def test_new_work_is_refused_as_not_run_only_once_closed(self):
        relay = self.make_relay()
        relay.gate.set_state(ServingState.OPEN)
        in_flight = self.serve(relay, "/book")
        gevent.sleep(0.01)
        self.assertEqual(1, relay.gate.in_flight)
        relay.gate.set_state(ServingState.CLOSED)
        for path in ("/book", "/search"):
            self.assertIs(Ran.NOT_RUN, self.serve(relay, path).get(timeout=10).ran)
        others = [self.serve(relay, path) for path in ("/cancel", "/health")]
        gevent.sleep(0.01)
        self.assertEqual(3, relay.gate.in_flight)
        relay.gate.cut_off()
        for greenlet in (in_flight, *others):
            self.assertIs(Ran.UNKNOWN, greenlet.get(timeout=10).ran)


class GatedBookingsTests(testtools.TestCase):
    """The gate knows which bookings may have run already."""

    def test_only_unused_keys_of_this_entry_are_new(self):
        registry = BookingRegistry("e1", 5, BookingLimits())
        clock = ManualClock()
        bookings = GatedBookings(
            BookingService(registry, None, None, clock), ServingGate()
        )
        writer = registry.issue(0.0)
        used, unused = f"{writer}~a", f"{writer}~b"
        registry.begin(parse_key(used), b"", 0.0)
        previous_incarnation = used.replace("e1~5", "e1~4")
        other_entry = used.replace("e1~", "e2~")
        table = [
            (unused, True),
            (used, False),
            (previous_incarnation, False),
            (other_entry, False),
        ]
        for key, is_new in table:
            self.assertIsNotNone(parse_key(key), key)
            self.assertEqual(is_new, bookings.is_new(key), key)


class EventAgeTests(testtools.TestCase):
    """An event may be as old as the round before the last one."""

    def test_event_after_a_late_round_may_be_older_than_the_round(self):
        clock = ManualClock()
        age = EventAge(clock)
        self.assertEqual(0.0, age.get_max_age_s())
        # Seconds until the next round, seconds from it to the event, greatest age.
        table = [(0.0, 0.1, 0.1), (0.1, 0.0, 0.1), (0.1, 0.05, 0.15), (20.0, 0.0, 20.0)]
        now = 0.0
        for round_s, event_s, expected in table:
            now += round_s
            clock.time_s = now
            age.note_round()
            clock.time_s = now + event_s
            self.assertAlmostEqual(expected, age.get_max_age_s())


class PauseDetectorTests(testtools.TestCase):
    """A long gap between checks counts as one pause."""

    def test_only_long_gaps_are_pauses(self):
        clock = ManualClock()
        detector = PauseDetector(clock)
        table = [(0.0, 0.0), (0.1, 0.0), (0.9, 0.0), (20.0, 20.0), (0.1, 0.0)]
        for step_s, pause_s in table:
            clock.advance(step_s)
            self.assertAlmostEqual(pause_s, detector.check())
        self.assertEqual(1, detector.pauses)
