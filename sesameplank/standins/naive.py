"""A naive query tier with the same API for callers, as a baseline for comparison.

It sends one HTTP call per shard to the first replica of the shard, waits for all
calls, and merges the results. It has no hedges, retries, limits or queue, and a
call opens a new connection if none is idle.
"""

import itertools
import random
from collections import defaultdict, deque

import gevent
import msgspec
from geventhttpclient import HTTPClient

from ..commands.base import Command, run_command
from ..commands.entry import EntryCommand
from ..conf import Configuration, PublishedVms, Shard, decode_configuration
from ..core.membership.addresses import AddressAnswer, choose_addresses
from ..core.search.coverage import Coverage, MissingRange, MissingReason
from ..core.search.merge import count_total, merge_hits
from ..core.search.messages import (
    BookingAnswer,
    BookingRequest,
    Explanation,
    SearchAnswer,
    SearchRequest,
    ShardRequest,
    ShardResult,
    ShardStatus,
    TargetBooking,
    TargetBookingAnswer,
    TargetBookingStatus,
    TargetHealth,
    TargetSearch,
    TargetSearchAnswer,
    WriterAnswer,
)
from ..core.search.ranges import get_position, merge_ranges
from ..exceptions import PlatformError
from ..ids import CollectionName, Snapshot, TargetId
from ..net import Address
from ..published.reader import PlatformReader
from ..wsgi import make_server

POLL_INTERVAL_S = 0.5
LONG_POLL_S = 5.0
DEFAULT_DEADLINE_MS = 1_000


class NaiveTargetClient:
    """An HTTP client for targets, without a limit on the number of connections."""

    def __init__(self) -> None:
        self.idle: dict[Address, deque[HTTPClient]] = defaultdict(deque)

    def call(self, address: Address, path: str, message, answer_type, timeout_s: float):
        """Return the decoded answer, or None on an error or a timeout."""
        idle = self.idle[address]
        client = idle.pop() if idle else HTTPClient(*address, network_timeout=None)
        body = msgspec.json.encode(message) if message is not None else b""
        answer = None
        try:
            with gevent.Timeout(timeout_s):
                response = client.request("POST", path, body)
                answer = msgspec.json.decode(bytes(response.read()), type=answer_type)
        except (gevent.Timeout, Exception):  # Any failure counts as no answer.
            return None
        finally:
            if answer is None:
                client.close()
            else:
                idle.append(client)
        return answer


class NaiveEntry:
    """The state of the entry, and its WSGI application."""

    def __init__(self, platform: Address, address: Address) -> None:
        self.writers = itertools.count(1)
        self.platform = platform
        self.address = address
        self.targets = NaiveTargetClient()
        self.rng = random.Random()
        self.version = 0
        self.configuration: Configuration | None = None
        self.vms: PublishedVms | None = None
        self.snapshots: dict[CollectionName, Snapshot] = {}

    def watch_configuration(self) -> None:
        """Apply each new version of the configuration; runs forever."""
        reader = PlatformReader(self.platform)
        while True:
            try:
                published = reader.read_configuration(self.version, LONG_POLL_S)
            except PlatformError:
                gevent.sleep(POLL_INTERVAL_S)
                continue
            if published:
                self.version = published.version
                self.configuration = decode_configuration(published.document)

    def watch_vms(self) -> None:
        """Apply each new version of the VM list; runs forever."""
        reader = PlatformReader(self.platform)
        while True:
            try:
                known = self.vms.version if self.vms else 0
                self.vms = reader.read_vms(known, LONG_POLL_S) or self.vms
            except PlatformError:
                gevent.sleep(POLL_INTERVAL_S)

    def watch_snapshots(self) -> None:
        """Poll the targets for the snapshots that they hold; runs forever."""
        while True:
            if self.configuration:
                for name in self.configuration.collections:
                    self.poll_snapshots(name)
            gevent.sleep(POLL_INTERVAL_S)

    def poll_snapshots(self, name: CollectionName) -> None:
        """Record the newest snapshot that all responding first replicas hold."""
        shards = self.configuration.collections[name].shards
        first_replicas = {shard.replicas[0] for shard in shards}
        reports = [
            self.call_target(item, "/health", None, TargetHealth)
            for item in first_replicas
        ]
        newest = [item.newest for report in reports if report for item in report.shards]
        if newest:
            self.snapshots[name] = min(newest)

    def call_target(
        self, target: TargetId, path: str, message, answer_type, timeout_s=1.0
    ):
        """Call a target by its ID; see `NaiveTargetClient.call`."""
        address = Address.parse(self.configuration.targets[target].address)
        return self.targets.call(address, path, message, answer_type, timeout_s)

    def __call__(self, environ, start_response):
        """Respond to one HTTP request of a caller."""
        status, answer = self.route(environ)
        body = msgspec.json.encode(answer)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", "")),
        ]
        start_response(status, headers)
        return [body]

    def route(self, environ) -> tuple[str, object]:
        """Return the HTTP status line and the answer to a request.

        Any path that is not listed here reports the readiness of the entry.
        """
        path = environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        payload = environ["wsgi.input"].read(length)
        if path == "/v1/search":
            request = msgspec.json.decode(payload, type=SearchRequest)
            return "200 OK", self.search(environ["HTTP_X_REQUEST_ID"], request)
        if path == "/v1/bookings":
            booking = msgspec.json.decode(payload, type=BookingRequest)
            return self.book(environ, booking)
        if path == "/v1/writers":
            return "200 OK", WriterAnswer(f"naive~0~{next(self.writers)}", 60_000, 0)
        if path == "/v1/addresses":
            live = [vm.address for vm in self.vms.vms] or [str(self.address)]
            return "200 OK", AddressAnswer(choose_addresses(live, self.rng), 5_000)
        ready = self.configuration and self.vms and self.snapshots
        status = "200 OK" if ready else "503 Service Unavailable"
        return status, {"config_version": self.version}

    def search(self, request_id: str, request: SearchRequest) -> SearchAnswer:
        """Search the first replica of every shard and merge the results."""
        loop = gevent.get_hub().loop
        started_at = loop.now()
        shards = self.configuration.collections[request.collection].shards
        known = self.snapshots.get(request.collection, Snapshot(1))
        snapshot = max(known, request.at_least_snapshot)
        calls = [
            gevent.spawn(self.search_shard, request_id, request, shard, snapshot)
            for shard in shards
        ]
        gevent.joinall(calls)
        loop.update_now()
        results = [call.value[0] for call in calls if call.value[0] is not None]
        missing = [
            MissingRange(shard.start, shard.end, MissingReason.UNREACHABLE)
            for shard, call in zip(shards, calls, strict=True)
            if call.value[0] is None
        ]
        explanation = Explanation(
            (),
            1,
            len(calls),
            max(call.value[1] for call in calls) * 1_000,
            (loop.now() - started_at) * 1_000,
        )
        return SearchAnswer(
            request_id,
            request.collection,
            snapshot,
            self.version,
            self.configuration.preset.value,
            count_total(results),
            merge_hits(results, request.order, request.limit),
            make_coverage(shards, missing),
            explanation if request.explain else None,
        )

    def search_shard(
        self, request_id: str, request: SearchRequest, shard: Shard, snapshot: Snapshot
    ) -> tuple[ShardResult | None, float]:
        """Return the result of one shard, or None, and the seconds the call took."""
        loop = gevent.get_hub().loop
        started_at = loop.now()
        deadline_ms = request.deadline_ms or DEFAULT_DEADLINE_MS
        message = TargetSearch(
            f"{request_id}.{shard.id}",
            request.collection,
            snapshot,
            deadline_ms,
            (ShardRequest(shard.id, shard.start, shard.end),),
            request.terms,
            request.filters,
            request.order,
            request.limit,
        )
        answer = self.call_target(
            shard.replicas[0],
            "/search",
            message,
            TargetSearchAnswer,
            deadline_ms / 1_000,
        )
        result = answer.results[0] if answer else None
        served = result is not None and result.status is ShardStatus.OK
        loop.update_now()
        return result if served else None, loop.now() - started_at

    def book(self, environ, request: BookingRequest) -> tuple[str, object]:
        """Send the booking to the first replica of its shard, without a retry."""
        key = environ["HTTP_IDEMPOTENCY_KEY"]
        request_id = environ["HTTP_X_REQUEST_ID"]
        deadline_ms = request.deadline_ms or DEFAULT_DEADLINE_MS
        collection = self.configuration.collections[request.collection]
        shard = collection.get_shard(get_position(request.record))
        message = TargetBooking(
            request_id,
            key,
            request.collection,
            request.record,
            request.quantity,
            deadline_ms,
        )
        answer = self.call_target(
            shard.replicas[0],
            "/book",
            message,
            TargetBookingAnswer,
            deadline_ms / 1_000,
        )
        if answer is None or answer.status is not TargetBookingStatus.RAN:
            return "504 Gateway Timeout", make_unknown_outcome(request_id)
        return "200 OK", BookingAnswer(
            request_id, key, answer.result, answer.snapshot, self.version
        )


def make_coverage(shards, missing: list[MissingRange]) -> Coverage:
    """Return the coverage of the shards that are not missing."""
    missing_starts = {item.start for item in missing}
    covered = merge_ranges(
        shard.range for shard in shards if shard.start not in missing_starts
    )
    return Coverage(covered, tuple(missing))


def make_unknown_outcome(request_id: str) -> dict:
    """Return the problem document for a booking that the target did not answer."""
    return {
        "type": "urn:sesameplank:problem:outcome-unknown",
        "title": "Outcome unknown",
        "status": 504,
        "detail": "the target gave no answer",
        "ran": "unknown",
        "remedy": "look the booking up",
        "request_id": request_id,
    }


class NaiveCommand(Command):
    """Run a naive entry."""

    help = "Serves callers without any of the tier's policies, to compare with it."
    settings = EntryCommand.settings

    def handle(self, arguments: list[str], values: dict) -> int:
        """Serve callers until the process is killed."""
        address = Address.parse(values["address"])
        entry = NaiveEntry(Address.parse(values["platform_address"]), address)
        loops = (entry.watch_configuration, entry.watch_vms, entry.watch_snapshots)
        greenlets = [gevent.spawn(loop) for loop in loops]
        try:
            make_server(address, entry).serve_forever()
        finally:
            gevent.killall(greenlets)
        return 0


def main() -> None:
    """Run the command."""
    run_command(NaiveCommand())


if __name__ == "__main__":
    main()
