"""Measures the cost to a process of one more target, shard, peer or call.

Each measurement runs at several sizes and fits a line to the costs by least
squares. The slope is the cost of one more unit, in microseconds of processor time
or in bytes.
"""

import time
import tracemalloc
from collections.abc import Callable, Sequence

import cbor2
import msgspec

from ..conf import (
    Caller,
    Collection,
    Configuration,
    PresetName,
    PublishedConfiguration,
    Shard,
    Target,
    decode_configuration,
)
from ..core.membership.homes import rank
from ..core.search.choice import FirstReplicaChooser
from ..core.search.hedging import NoHedges
from ..core.search.merge import count_total, merge_hits
from ..core.search.messages import (
    Order,
    ShardRequest,
    ShardResult,
    ShardStatus,
    TargetSearch,
    TargetSearchAnswer,
)
from ..core.search.plan import PlannedShard, make_plan
from ..core.search.query import QueryState
from ..core.search.ranges import KEY_SPACE, KeyRange
from ..core.search.snapshots import HeldSnapshots, SnapshotTracker
from ..ids import (
    CallerName,
    CollectionName,
    ConfigVersion,
    DataCentre,
    EntryId,
    RequestId,
    ShardId,
    Snapshot,
    TargetId,
)
from ..standins.records import make_records

COLLECTION = CollectionName("orders")
SEARCHERS_PER_TARGET = 2
REPLICAS = 2
HITS_PER_SHARD = 10
MIN_TIMING_S = 0.3


class Point(msgspec.Struct, frozen=True):
    """A measured size and its cost."""

    size: int
    cost: float


class Slope(msgspec.Struct, frozen=True):
    """The fitted line of one measurement: cost = intercept + slope * size."""

    name: str
    unit: str
    points: tuple[Point, ...]
    slope: float
    intercept: float


def fit_line(name: str, unit: str, points: Sequence[Point]) -> Slope:
    """Return the least-squares line through the points."""
    count = len(points)
    mean_x = sum(item.size for item in points) / count
    mean_y = sum(item.cost for item in points) / count
    sum_xx = sum((item.size - mean_x) ** 2 for item in points)
    sum_xy = sum((item.size - mean_x) * (item.cost - mean_y) for item in points)
    slope = sum_xy / sum_xx
    return Slope(name, unit, tuple(points), slope, mean_y - slope * mean_x)


def time_call_us(action: Callable[[], object]) -> float:
    """Return the mean processor time of a call in microseconds, over many calls."""
    action()
    calls = 0
    started = time.process_time()
    while time.process_time() - started < MIN_TIMING_S:
        action()
        calls += 1
    return (time.process_time() - started) / calls * 1e6


def measure(
    name: str, unit: str, sizes: Sequence[int], cost: Callable[[int], float]
) -> Slope:
    """Return the line fitted to the cost measured at each size."""
    return fit_line(name, unit, [Point(size, cost(size)) for size in sizes])


def make_configuration(searchers: int) -> Configuration:
    """Return a configuration with this number of searchers, two on each target."""
    targets = {
        TargetId(f"target-{index:05d}"): Target(
            address=f"10.{index // 65536}.{index // 256 % 256}.{index % 256}:7100",
            data_centre=DataCentre(f"dc-{index % 15:02d}"),
        )
        for index in range(searchers // SEARCHERS_PER_TARGET)
    }
    ids = list(targets)
    shards = searchers // REPLICAS
    bounds = [round(index * KEY_SPACE / shards) for index in range(shards + 1)]
    return Configuration(
        deployment="capacity",
        preset=PresetName.ORDINARY,
        targets=targets,
        collections={
            COLLECTION: Collection(
                tuple(
                    Shard(
                        ShardId(f"s{index:05d}"),
                        bounds[index],
                        bounds[index + 1],
                        choose_replicas(ids, index),
                    )
                    for index in range(shards)
                )
            )
        },
        callers={CallerName("desk"): Caller()},
    )


def choose_replicas(ids: Sequence[TargetId], index: int) -> tuple[TargetId, ...]:
    """Return two neighbouring targets as the replicas of a shard."""
    return (ids[index % len(ids)], ids[(index + 1) % len(ids)])


def measure_configuration_bytes(searchers: int) -> float:
    """Return the size of an encoded configuration in bytes."""
    return len(msgspec.json.encode(make_configuration(searchers)))


def measure_configuration_decode(searchers: int) -> float:
    """Return the microseconds of processor time to decode and validate a document."""
    document = msgspec.json.encode(make_configuration(searchers))
    return time_call_us(lambda: decode_configuration(document))


def measure_configuration_memory(searchers: int) -> float:
    """Return the memory of a decoded configuration and its document, in bytes."""
    document = msgspec.json.encode(make_configuration(searchers))
    tracemalloc.start()
    published = PublishedConfiguration(ConfigVersion(1), msgspec.Raw(document))
    # The list keeps both objects in memory until their size is read.
    retained = [published, decode_configuration(document)]
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(used + len(document)) if retained else 0.0


def measure_tracker_memory(searchers: int) -> float:
    """Return the memory of a snapshot tracker of this many replicas, in bytes."""
    tracemalloc.start()
    tracker = SnapshotTracker()
    for index in range(searchers):
        tracker.observe(
            COLLECTION,
            ShardId(f"s{index // REPLICAS:05d}"),
            TargetId(f"target-{index:05d}"),
            HeldSnapshots(Snapshot(1), Snapshot(index + 2)),
        )
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(used)


def make_shards(count: int) -> list[PlannedShard]:
    """Return planned shards that cover the key space, two on each pair of targets."""
    bounds = [round(index * KEY_SPACE / count) for index in range(count + 1)]
    return [
        PlannedShard(
            ShardId(f"s{index:05d}"),
            KeyRange(bounds[index], bounds[index + 1]),
            (TargetId(f"a{index // 2}"), TargetId(f"b{index // 2}")),
        )
        for index in range(count)
    ]


def measure_query_state(shards: int) -> float:
    """Return the processor time of planning and merging a query, in microseconds."""
    planned = make_shards(shards)
    records = tuple(make_records(HITS_PER_SHARD, 1))
    order = Order()

    def run() -> None:
        state = QueryState(
            make_plan(COLLECTION, Snapshot(5), planned),
            FirstReplicaChooser(),
            NoHedges(),
        )
        for attempt in state.start(0.0):
            results = tuple(
                ShardResult(item, ShardStatus.OK, 1, 9, HITS_PER_SHARD, records)
                for item in attempt.shards
            )
            answer = TargetSearchAnswer(RequestId("r"), Snapshot(5), results)
            state.on_answer(attempt.id, answer, 1.0)
        state.get_coverage()
        found = state.get_results()
        count_total(found)
        merge_hits(found, order, HITS_PER_SHARD)

    return time_call_us(run)


def make_relay_batch(requests: int) -> list[TargetSearch]:
    """Return searches of one shard each, as a relay would forward them."""
    return [
        TargetSearch(
            RequestId(f"entry-0001-{index}.0"),
            COLLECTION,
            Snapshot(7),
            70,
            (ShardRequest(ShardId("s00001"), 0, 24),),
            ("lantern",),
        )
        for index in range(requests)
    ]


def measure_relay_request(requests: int) -> float:
    """Return the microseconds of processor time to encode and decode the calls."""
    batch = make_relay_batch(requests)

    def run() -> None:
        data = cbor2.dumps(msgspec.to_builtins(batch))
        msgspec.convert(cbor2.loads(data), list[TargetSearch])

    return time_call_us(run)


def measure_relay_answer(answers: int) -> float:
    """Return the microseconds of processor time to encode and decode the answers."""
    records = tuple(make_records(HITS_PER_SHARD, 1))
    result = ShardResult(ShardId("s1"), ShardStatus.OK, 1, 9, 10, records)
    batch = [TargetSearchAnswer(RequestId("r"), Snapshot(7), (result,))] * answers

    def run() -> None:
        data = cbor2.dumps(msgspec.to_builtins(batch))
        msgspec.convert(cbor2.loads(data), list[TargetSearchAnswer])

    return time_call_us(run)


def measure_relay_bytes(requests: int) -> float:
    """Return the encoded size of a batch of calls in bytes."""
    return len(cbor2.dumps(msgspec.to_builtins(make_relay_batch(requests))))


def measure_entry_ranking(entries: int) -> float:
    """Return the microseconds of processor time to rank all entries for a target."""
    ids = [EntryId(f"entry-{index:04d}") for index in range(entries)]
    return time_call_us(lambda: rank("target-1", ids))


MEASUREMENTS = (
    ("configuration size", "bytes", (50, 500, 5_700), measure_configuration_bytes),
    ("configuration check", "us", (50, 500, 5_700), measure_configuration_decode),
    ("configuration memory", "bytes", (50, 500, 5_700), measure_configuration_memory),
    ("snapshot tracker memory", "bytes", (50, 500, 5_700), measure_tracker_memory),
    ("query plan and merge", "us", (20, 80, 320), measure_query_state),
    ("relayed call", "us", (1, 16, 256), measure_relay_request),
    ("relayed answer of ten hits", "us", (1, 16, 256), measure_relay_answer),
    ("relayed call size", "bytes", (1, 16, 256), measure_relay_bytes),
    ("ranking entries for a target", "us", (8, 128, 1_400), measure_entry_ranking),
)


def measure_all() -> list[Slope]:
    """Return the slopes of all measurements."""
    return [measure(*item) for item in MEASUREMENTS]
