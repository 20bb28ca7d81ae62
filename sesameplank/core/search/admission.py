"""Admission control of queries by deadline and priority class, before planning."""

import random
from collections import deque

import msgspec

from ...conf import CallerClass, Policy
from ...ids import CollectionName
from ..common.clock import Clock
from ..common.concurrency import BaseLatency, ConcurrencyLimit
from .counters import PolicyCounters, RefusalReason
from .coverage import Coverage, MissingReason

MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 5_000
RETRY_JITTER = 0.5
FLOOR_BURST_TOKENS = 1.0
RECENT_WINDOW_S = 1.0
MAX_RECENT_LATENCIES = 16


class AdmissionRefusal(msgspec.Struct, frozen=True):
    """The refusal of a query: the reason, and the delay before a retry."""

    reason: RefusalReason
    retry_after_ms: int

    def __bool__(self) -> bool:
        """Return False, so that a refusal is never mistaken for a permit."""
        return False


class Permit:
    """The permission to run one query; a context manager that releases it.

    `is_load_sample` is whether the query's latency is a sample of the load. It is
    False if shards are missing, but none of them because of the deadline.
    `waited_s` is the time in seconds that the query waited for a snapshot or shard
    map; it is subtracted from the latency.
    """

    def __init__(self, gate: "CollectionGate", admitted_at: float) -> None:
        self.gate = gate
        self.admitted_at = admitted_at
        self.is_load_sample = True
        self.waited_s = 0.0

    def __enter__(self) -> "Permit":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.gate.release(self)


class CollectionGate:
    """Admits the queries of one collection in this process.

    The limit of the first class is based on the deadline alone. The lower classes
    share a limit that keeps the latency near its level without overload, so that
    they are refused before the first class is affected. A floor admits a few of
    their queries even then.
    """

    def __init__(self, clock: Clock, counters: PolicyCounters) -> None:
        self.clock = clock
        self.counters = counters
        self.in_flight = 0
        self.base_latency = BaseLatency()
        self.first_limit = ConcurrencyLimit()
        self.lower_limit = ConcurrencyLimit()
        self.floors = {CallerClass.SECOND: 0.0, CallerClass.THIRD: 0.0}
        self.policy = Policy()
        self.recent: deque[float] = deque(maxlen=MAX_RECENT_LATENCIES)
        self.released_at = 0.0

    def admit(
        self, priority: CallerClass, deadline_at: float, policy: Policy
    ) -> Permit | RefusalReason:
        """Return a permit, or the reason for the refusal.

        `deadline_at` is in seconds of the clock.
        """
        self.policy = policy
        now = self.clock.now()
        reason = self.find_refusal(priority, deadline_at, now)
        if reason is not None:
            self.counters.refusals[reason] += 1
            return reason
        self.in_flight += 1
        self.first_limit.note_running(self.in_flight)
        self.lower_limit.note_running(self.in_flight)
        self.counters.admitted += 1
        return Permit(self, now)

    def find_refusal(
        self, priority: CallerClass, deadline_at: float, now: float
    ) -> RefusalReason | None:
        """Return why a query has to be refused, or None if it is admitted.

        Any query is admitted while none is in flight. An admission beyond the limit
        takes a token of the class's floor.
        """
        if self.in_flight == 0:
            return None
        if now + self.get_expected_latency_s(now) > deadline_at:
            return RefusalReason.DEADLINE
        if priority is CallerClass.FIRST:
            if self.in_flight >= self.first_limit.limit:
                return RefusalReason.LIMIT
            return None
        if self.in_flight < self.get_class_limit(priority):
            return None
        if self.in_flight < self.first_limit.limit and self.floors[priority] >= 1.0:
            self.floors[priority] -= 1.0
            return None
        return RefusalReason.SHARE

    def get_class_limit(self, priority: CallerClass) -> float:
        """Return the number of queries in flight below which a class is admitted."""
        limit = min(self.lower_limit.limit, self.first_limit.limit)
        if priority is CallerClass.THIRD:
            return limit * self.policy.third_class_share
        return limit

    def get_expected_latency_s(self, now: float) -> float:
        """Return the median of recent latencies in seconds, or 0 without any."""
        if not self.recent or now - self.released_at > RECENT_WINDOW_S:
            return 0.0
        return sorted(self.recent)[len(self.recent) // 2]

    def release(self, permit: Permit) -> None:
        """Release a permit and record the query's latency."""
        now = self.clock.now()
        self.in_flight -= 1
        for priority, tokens in self.floors.items():
            self.floors[priority] = min(
                FLOOR_BURST_TOKENS, tokens + self.policy.lower_class_floor
            )
        if not permit.is_load_sample:
            return
        self.released_at = now
        latency_s = max(0.0, now - permit.admitted_at - permit.waited_s)
        self.recent.append(latency_s)
        self.adjust_limits(latency_s, now)

    def adjust_limits(self, latency_s: float, now: float) -> None:
        """Adjust both limits to the latency, in seconds."""
        deadline_s = self.policy.default_deadline_ms / 1_000
        first_objective_s = deadline_s * self.policy.first_class_latency
        lower_objective_s = min(
            first_objective_s, self.get_lower_objective_s(latency_s)
        )
        self.first_limit.note_done(latency_s, first_objective_s, self.in_flight, now)
        median_s = self.lower_limit.note_done(
            latency_s, lower_objective_s, self.in_flight, now
        )
        if median_s is not None:
            self.base_latency.update(median_s)

    def get_lower_objective_s(self, latency_s: float) -> float:
        """Return the latency objective of the lower classes, in seconds.

        `latency_s` replaces the base latency while that is unknown.
        """
        base_s = self.base_latency.seconds or latency_s
        return base_s * self.policy.lower_class_latency


def is_load_sample(coverage: Coverage) -> bool:
    """Return whether a query's latency is a sample of its collection's load.

    It is if the answer is complete or lacks a range because of the deadline.
    """
    return not coverage.missing or any(
        item.reason is MissingReason.DEADLINE for item in coverage.missing
    )


class AdmissionController:
    """Admits queries by one gate per collection, since each has its own targets."""

    def __init__(
        self, clock: Clock, rng: random.Random, counters: PolicyCounters
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.counters = counters
        self.gates: dict[CollectionName, CollectionGate] = {}

    def admit(
        self,
        collection: CollectionName,
        priority: CallerClass,
        deadline_at: float,
        policy: Policy,
    ) -> Permit | AdmissionRefusal:
        """Return a permit to run a query, or a refusal, within microseconds.

        `deadline_at` is in seconds of the controller's clock.
        """
        gate = self.gates.get(collection)
        if gate is None:
            gate = self.gates[collection] = CollectionGate(self.clock, self.counters)
        admitted = gate.admit(priority, deadline_at, policy)
        if isinstance(admitted, Permit):
            return admitted
        return AdmissionRefusal(admitted, self.get_retry_after_ms(gate))

    def get_retry_after_ms(self, gate: CollectionGate) -> int:
        """Return the retry delay in ms: twice the expected latency, with jitter."""
        expected_ms = 2_000 * gate.get_expected_latency_s(self.clock.now())
        spread = 1.0 + self.rng.random() * RETRY_JITTER
        return int(
            min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, expected_ms) * spread)
        )
