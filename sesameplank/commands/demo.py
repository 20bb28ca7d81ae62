"""Start a small deployment, run queries and a booking, and print a summary."""

import math
import random

import msgspec
from hdrh.histogram import HdrHistogram

from ..client import Client
from ..conf.settings import Setting
from ..core.common.clock import SystemClock
from ..core.search.messages import Filter, Order, SearchRequest
from ..core.search.ranges import KEY_SPACE, KeyRange
from ..ids import CallerName
from ..standins.deployments import DEPLOYMENTS
from ..standins.fleet import Fleet, reserve_block
from ..standins.records import ITEMS
from ..standins.world import World
from .base import Command, run_command

MAX_LATENCY_US = 60_000_000
PRINTED_ANSWERS = 5
DEADLINE_MS = 10_000


class Summary(msgspec.Struct):
    """The summary that the demonstration prints as its last line.

    `coverage` is the mean over all answers. `snapshots_mixed` counts the complete
    answers whose total differs from a scan of their snapshot.
    """

    queries: int = 0
    whole_answers: int = 0
    coverage: float = 0.0
    snapshots_mixed: int = 0
    p99_ms: float = 0.0
    bookings: int = 0


class DemoCommand(Command):
    """Show searches and a booking end to end, against stand-ins."""

    help = "Starts stand-ins and three entries, runs queries, and stops everything."
    settings = (
        Setting("deployment", "vatuwaqa", "vatuwaqa or chaiyaphum."),
        Setting("queries", 100, "Queries to run."),
        Setting("seed", 1, "Seed of the records and queries."),
    )

    def handle(self, arguments: list[str], values: dict) -> int:
        """Run the demonstration; return 1 if an answer is wrong."""
        deployment = DEPLOYMENTS[values["deployment"]]
        rng = random.Random(values["seed"])
        with (
            reserve_block() as block,
            World(deployment, block, values["seed"], entries=3) as world,
            Fleet(world.vms, world.platform_address) as fleet,
        ):
            caller = next(iter(deployment.callers))
            with Client(CallerName(caller), fleet.addresses, rng) as client:
                summary = run_queries(world, client, rng, values["queries"])
        print(msgspec.json.encode(summary).decode())
        return 0 if summary.snapshots_mixed == 0 else 1


def run_queries(
    world: World, client: Client, rng: random.Random, count: int
) -> Summary:
    """Run one booking and `count` queries, and return a summary of the answers."""
    clock = SystemClock()
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    summary = Summary(queries=count)
    collection = world.deployment.services[0].collection
    record = next(iter(world.stores[collection].records))
    booked = client.book(collection, record, deadline_ms=DEADLINE_MS)
    summary.bookings = 1
    print(f"booking {booked.result.value}, readable from snapshot {booked.snapshot}")
    fractions: list[float] = []
    for number in range(count):
        request = SearchRequest(
            collection=collection,
            terms=(rng.choice(ITEMS),),
            filters=(Filter("colour", "gold"),),
            order=Order("price"),
            limit=5,
        )
        started_at = clock.now()
        answer = client.search(request, DEADLINE_MS)
        histogram.record_value(int((clock.now() - started_at) * 1e6))
        summary.whole_answers += answer.coverage.is_whole
        fractions.append(answer.coverage.fraction)
        if not matches_scan(world, request, answer):
            summary.snapshots_mixed += 1
        if number < PRINTED_ANSWERS:
            print(
                f"{request.terms[0]}: {answer.total} found, snapshot "
                f"{answer.snapshot}, coverage {answer.coverage.fraction:.3f}, "
                f"first {[hit.key for hit in answer.hits]}"
            )
    summary.coverage = math.fsum(fractions) / len(fractions) if fractions else 0.0
    summary.p99_ms = histogram.get_value_at_percentile(99) / 1_000
    return summary


def matches_scan(world: World, request: SearchRequest, answer) -> bool:
    """Return whether a scan of the answer's snapshot finds as many records.

    An answer with incomplete coverage always counts as a match.
    """
    store = world.stores[request.collection]
    found = store.scan(
        KeyRange(0, KEY_SPACE), answer.snapshot, request.terms, request.filters
    )
    return not answer.coverage.is_whole or len(found) == answer.total


def main() -> None:
    """Run the binary."""
    run_command(DemoCommand())


if __name__ == "__main__":
    main()
