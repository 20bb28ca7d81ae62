"""Ejection of persistently slow or failing targets, and their restoration."""

import statistics
from collections.abc import Callable, Iterable

import msgspec

from ...ids import CollectionName, TargetId
from ..common.outcomes import Failure, FailureReason
from .counters import EjectionReason, PolicyCounters, ProbeResult
from .scoreboard import Scoreboard

# A call is slow from this multiple of the median latency of calls of its size, and a
# target from this multiple of the median slowness of its collection's targets.
SLOW_RATIO = 2.5
# A replica is clearly faster if its slowness is lower by this factor.
FASTER_REPLICA_RATIO = 2.5
EJECT_AFTER_SLOW_CALLS = 3
EJECT_AFTER_SLOW_S = 0.4  # longer than a momentary slowdown
OVERFLOW_PENALTY = 1.5
EJECT_AFTER_FAILED_CALLS = 3
MAX_GOOD_PROBE_RATIO = 1.6
RESTORE_AFTER_GOOD_PROBES = 2
FIRST_PROBE_DELAY_S = 0.5
PROBE_BACKOFF_FACTOR = 2.0
MAX_PROBE_INTERVAL_S = 4.0
COUNTED_FAILURES = {
    FailureReason.CONNECT,
    FailureReason.RESET,
    FailureReason.TIMEOUT,
    FailureReason.TRUNCATED,
    FailureReason.FOREIGN,
    FailureReason.REFUSED,
    FailureReason.BAD_ANSWER,
}


EjectionListener = Callable[[TargetId, str], None]


class ReplicaSet(msgspec.Struct, frozen=True):
    """The replicas of one shard; they are never all ejected at once."""

    collection: CollectionName
    replicas: tuple[TargetId, ...]


class BadCallCounts:
    """Counts of consecutive slow or failed calls of a target that is not ejected."""

    def __init__(self) -> None:
        self.slow_calls = 0
        self.slow_since = 0.0
        self.failed_calls = 0


class EjectedTarget(msgspec.Struct):
    """An ejected target and the time of its next probe; times in seconds.

    `slowness` is latency as a multiple of the median, as in the scoreboard.
    """

    reason: EjectionReason
    since: float
    next_probe_at: float
    slowness: float = 1.0
    interval_s: float = FIRST_PROBE_DELAY_S
    good_probes: int = 0
    probing: bool = False


class Ejector:
    """Decides which targets are ejected, that is, avoided by ordinary calls.

    A target is ejected as failing after several consecutive failed calls. It is
    ejected as slow when the latency of consecutive calls was a multiple of the
    median for longer than a momentary slowdown lasts, the target is slow compared
    with the other targets of its collections, and every one of its shards has a
    clearly faster replica. A limit applies to the number of targets of a collection
    that are ejected at once, and the last replica of a shard is never ejected.
    Ejected targets are probed concurrently with the ordinary calls. A restored
    target that had been failing is ramped up.
    """

    def __init__(
        self,
        scoreboard: Scoreboard,
        counters: PolicyCounters,
        max_fraction: float,
    ) -> None:
        self.scoreboard = scoreboard
        self.counters = counters
        self.max_fraction = max_fraction
        self.listener: EjectionListener = lambda target, reason: None
        self.bad_call_counts: dict[TargetId, BadCallCounts] = {}
        self.ejected: dict[TargetId, EjectedTarget] = {}
        self.replica_sets: dict[TargetId, list[ReplicaSet]] = {}
        self.targets_by_collection: dict[CollectionName, set[TargetId]] = {}

    def update_replicas(self, replica_sets: Iterable[ReplicaSet]) -> None:
        """Apply the replica sets and discard the state of targets in none of them."""
        self.replica_sets = {}
        self.targets_by_collection = {}
        for replica_set in set(replica_sets):
            targets = self.targets_by_collection.setdefault(
                replica_set.collection, set()
            )
            targets.update(replica_set.replicas)
            for target in replica_set.replicas:
                self.replica_sets.setdefault(target, []).append(replica_set)
        for known in (self.ejected, self.bad_call_counts):
            for target in set(known) - set(self.replica_sets):
                del known[target]

    def is_ejected(self, target: TargetId) -> bool:
        """Return whether the target is ejected."""
        return target in self.ejected

    def is_failing(self, target: TargetId) -> bool:
        """Return whether the target is ejected because its calls failed."""
        state = self.ejected.get(target)
        return state is not None and state.reason is EjectionReason.FAILING

    def get_overflow_cost(self, target: TargetId) -> float:
        """Return the cost of a call to an ejected target.

        A slow target still has some capacity, which is useful when the other
        replicas are at their limit.
        """
        state = self.ejected[target]
        in_flight = self.scoreboard.get(target).in_flight
        return (in_flight + 1) * state.slowness * OVERFLOW_PENALTY

    def note_latency(self, target: TargetId, slowness: float, now: float) -> None:
        """Record a call's slowness, and eject the target if it is persistently slow.

        `slowness` is the latency as a multiple of the median of calls of its size.
        """
        counts = self.bad_call_counts.setdefault(target, BadCallCounts())
        counts.failed_calls = 0
        if slowness < SLOW_RATIO:
            counts.slow_calls = 0
            return
        if counts.slow_calls == 0:
            counts.slow_since = now
        counts.slow_calls += 1
        is_persistent = now - counts.slow_since >= EJECT_AFTER_SLOW_S
        if counts.slow_calls < EJECT_AFTER_SLOW_CALLS or not is_persistent:
            return
        if self.is_outlier(target, now) and self.has_faster_replica(target, now):
            self.eject(target, EjectionReason.SLOW, now)

    def note_failure(self, target: TargetId, failure: Failure, now: float) -> None:
        """Record a failed call, and eject the target after several in a row.

        Only the reasons in COUNTED_FAILURES count. A call refused by a full queue in
        this process is not counted.
        """
        if failure.reason not in COUNTED_FAILURES:
            return
        counts = self.bad_call_counts.setdefault(target, BadCallCounts())
        counts.failed_calls += 1
        if counts.failed_calls >= EJECT_AFTER_FAILED_CALLS:
            self.eject(target, EjectionReason.FAILING, now)

    def is_outlier(self, target: TargetId, now: float) -> bool:
        """Return whether the target is slow compared with its collections' targets.

        In an overload all targets are slow, and none is an outlier.
        """
        own = self.scoreboard.get(target).slowness.get(now)
        return all(
            own >= SLOW_RATIO * self.get_median_slowness(replica_set.collection, now)
            for replica_set in self.replica_sets.get(target, ())
        )

    def get_median_slowness(self, collection: CollectionName, now: float) -> float:
        """Return the median slowness of a collection's targets."""
        return statistics.median(
            self.scoreboard.get(target).slowness.get(now)
            for target in self.targets_by_collection[collection]
        )

    def has_faster_replica(self, target: TargetId, now: float) -> bool:
        """Return whether each shard of the target has a clearly faster replica."""
        own = self.scoreboard.get(target).slowness.get(now)
        return all(
            any(
                self.scoreboard.get(other).slowness.get(now) * FASTER_REPLICA_RATIO
                <= own
                for other in replica_set.replicas
                if other != target and other not in self.ejected
            )
            for replica_set in self.replica_sets.get(target, ())
        )

    def eject(self, target: TargetId, reason: EjectionReason, now: float) -> None:
        """Eject a target unless the limit or the last-replica rule forbids it."""
        if target in self.ejected or target not in self.replica_sets:
            return
        reason_to_keep = self.find_reason_to_keep(target)
        self.listener(target, (reason_to_keep or reason).value)
        if reason_to_keep is not None:
            self.counters.ejections[reason_to_keep] += 1
            self.bad_call_counts.pop(target, None)
            return
        self.counters.ejections[reason] += 1
        self.bad_call_counts.pop(target, None)
        slowness = max(SLOW_RATIO, self.scoreboard.get(target).slowness.get(now))
        self.ejected[target] = EjectedTarget(
            reason, now, now + FIRST_PROBE_DELAY_S, slowness
        )

    def find_reason_to_keep(self, target: TargetId) -> EjectionReason | None:
        """Return why the target must not be ejected, or None."""
        for replica_set in self.replica_sets[target]:
            if all(
                other == target or other in self.ejected
                for other in replica_set.replicas
            ):
                return EjectionReason.KEPT_LAST_REPLICA
            targets = self.targets_by_collection[replica_set.collection]
            ejected_count = sum(item in self.ejected for item in targets)
            if ejected_count + 1 > self.get_max_ejected(len(targets)):
                return EjectionReason.KEPT_BY_FLOOR
        return None

    def get_max_ejected(self, target_count: int) -> int:
        """Return how many of a collection's targets may be ejected at once.

        It is at least 1, but 0 if the maximum fraction is 0.
        """
        if self.max_fraction == 0.0:
            return 0
        return max(1, int(self.max_fraction * target_count))

    def take_probe(self, target: TargetId, now: float) -> bool:
        """Return whether a probe of the target is due, and mark it as started."""
        state = self.ejected.get(target)
        if state is None or state.probing or now < state.next_probe_at:
            return False
        state.probing = True
        return True

    def note_probe(
        self, target: TargetId, slowness: float | None, now: float
    ) -> ProbeResult:
        """Record a probe's slowness; None if it failed or the median is unknown."""
        result = classify_probe(slowness)
        self.counters.probes[result] += 1
        state = self.ejected.get(target)
        if state is None:
            return result
        state.probing = False
        if slowness is not None:
            state.slowness = max(slowness, MAX_GOOD_PROBE_RATIO)
        if result is not ProbeResult.GOOD:
            state.good_probes = 0
            state.interval_s = min(
                MAX_PROBE_INTERVAL_S, state.interval_s * PROBE_BACKOFF_FACTOR
            )
            state.next_probe_at = now + state.interval_s
            return result
        state.good_probes += 1
        state.next_probe_at = now
        if state.good_probes >= RESTORE_AFTER_GOOD_PROBES:
            self.restore(target, now)
        return result

    def restore(self, target: TargetId, now: float) -> None:
        """Restore an ejected target; ramp it up if it was failing."""
        state = self.ejected.pop(target)
        self.counters.returns += 1
        self.scoreboard.reset_slowness(target)
        if state.reason is EjectionReason.FAILING:
            self.scoreboard.get(target).start_ramp(now)


def classify_probe(slowness: float | None) -> ProbeResult:
    """Classify a probe by its slowness; None counts as failed."""
    if slowness is None:
        return ProbeResult.FAILED
    if slowness > MAX_GOOD_PROBE_RATIO:
        return ProbeResult.SLOW
    return ProbeResult.GOOD
