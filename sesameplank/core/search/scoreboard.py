"""Per-target records of this process: calls in flight, slowness and ramp-up.

Slowness is latency as a multiple of the median of calls of the same size. The size
of a call is its number of shards.
"""

import msgspec

from ...ids import CollectionName, TargetId
from ..common.latency import MEDIAN, DecayingAverage, LatencyStatistics

SLOWNESS_WEIGHT = 0.3
SLOWNESS_HALF_LIFE_S = 0.25
SHED_SLOWNESS = 5.0
RAMP_DURATION_S = 4.0
RAMP_START_WEIGHT = 0.1


class RunningCall(msgspec.Struct, frozen=True):
    """A call in flight; times in seconds.

    `median_s` is the median latency of calls of the same size, 0 if unknown.
    """

    sent_at: float
    median_s: float


class TargetRecord:
    """The record of one target; calls in flight include calls that are queued."""

    def __init__(self) -> None:
        self.calls: dict[int, RunningCall] = {}
        self.slowness = make_slowness()
        self.ramp_started_at: float | None = None

    def start_ramp(self, now: float) -> None:
        """Start to ramp up the target's work, as after a cold start."""
        self.ramp_started_at = now

    def get_weight(self, now: float) -> float:
        """Return the fraction of its usual work that the target may get, up to 1."""
        if self.ramp_started_at is None:
            return 1.0
        progress = (now - self.ramp_started_at) / RAMP_DURATION_S
        if progress >= 1.0:
            self.ramp_started_at = None
            return 1.0
        return RAMP_START_WEIGHT + (1.0 - RAMP_START_WEIGHT) * progress

    @property
    def in_flight(self) -> int:
        """The number of calls that were sent and have not ended."""
        return len(self.calls)

    def get_cost(self, now: float) -> float:
        """Return the expected time of one more call, in multiples of the median.

        A call in flight for long indicates slowness before its answer arrives.
        """
        slowness = max(self.slowness.get(now), self.get_oldest_elapsed_ratio(now))
        return (self.in_flight + 1) * slowness

    def get_oldest_elapsed_ratio(self, now: float) -> float:
        """Return the elapsed time of the oldest call, in multiples of the median.

        Return 0 if there is no call or its median is unknown.
        """
        for call in self.calls.values():
            return (now - call.sent_at) / call.median_s if call.median_s else 0.0
        return 0.0


class Scoreboard:
    """Records of all targets, based only on this process's own calls.

    Load reports of targets are not used, since they may lag or mislead. The calls
    in flight and the latency of answers are known here without delay.
    """

    def __init__(self, latencies: LatencyStatistics) -> None:
        self.latencies = latencies
        self.records: dict[TargetId, TargetRecord] = {}

    def get(self, target: TargetId) -> TargetRecord:
        """Return the record of a target; create it if there is none."""
        record = self.records.get(target)
        if record is None:
            record = self.records[target] = TargetRecord()
        return record

    def remove(self, target: TargetId) -> None:
        """Remove the record of a target that was removed from the configuration."""
        self.records.pop(target, None)

    def reset_slowness(self, target: TargetId) -> None:
        """Discard the measured slowness of a target, as after an ejection."""
        self.get(target).slowness = make_slowness()

    def note_sent(
        self,
        target: TargetId,
        call_key: int,
        collection: CollectionName,
        size: int,
        sent_at: float,
    ) -> None:
        """Record a call as in flight, under a key that the calling code chooses."""
        median_s = self.latencies.get_quantile(collection, size, MEDIAN)
        self.get(target).calls[call_key] = RunningCall(sent_at, median_s or 0.0)

    def note_ended(self, target: TargetId, call_key: int) -> None:
        """Record that a call has ended, with or without an answer."""
        self.get(target).calls.pop(call_key, None)

    def note_answer(
        self,
        target: TargetId,
        collection: CollectionName,
        size: int,
        elapsed_s: float,
        now: float,
    ) -> float | None:
        """Record the latency of an answer; return it in multiples of the median.

        Return None if the median is unknown.
        """
        slowness = self.latencies.get_relative_latency(collection, size, elapsed_s)
        self.latencies.observe(collection, size, elapsed_s)
        if slowness is not None:
            self.get(target).slowness.add(slowness, now)
        return slowness

    def note_shed(self, target: TargetId, now: float) -> None:
        """Record that a target shed a call, so that it is avoided briefly."""
        self.get(target).slowness.add(SHED_SLOWNESS, now)

    def note_latency_lower_bound(
        self,
        target: TargetId,
        collection: CollectionName,
        size: int,
        elapsed_s: float,
        now: float,
    ) -> float | None:
        """Record the elapsed time of a call that was cancelled or timed out.

        The true latency is longer than the elapsed time, so the value is used
        only if it raises the target's slowness. Return it in multiples of the
        median, or None if it is not used.
        """
        slowness = self.latencies.get_relative_latency(collection, size, elapsed_s)
        if slowness is None:
            return None
        average = self.get(target).slowness
        if slowness <= average.get(now):
            return None
        average.add(slowness, now)
        return slowness


def make_slowness() -> DecayingAverage:
    """Return the slowness average of a target without measurements."""
    return DecayingAverage(SLOWNESS_WEIGHT, SLOWNESS_HALF_LIFE_S)
