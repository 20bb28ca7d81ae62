"""Choice of the target of a service that gets the next call of a request.

A process judges each target by its own calls to it: the number of calls in
flight, the time since the oldest of them was sent, the latency of recent answers
relative to that of other targets, recent failures, and the load that the latest
answers reported.
"""

import itertools
import math
import random
from collections.abc import Iterable, Sequence

import msgspec

from ...ids import AttemptId, DataCentre, TargetId
from ..common.latency import DecayingAverage, ZeroBaselineAverage
from ..published.target_table import TargetRecord

SLOWNESS_WEIGHT = 0.3
SLOWNESS_HALF_LIFE_S = 1.5
MAX_SLOWNESS = 12.0
REMOTE_COST_S = 0.008
REMOTE_FACTOR = 2.0
OVERDUE_FACTOR = 2.5
MIN_OVERDUE_S = 0.015
MIN_REMAINING_PAUSE_S = 0.03
COST_JITTER = 0.05
FAILING_WEIGHT = 0.3
FAILING_HALF_LIFE_S = 2.0
FAILURE_COST_S = 0.05  # A retry costs time and extra load.
MAX_SCATTERED_FAILURES = 3  # This many in a row are no longer scattered ones.
MIN_AVOID_S = 0.25
MAX_AVOID_S = 2.0
ABANDONED_FAILURE_S = 0.15
SHED_WEIGHT = 0.2
SHED_HALF_LIFE_S = 2.0
SHED_COST_S = 0.15
MAX_REPORT_AGE_S = 0.1
SLOWDOWN_HALF_LIFE_S = 0.3


class LoadReport(msgspec.Struct, frozen=True):
    """The load of a target, as the target reported it.

    `running` and `waiting` count calls, of which `slots` can run at a time.
    `slowdown` is the service time on the target's VM as a multiple of the usual
    one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


class TargetView:
    """The state of one target as this process has observed it.

    `in_flight` holds the time at which each call was sent, in that order.
    `slowness` is the average relative latency of the calls, `shedding` the share of
    recent calls that the target refused, and `failing` the share that failed.
    `failures` is the number of failed calls since the last answer. Until
    `late_until`, the target is expected not to answer, because a call of this or
    another process to it was late.
    """

    def __init__(self) -> None:
        self.in_flight: dict[AttemptId, float] = {}
        self.slowness = DecayingAverage(SLOWNESS_WEIGHT, SLOWNESS_HALF_LIFE_S)
        self.failing = ZeroBaselineAverage(FAILING_WEIGHT, FAILING_HALF_LIFE_S)
        self.failures = 0
        self.late_until = 0.0
        self.avoid_until = 0.0
        self.shedding = ZeroBaselineAverage(SHED_WEIGHT, SHED_HALF_LIFE_S)
        self.report: LoadReport | None = None
        self.reported_at = float("-inf")

    def get_oldest_age_s(self, now: float) -> float:
        """Return the seconds since the oldest call in flight was sent, or 0."""
        if not self.in_flight:
            return 0.0
        return now - next(iter(self.in_flight.values()))

    def get_slowdown(self, now: float) -> float:
        """Return the slowdown of the target's VM that is expected now.

        It approaches 1 as the last report ages.
        """
        if self.report is None or self.report.slowdown == 1.0:
            return 1.0
        age_s = max(0.0, now - self.reported_at)
        weight = 0.5 ** (age_s / SLOWDOWN_HALF_LIFE_S)
        return 1.0 + (self.report.slowdown - 1.0) * weight

    def get_queue_per_slot(self, now: float, slots: int) -> float:
        """Return how many calls must end before a new one starts, per slot."""
        ahead = len(self.in_flight)
        if now - self.reported_at < MAX_REPORT_AGE_S:
            ahead = max(ahead, self.report.running + self.report.waiting)
        return (ahead - slots + 1) / slots if ahead >= slots else 0.0


class Placement:
    """The views of all targets and the choice among them; times are in seconds."""

    def __init__(self, data_centre: DataCentre, rng: random.Random) -> None:
        self.data_centre = data_centre
        self.rng = rng
        self.views: dict[TargetId, TargetView] = {}
        self.attempt_ids = itertools.count(1)

    def get(self, target: TargetId) -> TargetView:
        """Return the view of a target; create it on first use."""
        view = self.views.get(target)
        if view is None:
            view = self.views[target] = TargetView()
        return view

    def keep_only(self, targets: Iterable[TargetId]) -> None:
        """Remove the views of all targets but the given ones."""
        kept = set(targets)
        for target in [item for item in self.views if item not in kept]:
            del self.views[target]

    def is_avoided(self, target: TargetId, now: float) -> bool:
        """Return whether other targets take precedence because of a recent failure."""
        view = self.views.get(target)
        return view is not None and now < view.avoid_until

    def choose(
        self, candidates: Sequence[TargetRecord], usual_call_s: float, now: float
    ) -> TargetRecord:
        """Return the candidate with the least expected cost of a call.

        `usual_call_s` is the usual latency of such a call in seconds. Candidates
        that failed recently are chosen only if all of them did.
        """
        if len(candidates) == 1:
            return candidates[0]
        healthy = [item for item in candidates if not self.is_avoided(item.id, now)]
        best, least_s = candidates[0], math.inf
        for record in healthy or candidates:
            cost_s = self.get_cost_s(record, usual_call_s, now)
            if cost_s < least_s:
                best, least_s = record, cost_s
        return best

    def get_cost_s(
        self, record: TargetRecord, usual_call_s: float, now: float
    ) -> float:
        """Return the expected latency of a call plus its penalties, in seconds.

        A target costs more if it sheds load, fails some of its calls or is in
        another data centre. Random jitter varies the choice among targets of about
        the same cost.
        """
        view = self.get(record.id)
        expected_s = usual_call_s * view.slowness.get(now) * view.get_slowdown(now)
        cost_s = expected_s * (1.0 + view.get_queue_per_slot(now, record.slots))
        cost_s += self.get_remaining_pause_s(view, expected_s, now)
        cost_s += SHED_COST_S * view.shedding.get(now)
        cost_s += (expected_s + FAILURE_COST_S) * view.failing.get(now)
        if record.data_centre != self.data_centre:
            cost_s = cost_s * REMOTE_FACTOR + REMOTE_COST_S
        return cost_s * (1.0 + COST_JITTER * self.rng.random())

    def get_remaining_pause_s(
        self, view: TargetView, expected_s: float, now: float
    ) -> float:
        """Return the expected remaining time of a target's pause in seconds, or 0.

        A target whose oldest call in flight is overdue, or to which a call was late,
        is assumed to be paused. A pause is expected to last as long again as it has
        lasted so far.
        """
        reported_s = max(0.0, view.late_until - now)
        age_s = view.get_oldest_age_s(now)
        if age_s <= max(MIN_OVERDUE_S, OVERDUE_FACTOR * expected_s):
            return reported_s
        return max(MIN_REMAINING_PAUSE_S, age_s, reported_s)

    def note_late(self, target: TargetId, age_s: float, now: float) -> bool:
        """Record that a call to a target is late after `age_s` seconds.

        Return False if the target was known to be late already.
        """
        view = self.get(target)
        is_news = view.late_until <= now
        late_until = now + max(MIN_REMAINING_PAUSE_S, age_s)
        view.late_until = max(view.late_until, late_until)
        return is_news

    def note_sent(self, target: TargetId, attempt: AttemptId, now: float) -> None:
        """Record that a call was sent."""
        self.get(target).in_flight[attempt] = now

    def note_answer(
        self, target: TargetId, attempt: AttemptId, now: float
    ) -> float | None:
        """Record an answer.

        Return the latency of the call in seconds, or None if it was not in flight.
        """
        view = self.get(target)
        view.failures = 0
        view.late_until = 0.0
        view.avoid_until = 0.0
        view.shedding.add(0.0, now)
        view.failing.add(0.0, now)
        sent_at = view.in_flight.pop(attempt, None)
        return None if sent_at is None else max(0.0, now - sent_at)

    def note_relative_latency(
        self, target: TargetId, relative_latency: float, now: float
    ) -> None:
        """Record the latency of a call as a multiple of the expected one.

        It is divided by the slowdown that the target's VM reports, because the
        expected cost of a call includes that slowdown separately.
        """
        view = self.get(target)
        own_relative_latency = relative_latency / view.get_slowdown(now)
        view.slowness.add(min(MAX_SLOWNESS, own_relative_latency), now)

    def note_failure(
        self,
        target: TargetId,
        attempt: AttemptId,
        now: float,
        *,
        is_scattered: bool = False,
    ) -> None:
        """Record a failed call; avoid the target with exponential backoff.

        A scattered failure, such as an answer that was lost on the way, says little
        about the next call. It makes the target costlier, and only several in a row
        make it avoided: its other replicas may be much slower than a second try.
        """
        view = self.get(target)
        view.in_flight.pop(attempt, None)
        view.failing.add(1.0, now)
        view.failures += 1
        tolerated = MAX_SCATTERED_FAILURES if is_scattered else 1
        if view.failures < tolerated:
            return
        avoid_s = MIN_AVOID_S * 2 ** min(view.failures - tolerated, 4)
        view.avoid_until = now + min(MAX_AVOID_S, avoid_s)

    def note_shed(self, target: TargetId, attempt: AttemptId, now: float) -> None:
        """Record that a target refused a call without running it."""
        view = self.get(target)
        view.in_flight.pop(attempt, None)
        view.shedding.add(1.0, now)

    def note_abandoned(self, target: TargetId, attempt: AttemptId, now: float) -> None:
        """Record that a call was abandoned without an answer.

        It counts as a failure if it was in flight for ABANDONED_FAILURE_S or longer.
        """
        view = self.get(target)
        sent_at = view.in_flight.get(attempt)
        if sent_at is None:
            return
        if now - sent_at >= ABANDONED_FAILURE_S:
            self.note_failure(target, attempt, now)
        else:
            view.in_flight.pop(attempt)

    def note_withdrawn(self, target: TargetId, attempt: AttemptId) -> None:
        """Record that a call ended for a reason that says nothing about the target."""
        self.get(target).in_flight.pop(attempt, None)

    def forgive(self) -> None:
        """Forget the failures of all targets: the links of this VM caused them."""
        for view in self.views.values():
            view.failures = 0
            view.avoid_until = view.late_until = 0.0
            view.failing = ZeroBaselineAverage(FAILING_WEIGHT, FAILING_HALF_LIFE_S)

    def note_report(self, target: TargetId, report: LoadReport, now: float) -> None:
        """Record the load that a target reported."""
        view = self.get(target)
        view.report = report
        view.reported_at = now
