"""Stand-in targets: real search over records, slots, and a booking ledger."""

import random

import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from ..conf import Collection
from ..core.merge import sort_records
from ..core.messages import (
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
from ..core.ranges import KeyRange, get_position
from ..ids import Snapshot, TargetId
from .store import Store

KEPT_SNAPSHOTS = 20
MAX_LAG_S = 0.1
SHARD_SERVICE_S = 0.008
BOOKING_SERVICE_S = 0.006
SERVICE_SIGMA = 0.35


class TargetStandin:
    """One instance: answers HTTP calls for the ranges that it owns."""

    def __init__(
        self,
        target_id: TargetId,
        store: Store,
        collection: Collection,
        slots: int,
        rng: random.Random,
    ) -> None:
        self.target_id = target_id
        self.store = store
        self.rng = rng
        self.lag_s = rng.uniform(0.0, MAX_LAG_S)
        self.slots = BoundedSemaphore(slots)
        self.slow_factor = 1.0
        self.draining = False
        self.search_runs = 0
        self.shards = {
            shard.id: shard.range
            for shard in collection.shards
            if target_id in shard.replicas
        }

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""
        handlers = {
            "/search": self.handle_search,
            "/book": self.handle_book,
            "/health": self.handle_health,
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

    def get_held(self) -> tuple[Snapshot, Snapshot]:
        """Return the oldest and the newest snapshot that this replica holds."""
        newest = self.store.get_snapshot(self.lag_s)
        return Snapshot(max(1, newest - KEPT_SNAPSHOTS)), newest

    def serve(self, mean_s: float) -> None:
        """Hold a slot for a random service time."""
        with self.slots:
            factor = self.rng.lognormvariate(0.0, SERVICE_SIGMA) * self.slow_factor
            gevent.sleep(mean_s * factor)

    def owns(self, key_range: KeyRange) -> bool:
        """Tell whether one of the shards held here covers the range."""
        return any(held.covers(key_range) for held in self.shards.values())

    def handle_search(self, payload: bytes) -> TargetSearchAnswer:
        """Search the shards asked for at the pinned snapshot."""
        request = msgspec.json.decode(payload, type=TargetSearch)
        self.serve(SHARD_SERVICE_S * len(request.shards))
        self.search_runs += 1
        return TargetSearchAnswer(
            request.request_id,
            request.snapshot,
            tuple(self.search_shard(request, item) for item in request.shards),
            self.draining,
        )

    def search_shard(self, request: TargetSearch, shard) -> ShardResult:
        """Search one range, or say why not."""
        oldest, newest = self.get_held()
        key_range = KeyRange(shard.start, shard.end)
        if not self.owns(key_range):
            return ShardResult(shard.shard, ShardStatus.NOT_OWNED, oldest, newest)
        if not oldest <= request.snapshot <= newest:
            return ShardResult(
                shard.shard, ShardStatus.SNAPSHOT_MISSING, oldest, newest
            )
        found = self.store.scan(
            key_range, request.snapshot, request.terms, request.filters
        )
        hits = sort_records(found, request.order)[: request.limit]
        return ShardResult(
            shard.shard, ShardStatus.OK, oldest, newest, len(found), tuple(hits)
        )

    def handle_book(self, payload: bytes) -> TargetBookingAnswer:
        """Run a booking if the record lies in a range held here."""
        request = msgspec.json.decode(payload, type=TargetBooking)
        position = get_position(request.record)
        if not any(held.contains(position) for held in self.shards.values()):
            return TargetBookingAnswer(
                request.request_id, TargetBookingStatus.NOT_OWNED
            )
        self.serve(BOOKING_SERVICE_S)
        run = self.store.book(request.idempotency_key, request.record, request.quantity)
        return TargetBookingAnswer(
            request.request_id,
            TargetBookingStatus.RAN,
            run.result,
            run.snapshot,
            self.draining,
        )

    def handle_health(self, payload: bytes) -> TargetHealth:
        """Report state, load and the snapshots held."""
        oldest, newest = self.get_held()
        return TargetHealth(
            state="draining" if self.draining else "serving",
            load=0.0,
            shards=tuple(
                TargetShardHealth(self.store.collection, shard, oldest, newest)
                for shard in self.shards
            ),
        )
