"""What this process has seen of each target: calls in flight, slowness, ramp."""

import msgspec

from ..ids import CollectionName, TargetId
from .latency import MEDIAN, DecayingAverage, LatencyStatistics

SLOWNESS_WEIGHT = 0.3
SLOWNESS_HALF_LIFE_S = 0.25
SHED_SLOWNESS = 5.0
RAMP_S = 4.0
RAMP_START = 0.1


class RunningCall(msgspec.Struct, frozen=True):
    """A call in flight; the median is of calls of its size, 0 if not known."""

    sent_at: float
    median_s: float


class TargetRecord:
    """The record of one target; calls in flight include those that wait."""

    def __init__(self) -> None:
        self.calls: dict[int, RunningCall] = {}
        self.slowness = make_slowness()
        self.ramp_started_at: float | None = None

    def start_ramp(self, now: float) -> None:
        """Give the target little work at first, as after a cold start."""
        self.ramp_started_at = now

    def get_weight(self, now: float) -> float:
        """Return the share of its usual work that the target may get, up to 1."""
        if self.ramp_started_at is None:
            return 1.0
        progress = (now - self.ramp_started_at) / RAMP_S
        if progress >= 1.0:
            self.ramp_started_at = None
            return 1.0
        return RAMP_START + (1.0 - RAMP_START) * progress

    @property
    def in_flight(self) -> int:
        """The number of calls that were sent and have not ended."""
        return len(self.calls)

    def get_cost(self, now: float) -> float:
        """Return the expected time of one more call, in multiples of the median.

        A call that is overdue shows slowness before its answer does.
        """
        slowness = max(self.slowness.get(now), self.get_overdue(now))
        return (self.in_flight + 1) * slowness

    def get_overdue(self, now: float) -> float:
        """Return how long the oldest call runs, in multiples of the median."""
        for call in self.calls.values():
            return (now - call.sent_at) / call.median_s if call.median_s else 0.0
        return 0.0


class Scoreboard:
    """Records of all targets, from this process's own calls alone.

    Load reports are not read: they lag or mislead, while the calls in flight
    and the latency of answers are known here at once.
    """

    def __init__(self, latencies: LatencyStatistics) -> None:
        self.latencies = latencies
        self.records: dict[TargetId, TargetRecord] = {}

    def get(self, target: TargetId) -> TargetRecord:
        """Return the record of a target, new if it was never called."""
        record = self.records.get(target)
        if record is None:
            record = self.records[target] = TargetRecord()
        return record

    def forget(self, target: TargetId) -> None:
        """Drop the record of a target that left the configuration."""
        self.records.pop(target, None)

    def forget_slowness(self, target: TargetId) -> None:
        """Judge a target afresh, as when it comes back after an ejection."""
        self.get(target).slowness = make_slowness()

    def note_sent(
        self,
        target: TargetId,
        call_key: int,
        collection: CollectionName,
        size: int,
        sent_at: float,
    ) -> None:
        """Count a call as in flight, under a key of the caller's choice."""
        median_s = self.latencies.get_quantile(collection, size, MEDIAN)
        self.get(target).calls[call_key] = RunningCall(sent_at, median_s or 0.0)

    def note_ended(self, target: TargetId, call_key: int) -> None:
        """Count a call as ended, however it ended."""
        self.get(target).calls.pop(call_key, None)

    def note_answer(
        self,
        target: TargetId,
        collection: CollectionName,
        size: int,
        elapsed_s: float,
        now: float,
    ) -> float | None:
        """Record the latency of an answer; return it in multiples of the median."""
        slowness = self.latencies.get_slowness(collection, size, elapsed_s)
        self.latencies.observe(collection, size, elapsed_s)
        if slowness is not None:
            self.get(target).slowness.add(slowness, now)
        return slowness

    def note_shed(self, target: TargetId, now: float) -> None:
        """Avoid a target for a moment, since it said that it is overloaded."""
        self.get(target).slowness.add(SHED_SLOWNESS, now)

    def note_cancelled(
        self,
        target: TargetId,
        collection: CollectionName,
        size: int,
        elapsed_s: float,
        now: float,
    ) -> float | None:
        """Take in that a call was not answered yet after the elapsed time.

        The true latency is longer than what was seen, so the value counts only
        where it raises the target's slowness.
        """
        slowness = self.latencies.get_slowness(collection, size, elapsed_s)
        if slowness is None:
            return None
        average = self.get(target).slowness
        if slowness <= average.get(now):
            return None
        average.add(slowness, now)
        return slowness


def make_slowness() -> DecayingAverage:
    """Return the slowness of a target of which nothing is known."""
    return DecayingAverage(SLOWNESS_WEIGHT, SLOWNESS_HALF_LIFE_S)
