"""Tests of admission by serving state and of pause detection."""

import testtools

from sesameplank.bookings.service import BookingService
from sesameplank.callers.problems import ProblemKind, Refusal
from sesameplank.core.bookings import BookingLimits, BookingRegistry
from sesameplank.core.clock import ManualClock
from sesameplank.core.outcomes import Ran
from sesameplank.core.pauses import PauseDetector
from sesameplank.core.writers import parse_key
from sesameplank.serving import GatedBookings, ServingGate, ServingState


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
