"""Stand-in targets, which search real records and execute bookings.

Random delays replace the work of a real target.
"""

import random
from enum import Enum

import gevent
import msgspec
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from ..conf import Collection
from ..core.common.clock import Clock
from ..core.search.merge import sort_records
from ..core.search.messages import (
    CancelRequest,
    ShardRequest,
    ShardResult,
    ShardStatus,
    TargetBooking,
    TargetBookingAnswer,
    TargetBookingStatus,
    TargetHealth,
    TargetSearch,
    TargetSearchAnswer,
    TargetShardHealth,
)
from ..core.search.ranges import KeyRange, get_position, merge_ranges
from ..ids import RequestId, ShardId, Snapshot, TargetId
from .store import RecordStore

RETAINED_SNAPSHOTS = 20
MAX_LAG_S = 0.1
# Service times are lognormal with these medians and the sigma below.
SHARD_SERVICE_S = 0.008
BOOKING_SERVICE_S = 0.006
SERVICE_SIGMA = 0.35
MAX_QUEUE = 200
HEALTH_MAX_AGE_S = 1.0
COLD_START_S = 5.0
COLD_SLOWDOWN = 4.0
LEAVING_GRACE_S = 5.0


class TargetMode(Enum):
    """The state that a stand-in target reports."""

    SERVING = "serving"
    DRAINING = "draining"


class Noise(msgspec.Struct, frozen=True):
    """Random periods in which a noisy neighbour slows a target down.

    `mean_gap_s` is the mean time between periods, and `factor` the multiple of
    the usual service time during one.
    """

    mean_gap_s: float = 20.0
    length_s: float = 0.3
    factor: float = 5.0


class TargetTruth(msgspec.Struct):
    """The ground truth of one target.

    `calls` counts the searches and bookings that arrive; `shard_runs` and
    `bookings_run` count executed work. `shed` and `cancelled` count the requests
    that were not executed because there was no slot in time or because they were
    cancelled while they waited. `searched` holds the IDs of the searches that
    were neither shed nor cancelled.

    `work_after_leaving` counts the calls that arrive more than LEAVING_GRACE_S
    after the target began to leave; `last_work_after_leaving_s` is the time from
    that moment to the last call, whether within the grace period or after it.
    """

    calls: int = 0
    shard_runs: int = 0
    bookings_run: int = 0
    shed: int = 0
    cancelled: int = 0
    peak_connections: int = 0
    connections_over_limit: int = 0
    work_after_leaving: int = 0
    last_work_after_leaving_s: float = 0.0
    searched: list[RequestId] = []


class TargetStandin:
    """A stand-in target, which answers HTTP calls for the key ranges that it owns.

    `slots` limits the requests that are served concurrently.
    """

    def __init__(
        self,
        target_id: TargetId,
        store: RecordStore,
        collection: Collection,
        slots: int,
        rng: random.Random,
        clock: Clock,
        noise: Noise | None = None,
    ) -> None:
        self.target_id = target_id
        self.store = store
        self.rng = rng
        self.clock = clock
        self.noise = noise
        self.next_noise_at = clock.now() + self.draw_noise_gap()
        self.noisy_until = 0.0
        self.lag_s = rng.uniform(0.0, MAX_LAG_S)
        self.slots = BoundedSemaphore(slots)
        self.slot_count = slots
        self.waiting = 0
        self.running = 0
        self.slow_factor = 1.0
        self.warm_at = clock.now()
        self.mode = TargetMode.SERVING
        self.leaving_since: float | None = None
        self.cancel_events: dict[RequestId, Event] = {}
        self.truth = TargetTruth()
        self.health: TargetHealth | None = None
        self.health_at = 0.0
        self.shards: dict[ShardId, KeyRange] = {}
        self.set_shards(collection)

    def set_shards(self, collection: Collection) -> None:
        """Set the owned shards to those that a collection assigns to this target."""
        self.shards = {
            shard.id: shard.range
            for shard in collection.shards
            if self.target_id in shard.replicas
        }
        self.owned = merge_ranges(self.shards.values())

    def start_cold(self) -> None:
        """Return to serving after a restart, slowly at first.

        The slowdown decreases linearly from COLD_SLOWDOWN to 1 within COLD_START_S.
        """
        self.warm_at = self.clock.now() + COLD_START_S
        self.mode = TargetMode.SERVING
        self.leaving_since = None

    def drain(self) -> None:
        """Report from now on that this target is leaving.

        Health reports, search answers and answers to executed bookings report it.
        """
        self.mode = TargetMode.DRAINING
        self.note_leaving()

    def note_leaving(self) -> None:
        """Record that this target is leaving and should receive no new work.

        Calls for new work after a grace period of LEAVING_GRACE_S are counted.
        """
        if self.leaving_since is None:
            self.leaving_since = self.clock.now()

    def __call__(self, environ, start_response):
        """Respond to one HTTP request."""
        handlers = {
            "/search": self.handle_search,
            "/book": self.handle_book,
            "/health": self.handle_health,
            "/cancel": self.handle_cancel,
        }
        handler = handlers.get(environ["PATH_INFO"])
        if handler is None:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        answer = handler(environ["wsgi.input"].read(length))
        body = msgspec.json.encode(answer)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return [body]

    def note_call(self) -> None:
        """Count a call for new work, and whether it arrived after the grace period."""
        self.truth.calls += 1
        if self.leaving_since is None:
            return
        age = self.clock.now() - self.leaving_since
        self.truth.last_work_after_leaving_s = age
        self.truth.work_after_leaving += age > LEAVING_GRACE_S

    def draw_noise_gap(self) -> float:
        """Return the random number of seconds until the next noisy period."""
        if self.noise is None:
            return float("inf")
        return self.rng.expovariate(1.0 / self.noise.mean_gap_s)

    def get_slowdown(self) -> float:
        """Return the current service time as a multiple of the usual one.

        Starts a noisy period if one is due.
        """
        now = self.clock.now()
        if now >= self.next_noise_at:
            self.noisy_until = now + self.noise.length_s
            self.next_noise_at = self.noisy_until + self.draw_noise_gap()
        factor = self.slow_factor
        if now < self.noisy_until:
            factor *= self.noise.factor
        if now < self.warm_at:
            factor *= 1 + (COLD_SLOWDOWN - 1) * (self.warm_at - now) / COLD_START_S
        return factor

    def get_held_snapshots(self) -> tuple[Snapshot, Snapshot]:
        """Return the oldest and the newest snapshot that this replica holds."""
        newest = self.store.get_snapshot(self.lag_s)
        return Snapshot(max(1, newest - RETAINED_SNAPSHOTS)), newest

    def serve(self, request_id: RequestId, median_s: float, deadline_ms: int) -> bool:
        """Hold a slot for a random service time; return whether the request ran.

        A request does not run if the queue is full, if its deadline passes
        before it gets a slot, or if it is cancelled while it waits for one. A
        cancellation during the service time releases the slot early.
        """
        if self.waiting >= MAX_QUEUE:
            self.truth.shed += 1
            return False
        cancel = self.cancel_events.setdefault(request_id, Event())
        self.waiting += 1
        try:
            admitted = self.slots.acquire(timeout=deadline_ms / 1_000)
        finally:
            self.waiting -= 1
        if not admitted:
            self.cancel_events.pop(request_id, None)
            self.truth.shed += 1
            return False
        self.running += 1
        try:
            if cancel.is_set():
                self.truth.cancelled += 1
                return False
            factor = self.rng.lognormvariate(0.0, SERVICE_SIGMA) * self.get_slowdown()
            cancel.wait(median_s * factor)
            return True
        finally:
            self.running -= 1
            self.slots.release()
            self.cancel_events.pop(request_id, None)

    def handle_search(self, payload: bytes) -> TargetSearchAnswer:
        """Search the requested shards at the snapshot of the request."""
        request = msgspec.json.decode(payload, type=TargetSearch)
        self.note_call()
        median_s = SHARD_SERVICE_S * len(request.shards)
        if self.serve(request.request_id, median_s, request.deadline_ms):
            self.truth.searched.append(request.request_id)
            results = tuple(self.search_shard(request, item) for item in request.shards)
        else:
            results = tuple(
                ShardResult(item.shard, ShardStatus.SHED, *self.get_held_snapshots())
                for item in request.shards
            )
        return TargetSearchAnswer(
            request.request_id, request.snapshot, results, self.is_draining
        )

    @property
    def is_draining(self) -> bool:
        """Return whether this target reports that it is leaving."""
        return self.mode is TargetMode.DRAINING

    def search_shard(self, request: TargetSearch, shard: ShardRequest) -> ShardResult:
        """Search one key range, or return the status that says why it is not served."""
        oldest, newest = self.get_held_snapshots()
        key_range = KeyRange(shard.start, shard.end)
        if not any(held.covers(key_range) for held in self.owned):
            return ShardResult(shard.shard, ShardStatus.NOT_OWNED, oldest, newest)
        if not oldest <= request.snapshot <= newest:
            return ShardResult(
                shard.shard, ShardStatus.SNAPSHOT_MISSING, oldest, newest
            )
        self.truth.shard_runs += 1
        found = self.store.scan(
            key_range, request.snapshot, request.terms, request.filters
        )
        hits = sort_records(found, request.order)[: request.limit]
        return ShardResult(
            shard.shard, ShardStatus.OK, oldest, newest, len(found), tuple(hits)
        )

    def handle_book(self, payload: bytes) -> TargetBookingAnswer:
        """Execute a booking if this target owns the position of the record."""
        request = msgspec.json.decode(payload, type=TargetBooking)
        self.note_call()
        position = get_position(request.record)
        if not any(held.contains(position) for held in self.owned):
            status = TargetBookingStatus.NOT_OWNED
            return TargetBookingAnswer(request.request_id, status)
        if not self.serve(request.request_id, BOOKING_SERVICE_S, request.deadline_ms):
            return TargetBookingAnswer(request.request_id, TargetBookingStatus.SHED)
        run = self.store.book(request.idempotency_key, request.record, request.quantity)
        self.truth.bookings_run += 1
        return TargetBookingAnswer(
            request.request_id,
            TargetBookingStatus.RAN,
            run.result,
            run.snapshot,
            self.is_draining,
        )

    def handle_cancel(self, payload: bytes) -> CancelRequest:
        """Cancel a waiting request, or end the service time of a running one early.

        A running request is executed in any case.
        """
        request = msgspec.json.decode(payload, type=CancelRequest)
        cancel = self.cancel_events.get(request.request_id)
        if cancel is not None:
            cancel.set()
        return request

    def handle_health(self, payload: bytes) -> TargetHealth:
        """Return a health report that is at most HEALTH_MAX_AGE_S old."""
        now = self.clock.now()
        if self.health is None or now - self.health_at > HEALTH_MAX_AGE_S:
            self.health = self.make_health()
            self.health_at = now
        return self.health

    def make_health(self) -> TargetHealth:
        """Return a new report of the state, the load and the snapshots held."""
        oldest, newest = self.get_held_snapshots()
        return TargetHealth(
            state=self.mode.value,
            load=(self.running + self.waiting) / self.slot_count,
            shards=tuple(
                TargetShardHealth(self.store.collection, shard, oldest, newest)
                for shard in self.shards
            ),
        )


class ConnectionLimiter:
    """Counts the open connections of a target and refuses those over its limit.

    `open_s` is the time to accept a connection, in seconds.
    """

    def __init__(self, standin: TargetStandin, limit: int, open_s: float) -> None:
        self.standin = standin
        self.limit = limit
        self.open_s = open_s
        self.open_connections = 0

    def admit(self) -> bool:
        """Count a new connection, and return whether it is within the limit.

        Each call needs a call of `release`, even if the connection is refused.
        """
        self.open_connections += 1
        truth = self.standin.truth
        truth.peak_connections = max(truth.peak_connections, self.open_connections)
        if self.open_connections > self.limit:
            truth.connections_over_limit += 1
            return False
        gevent.sleep(self.open_s)
        return True

    def release(self) -> None:
        """Count a connection as closed."""
        self.open_connections -= 1
