"""Ejection of lastingly slow or failing targets, their probing and return."""

import statistics
from collections.abc import Callable, Iterable

import msgspec

from ..ids import CollectionName, TargetId
from .counters import EjectionReason, PolicyCounters, ProbeResult
from .outcomes import Failure, FailureReason
from .scoreboard import Scoreboard

SLOW_RATIO = 2.5
PARTNER_RATIO = 2.5
SLOW_CALLS = 3
SLOW_SPAN_S = 0.4
OVERFLOW_PENALTY = 1.5
FAILED_CALLS = 3
RETURN_RATIO = 1.6
GOOD_PROBES = 2
FIRST_PROBE_AFTER_S = 0.5
PROBE_GROWTH = 2.0
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


Listener = Callable[[TargetId, str], None]


class ReplicaSet(msgspec.Struct, frozen=True):
    """The replicas of one shard; at least one of them is never ejected."""

    collection: CollectionName
    replicas: tuple[TargetId, ...]


class Suspicion:
    """Consecutive bad calls of a target that still serves."""

    def __init__(self) -> None:
        self.slow_calls = 0
        self.slow_since = 0.0
        self.failed_calls = 0


class EjectedTarget(msgspec.Struct):
    """An ejected target and when it is probed next; times in seconds."""

    reason: EjectionReason
    since: float
    next_probe_at: float
    slowness: float = 1.0
    interval_s: float = FIRST_PROBE_AFTER_S
    good_probes: int = 0
    probing: bool = False


class Ejector:
    """Decides which targets get no ordinary calls for now.

    A target is slow when several calls in a row, over a span that momentary
    slowness does not fill, took a multiple of the median of its peers, and a
    replica that would stand in for it is clearly faster. A floor limits how
    many targets of a collection are out at once, and the last replica of a
    shard always stays. Ejected targets are probed beside the ordinary calls
    and come back with a ramp.
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
        self.listener: Listener = lambda target, reason: None
        self.suspicions: dict[TargetId, Suspicion] = {}
        self.ejected: dict[TargetId, EjectedTarget] = {}
        self.replica_sets: dict[TargetId, list[ReplicaSet]] = {}
        self.peers: dict[CollectionName, set[TargetId]] = {}

    def update_replicas(self, replica_sets: Iterable[ReplicaSet]) -> None:
        """Take in which targets hold shards together; forget all others."""
        self.replica_sets = {}
        self.peers = {}
        for replica_set in set(replica_sets):
            peers = self.peers.setdefault(replica_set.collection, set())
            peers.update(replica_set.replicas)
            for target in replica_set.replicas:
                self.replica_sets.setdefault(target, []).append(replica_set)
        for known in (self.ejected, self.suspicions):
            for target in set(known) - set(self.replica_sets):
                del known[target]

    def contains(self, target: TargetId) -> bool:
        """Tell whether the target is ejected."""
        return target in self.ejected

    def is_failing(self, target: TargetId) -> bool:
        """Tell whether the target is ejected because its calls fail."""
        state = self.ejected.get(target)
        return state is not None and state.reason is EjectionReason.FAILING

    def get_overflow_cost(self, target: TargetId) -> float:
        """Return the cost of a call to an ejected target.

        A slow target still has some capacity, which counts when the replicas
        that stand in for it are at their limit.
        """
        state = self.ejected[target]
        in_flight = self.scoreboard.get(target).in_flight
        return (in_flight + 1) * state.slowness * OVERFLOW_PENALTY

    def note_latency(self, target: TargetId, slowness: float, now: float) -> None:
        """Take in a call's latency as a multiple of the median of its peers."""
        suspicion = self.suspicions.setdefault(target, Suspicion())
        suspicion.failed_calls = 0
        if slowness < SLOW_RATIO:
            suspicion.slow_calls = 0
            return
        if suspicion.slow_calls == 0:
            suspicion.slow_since = now
        suspicion.slow_calls += 1
        lasting = now - suspicion.slow_since >= SLOW_SPAN_S
        if suspicion.slow_calls < SLOW_CALLS or not lasting:
            return
        if self.is_outlier(target, now) and self.has_faster_partner(target, now):
            self.eject(target, EjectionReason.SLOW, now)

    def note_failure(self, target: TargetId, failure: Failure, now: float) -> None:
        """Take in a failed call; refusals by a full queue of ours do not count."""
        if failure.reason not in COUNTED_FAILURES:
            return
        suspicion = self.suspicions.setdefault(target, Suspicion())
        suspicion.failed_calls += 1
        if suspicion.failed_calls >= FAILED_CALLS:
            self.eject(target, EjectionReason.FAILING, now)

    def is_outlier(self, target: TargetId, now: float) -> bool:
        """Tell whether the target is slow beside its peers as they are now.

        In an overload all of them are slow, and none is an outlier.
        """
        own = self.scoreboard.get(target).slowness.get(now)
        return all(
            own >= SLOW_RATIO * self.get_peer_median(replica_set.collection, now)
            for replica_set in self.replica_sets.get(target, ())
        )

    def get_peer_median(self, collection: CollectionName, now: float) -> float:
        """Return the median slowness of a collection's targets."""
        return statistics.median(
            self.scoreboard.get(peer).slowness.get(now)
            for peer in self.peers[collection]
        )

    def has_faster_partner(self, target: TargetId, now: float) -> bool:
        """Tell whether some replica of each shard is clearly faster."""
        own = self.scoreboard.get(target).slowness.get(now)
        return all(
            any(
                self.scoreboard.get(other).slowness.get(now) * PARTNER_RATIO <= own
                for other in replica_set.replicas
                if other != target and other not in self.ejected
            )
            for replica_set in self.replica_sets.get(target, ())
        )

    def eject(self, target: TargetId, reason: EjectionReason, now: float) -> None:
        """Eject a target unless the floor or its shards need it."""
        if target in self.ejected or target not in self.replica_sets:
            return
        refusal = self.find_reason_to_keep(target)
        self.listener(target, (refusal or reason).value)
        if refusal is not None:
            self.counters.ejections[refusal] += 1
            self.suspicions.pop(target, None)
            return
        self.counters.ejections[reason] += 1
        self.suspicions.pop(target, None)
        slowness = max(SLOW_RATIO, self.scoreboard.get(target).slowness.get(now))
        self.ejected[target] = EjectedTarget(
            reason, now, now + FIRST_PROBE_AFTER_S, slowness
        )

    def find_reason_to_keep(self, target: TargetId) -> EjectionReason | None:
        """Return why the target has to stay, or None."""
        for replica_set in self.replica_sets[target]:
            if all(
                other == target or other in self.ejected
                for other in replica_set.replicas
            ):
                return EjectionReason.KEPT_LAST_REPLICA
            peers = self.peers[replica_set.collection]
            out = sum(peer in self.ejected for peer in peers)
            if out + 1 > self.count_allowed(len(peers)):
                return EjectionReason.KEPT_BY_FLOOR
        return None

    def count_allowed(self, peers: int) -> int:
        """Return how many of a collection's targets may be out, at least 1."""
        if self.max_fraction == 0.0:
            return 0
        return max(1, int(self.max_fraction * peers))

    def take_probe(self, target: TargetId, now: float) -> bool:
        """Return whether the target should be probed now; counts it as started."""
        state = self.ejected.get(target)
        if state is None or state.probing or now < state.next_probe_at:
            return False
        state.probing = True
        return True

    def note_probe(
        self, target: TargetId, slowness: float | None, now: float
    ) -> ProbeResult:
        """Take in a probe's latency, or None for a failed probe."""
        result = judge_probe(slowness)
        self.counters.probes[result] += 1
        state = self.ejected.get(target)
        if state is None:
            return result
        state.probing = False
        if slowness is not None:
            state.slowness = max(slowness, RETURN_RATIO)
        if result is not ProbeResult.GOOD:
            state.good_probes = 0
            state.interval_s = min(
                MAX_PROBE_INTERVAL_S, state.interval_s * PROBE_GROWTH
            )
            state.next_probe_at = now + state.interval_s
            return result
        state.good_probes += 1
        state.next_probe_at = now
        if state.good_probes >= GOOD_PROBES:
            self.restore(target, now)
        return result

    def restore(self, target: TargetId, now: float) -> None:
        """Let a target serve again, with little work first if it was gone."""
        state = self.ejected.pop(target)
        self.counters.returns += 1
        self.scoreboard.forget_slowness(target)
        if state.reason is EjectionReason.FAILING:
            self.scoreboard.get(target).start_ramp(now)


def judge_probe(slowness: float | None) -> ProbeResult:
    """Return what a probe's latency says of its target."""
    if slowness is None:
        return ProbeResult.FAILED
    if slowness > RETURN_RATIO:
        return ProbeResult.SLOW
    return ProbeResult.GOOD
