"""Tests of request tracking, decisions, latencies and the log limiter."""

from unittest import mock

import testtools

from sesameplank.core.common.clock import ManualClock
from sesameplank.logs import LogLimiter
from sesameplank.monitoring import DecisionLog, RequestLedger, requests
from sesameplank.monitoring.decisions import MAX_DECISIONS_PER_KIND
from sesameplank.monitoring.latencies import WINDOW_S, LatencyWindow

SLOW_S = 0.5


class RequestLedgerTests(testtools.TestCase):
    """Requests are tracked from arrival to outcome."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.decisions = DecisionLog(self.clock)
        self.ledger = RequestLedger(self.clock, self.decisions, SLOW_S)
        self.log = self.enterContext(mock.patch.object(requests, "log_event"))

    def run_request(self, outcome: str, elapsed_s: float, path="/v1/search") -> None:
        """Begin and end one request."""
        request = self.ledger.begin("r1", "clerk", path)
        self.clock.advance(elapsed_s)
        self.ledger.end(request, outcome, "detail")

    def test_requests_in_flight_are_shown_oldest_first(self):
        first = self.ledger.begin("r1", "clerk", "/v1/search")
        self.clock.advance(2.0)
        self.ledger.begin("r2", "clerk", "/v1/search")
        state = self.ledger.get_state()
        self.assertEqual(["r1", "r2"], [item.request_id for item in state.oldest])
        self.assertEqual([2.0, 0.0], [item.age_s for item in state.oldest])
        self.ledger.end(first, requests.ANSWERED)
        self.assertEqual(1, self.ledger.get_state().in_flight)

    def test_refused_and_slow_requests_are_logged(self):
        table = [
            (requests.ANSWERED, 0.1, None),
            (requests.ANSWERED, 0.6, "request_slow"),
            ("overloaded", 0.1, "request_refused"),
        ]
        for outcome, elapsed_s, event in table:
            self.log.reset_mock()
            self.run_request(outcome, elapsed_s)
            events = [call.args[0] for call in self.log.call_args_list]
            self.assertEqual([event] if event else [], events)

    def test_outcomes_are_counted_by_known_path(self):
        table = [
            ("/v1/search", "/v1/search"),
            ("/v1/bookings/some-key", "/v1/bookings"),
            ("/nowhere/7", "other"),
        ]
        for path, known_path in table:
            self.run_request("not-found", 0.0, path)
            self.assertEqual(1, self.ledger.outcomes[known_path, "not-found"])

    def test_refusal_is_recorded_as_a_decision(self):
        self.run_request("overloaded", 0.0)
        (decision,) = self.decisions.get_state()
        self.assertEqual(
            ("refused", "overloaded", "r1: detail"),
            (decision.kind, decision.reason, decision.detail),
        )


class DecisionLogTests(testtools.TestCase):
    """The log stores a bounded number of decisions, the newest first."""

    def test_oldest_decisions_of_a_kind_are_evicted(self):
        clock = ManualClock()
        log = DecisionLog(clock)
        log.note("stop", "requested")
        for number in range(MAX_DECISIONS_PER_KIND + 5):
            clock.advance(1.0)
            log.note("ejection", "slow", f"t{number}")
        state = log.get_state()
        self.assertEqual(MAX_DECISIONS_PER_KIND + 1, len(state))
        self.assertEqual(f"t{MAX_DECISIONS_PER_KIND + 4}", state[0].detail)
        self.assertEqual("stop", state[-1].kind)
        self.assertEqual(MAX_DECISIONS_PER_KIND + 5, log.counts["ejection"])


class LatencyWindowTests(testtools.TestCase):
    """Percentiles cover the current and the previous window."""

    def test_old_values_expire(self):
        clock = ManualClock()
        window = LatencyWindow(clock)
        window.record(1.0)
        self.assertAlmostEqual(1.0, window.get_quantiles()[0.5], delta=0.02)
        clock.advance(WINDOW_S)
        window.record(0.1)
        self.assertAlmostEqual(1.0, window.get_quantiles()[1.0], delta=0.02)
        clock.advance(WINDOW_S)
        self.assertAlmostEqual(0.1, window.get_quantiles()[1.0], delta=0.002)
        clock.advance(2 * WINDOW_S)
        self.assertEqual({}, window.get_quantiles())


class LogLimiterTests(testtools.TestCase):
    """The rate of log lines is bounded, and suppressed lines are counted."""

    def test_suppressed_lines_are_counted(self):
        clock = ManualClock()
        limiter = LogLimiter(clock, per_second=2.0, burst=3.0)
        self.assertEqual([0, 0, 0, None, None], [limiter.take() for _ in range(5)])
        clock.advance(0.5)
        self.assertEqual(2, limiter.take())
