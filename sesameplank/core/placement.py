"""Which target of a service gets the next call of a request.

A process judges targets by its own calls: how many it has in flight, how long
the oldest has been silent, how recent answers compared with those of other
targets, what failed, and what load the last answers reported.
"""

import itertools
import math
import random
from collections.abc import Iterable, Sequence

import msgspec

from ..ids import AttemptId, DataCentre, TargetId
from .latency import DecayingAverage, DecayingShare
from .target_table import TargetRecord

SLOWNESS_WEIGHT = 0.3
SLOWNESS_HALF_LIFE_S = 1.5
MAX_SLOWNESS = 12.0
REMOTE_COST_S = 0.008
REMOTE_FACTOR = 2.0
OVERDUE_FACTOR = 2.5
OVERDUE_FLOOR_S = 0.015
MIN_PAUSE_S = 0.03
COST_JITTER = 0.05
FAILING_MIN_S = 0.25
FAILING_MAX_S = 2.0
SILENT_AFTER_S = 0.15
SHED_WEIGHT = 0.2
SHED_HALF_LIFE_S = 2.0
SHED_COST_S = 0.15
REPORT_AGE_S = 0.1
SLOWDOWN_HALF_LIFE_S = 0.3


class LoadReport(msgspec.Struct, frozen=True):
    """What a target said of its load: calls, slots, and how slow its VM is.

    `slowdown` is how long work takes there as a multiple of the usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


class TargetView:
    """What this process has seen of one target."""

    def __init__(self) -> None:
        self.in_flight: dict[AttemptId, float] = {}
        self.slowness = DecayingAverage(SLOWNESS_WEIGHT, SLOWNESS_HALF_LIFE_S)
        self.failures = 0
        self.avoid_until = 0.0
        self.shedding = DecayingShare(SHED_WEIGHT, SHED_HALF_LIFE_S)
        self.report: LoadReport | None = None
        self.reported_at = float("-inf")

    def get_oldest_age_s(self, now: float) -> float:
        """Return how long the oldest call in flight has been silent, or 0."""
        if not self.in_flight:
            return 0.0
        return now - next(iter(self.in_flight.values()))

    def get_slowdown(self, now: float) -> float:
        """Return how many times longer work takes on the target's VM now.

        What was reported last counts less and less as it grows old.
        """
        if self.report is None or self.report.slowdown == 1.0:
            return 1.0
        age_s = max(0.0, now - self.reported_at)
        trust = 0.5 ** (age_s / SLOWDOWN_HALF_LIFE_S)
        return 1.0 + (self.report.slowdown - 1.0) * trust

    def get_queue(self, now: float, slots: int) -> float:
        """Return the calls ahead of a new one, in rounds of the target's slots."""
        ahead = len(self.in_flight)
        if now - self.reported_at < REPORT_AGE_S:
            ahead = max(ahead, self.report.running + self.report.waiting)
        return (ahead - slots + 1) / slots if ahead >= slots else 0.0


class Placement:
    """Keeps a view of each target and chooses the cheapest; times in seconds."""

    def __init__(self, data_centre: DataCentre, rng: random.Random) -> None:
        self.data_centre = data_centre
        self.rng = rng
        self.views: dict[TargetId, TargetView] = {}
        self.attempt_ids = itertools.count(1)

    def get(self, target: TargetId) -> TargetView:
        """Return the view of a target, made when it is first asked for."""
        view = self.views.get(target)
        if view is None:
            view = self.views[target] = TargetView()
        return view

    def keep_only(self, targets: Iterable[TargetId]) -> None:
        """Forget the targets that are not named."""
        kept = set(targets)
        for target in [item for item in self.views if item not in kept]:
            del self.views[target]

    def is_avoided(self, target: TargetId, now: float) -> bool:
        """Tell whether the target failed so recently that others go first."""
        view = self.views.get(target)
        return view is not None and now < view.avoid_until

    def choose(
        self, candidates: Sequence[TargetRecord], usual_call_s: float, now: float
    ) -> TargetRecord:
        """Return the candidate whose call is expected to end first.

        `usual_call_s` is how long such a call usually takes. Candidates that failed
        of late are taken only when all did.
        """
        if len(candidates) == 1:
            return candidates[0]
        sound = [item for item in candidates if not self.is_avoided(item.id, now)]
        best, least_s = candidates[0], math.inf
        for record in sound or candidates:
            cost_s = self.get_cost_s(record, usual_call_s, now)
            if cost_s < least_s:
                best, least_s = record, cost_s
        return best

    def get_cost_s(
        self, record: TargetRecord, usual_call_s: float, now: float
    ) -> float:
        """Return the expected time of a call, and what it costs besides."""
        view = self.get(record.id)
        expected_s = usual_call_s * view.slowness.get(now) * view.get_slowdown(now)
        cost_s = expected_s * (1.0 + view.get_queue(now, record.slots))
        if view.in_flight:
            cost_s += self.get_pause_s(view, expected_s, now)
        cost_s += SHED_COST_S * view.shedding.get(now)
        if record.data_centre != self.data_centre:
            cost_s = cost_s * REMOTE_FACTOR + REMOTE_COST_S
        return cost_s * (1.0 + COST_JITTER * self.rng.random())

    def get_pause_s(self, view: TargetView, expected_s: float, now: float) -> float:
        """Return how much longer a silent target is expected to pause, or 0.

        A pause that has lasted some time is expected to last as long again.
        """
        age_s = view.get_oldest_age_s(now)
        if age_s <= max(OVERDUE_FLOOR_S, OVERDUE_FACTOR * expected_s):
            return 0.0
        return max(MIN_PAUSE_S, age_s)

    def note_sent(self, target: TargetId, attempt: AttemptId, now: float) -> None:
        """Count a call in flight."""
        self.get(target).in_flight[attempt] = now

    def note_answer(
        self, target: TargetId, attempt: AttemptId, now: float
    ) -> float | None:
        """Take an answer in; return the call's time in seconds if it was known."""
        view = self.get(target)
        view.failures = 0
        view.avoid_until = 0.0
        view.shedding.add(0.0, now)
        sent_at = view.in_flight.pop(attempt, None)
        return None if sent_at is None else max(0.0, now - sent_at)

    def note_relative_latency(
        self, target: TargetId, relative_latency: float, now: float
    ) -> None:
        """Take in how long a call took as a multiple of what was to be expected.

        What the target's VM itself reports as its slowness is taken out.
        """
        view = self.get(target)
        own_relative_latency = relative_latency / view.get_slowdown(now)
        view.slowness.add(min(MAX_SLOWNESS, own_relative_latency), now)

    def note_failure(self, target: TargetId, attempt: AttemptId, now: float) -> None:
        """Take a failed call in; the target is avoided for a growing time."""
        view = self.get(target)
        view.in_flight.pop(attempt, None)
        view.failures += 1
        pause_s = FAILING_MIN_S * 2 ** min(view.failures - 1, 4)
        view.avoid_until = now + min(FAILING_MAX_S, pause_s)

    def note_shed(self, target: TargetId, attempt: AttemptId, now: float) -> None:
        """Take in that a target refused a call without running it."""
        view = self.get(target)
        view.in_flight.pop(attempt, None)
        view.shedding.add(1.0, now)

    def note_abandoned(self, target: TargetId, attempt: AttemptId, now: float) -> None:
        """Take in that a call was given up before any answer."""
        view = self.get(target)
        sent_at = view.in_flight.get(attempt)
        if sent_at is None:
            return
        if now - sent_at >= SILENT_AFTER_S:
            self.note_failure(target, attempt, now)
        else:
            view.in_flight.pop(attempt)

    def note_report(self, target: TargetId, report: LoadReport, now: float) -> None:
        """Keep the load that a target reported."""
        view = self.get(target)
        view.report = report
        view.reported_at = now
