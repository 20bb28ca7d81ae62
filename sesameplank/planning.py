"""Planning of queries.

If a plan cannot return a complete answer, the whole query is planned again.
"""

import math
from collections.abc import Callable, Sequence

from .callers.problems import ProblemKind, Refusal
from .core.common.clock import Clock
from .core.common.outcomes import Ran
from .core.published.versions import AcceptedConfiguration
from .core.search.coverage import MissingReason
from .core.search.messages import SearchRequest
from .core.search.plan import Plan, PlannedShard, make_plan
from .core.search.query import QueryState
from .core.search.snapshots import SnapshotTracker, list_replicas
from .ids import Snapshot, TargetId

MAX_PLANS = 4
POLL_INTERVAL_S = 0.01
SNAPSHOT_POLL_INTERVAL_S = 0.05
MAX_REPLAN_WAIT_S = 0.5
BASE_REPLAN_DELAY_S = 0.05  # if no ready time can be predicted; doubles with each plan
DEFAULT_RETRY_AFTER_MS = 1_000

GetNewestConfiguration = Callable[[], AcceptedConfiguration | None]


class QueryPlanner:
    """Makes the plans of one query, one after another.

    Each plan has one snapshot and the shards of one configuration. The snapshot
    is never older than the request's `at_least_snapshot`. `stop_at` is when the
    query must end, in seconds of the clock. `filter_replicas` returns the replicas
    of a shard that the query may use.
    """

    def __init__(
        self,
        snapshots: SnapshotTracker,
        clock: Clock,
        get_newest_configuration: GetNewestConfiguration,
        sleep: Callable[[float], None],
        request: SearchRequest,
        pinned: AcceptedConfiguration,
        stop_at: float,
        filter_replicas: Callable[[Sequence[TargetId]], Sequence[TargetId]] = tuple,
    ) -> None:
        self.snapshots = snapshots
        self.clock = clock
        self.get_newest_configuration = get_newest_configuration
        self.sleep = sleep
        self.request = request
        self.collection = request.collection
        self.at_least = Snapshot(request.at_least_snapshot)
        self.pinned = pinned
        self.stop_at = stop_at
        self.filter_replicas = filter_replicas
        self.plans = 0

    def next_plan(self) -> Plan:
        """Wait until the next plan's snapshot is expected to be held; return the plan.

        Raise Refusal at once if no shard is expected to hold a recent enough
        snapshot before `stop_at`.
        """
        snapshot = self.choose_snapshot()
        while (snapshot_wait_s := self.get_snapshot_wait_s(snapshot)) > 0:
            self.sleep(snapshot_wait_s)
            snapshot = self.choose_snapshot()
        self.plans += 1
        shards = [
            PlannedShard(shard.id, shard.range, self.filter_replicas(shard.replicas))
            for shard in self.get_shards()
        ]
        return make_plan(
            self.collection,
            snapshot,
            shards,
            self.pinned.version,
            self.pinned.configuration.preset.value,
        )

    def get_shards(self):
        """Return the published shards of the collection."""
        return self.pinned.configuration.collections[self.collection].shards

    def choose_snapshot(self) -> Snapshot:
        """Return the snapshot to pin the next plan to, or 0 if none is known."""
        shards = list_replicas(self.get_shards())
        chosen = self.snapshots.choose(self.collection, shards, self.at_least)
        return chosen or Snapshot(0)

    def get_snapshot_wait_s(self, snapshot: Snapshot) -> float:
        """Return how long to wait for the snapshot in seconds, 0 for no wait.

        Shards that are not expected to hold the snapshot before `stop_at` are not
        waited for. Raise Refusal if that is the case for all shards.
        """
        if not self.at_least or self.is_held(snapshot):
            return 0.0
        now = self.clock.now()
        times = self.get_ready_times(snapshot, now)
        if times and min(times) >= self.stop_at:
            raise self.make_refusal(min(times) - now)
        latest = max((time for time in times if time < self.stop_at), default=now)
        return min(max(0.0, latest - now), SNAPSHOT_POLL_INTERVAL_S)

    def is_held(self, snapshot: Snapshot) -> bool:
        """Return whether a replica of every known shard holds the snapshot."""
        shards = list_replicas(self.get_shards())
        return self.snapshots.is_held(self.collection, shards, snapshot)

    def get_ready_times(self, snapshot: Snapshot, now: float) -> list[float]:
        """Return when each shard is expected to hold the snapshot, in seconds.

        The time is `now` for a shard whose ready time cannot be predicted.
        """
        times = []
        for shard in list_replicas(self.get_shards()):
            ready_at = self.snapshots.get_ready_time(self.collection, shard, snapshot)
            times.append(now if ready_at is None else ready_at)
        return times

    def make_refusal(self, wait_s: float) -> Refusal:
        """Return the refusal of a query whose snapshot is not held in time.

        `wait_s` is the expected wait in seconds, infinite if it is unknown.
        """
        wait_ms = DEFAULT_RETRY_AFTER_MS
        if math.isfinite(wait_s):
            wait_ms = max(1, math.ceil(wait_s * 1_000))
        return Refusal(
            ProblemKind.SNAPSHOT_UNAVAILABLE,
            f"no target holds snapshot {self.at_least} or a newer one before the "
            "deadline",
            "ask again after the stated time, or allow a longer deadline_ms",
            ran=Ran.UNKNOWN if self.plans else Ran.NOT_RUN,
            retry_after_ms=wait_ms,
        )

    def is_snapshot_unavailable(self, state: QueryState) -> bool:
        """Return whether every shard lacks a result because of the snapshot."""
        return all(
            item.result is None and item.missing_reason is MissingReason.SNAPSHOT_GONE
            for item in state.shards.values()
        )

    def has_better_plan(self, state: QueryState) -> bool:
        """Return whether a new plan could be complete although this one cannot."""
        if not state.needs_new_plan or self.plans >= MAX_PLANS:
            return False
        if state.map_outdated and self.has_newer_shard_map():
            return True
        return state.snapshot_missing and self.choose_snapshot() != state.snapshot

    def has_newer_shard_map(self) -> bool:
        """Return whether a newer configuration with the collection is in force."""
        newest = self.get_newest_configuration()
        return (
            newest is not None
            and newest.version > self.pinned.version
            and self.collection in newest.configuration.collections
        )

    def wait_for_better_plan(self, state: QueryState) -> bool:
        """Wait until a new plan may be complete; return False if none is expected."""
        if not state.needs_new_plan or self.plans >= MAX_PLANS:
            return False
        started_at = self.clock.now()
        wait_until = min(self.stop_at, started_at + MAX_REPLAN_WAIT_S)
        retry_at = started_at + BASE_REPLAN_DELAY_S * 2**self.plans
        while not self.has_better_plan(state):
            if not state.map_outdated and not self.is_snapshot_expected(
                state, retry_at
            ):
                return False
            if self.clock.now() + POLL_INTERVAL_S >= wait_until:
                return False
            self.sleep(POLL_INTERVAL_S)
            if not state.map_outdated and self.is_snapshot_due(state, retry_at):
                break
        if state.map_outdated and self.has_newer_shard_map():
            self.pinned = self.get_newest_configuration()
        return True

    def is_snapshot_expected(self, state: QueryState, retry_at: float) -> bool:
        """Return whether all unserved shards are expected to hold the snapshot in time.

        `retry_at` is when to retry if no ready time can be predicted.
        """
        return (
            max(self.get_unserved_ready_times(state), default=retry_at) < self.stop_at
        )

    def is_snapshot_due(self, state: QueryState, retry_at: float) -> bool:
        """Return whether all unserved shards are expected to hold the snapshot now."""
        due_at = max(self.get_unserved_ready_times(state), default=retry_at)
        return due_at <= self.clock.now()

    def get_unserved_ready_times(self, state: QueryState) -> list[float]:
        """Return when each unserved shard is expected to hold the snapshot, in seconds.

        Shards whose ready time cannot be predicted are left out.
        """
        unserved = list_replicas(
            item.planned for item in state.shards.values() if item.result is None
        )
        times = [
            self.snapshots.get_ready_time(self.collection, shard, state.snapshot)
            for shard in unserved
        ]
        return [time for time in times if time is not None]
