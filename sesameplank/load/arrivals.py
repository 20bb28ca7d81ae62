"""Seeded arrivals: open-loop Poisson arrival times and the request sent at each."""

import random
from collections.abc import Iterator, Sequence

import msgspec

from ..conf.documents import CallerClass
from ..core.search.messages import Filter, Order, SearchRequest
from ..ids import CallerName, CollectionName, RecordKey, RequestId
from ..standins.deployments import Deployment
from ..standins.records import COLOURS, ITEMS, PLACES
from ..standins.world import RECORDS_PER_COLLECTION
from .capacity import BOOKING_SHARE, SERVICE_SHARES, get_arrival_rate

CLASS_SHARES = {
    CallerClass.FIRST: 0.5,
    CallerClass.SECOND: 0.3,
    CallerClass.THIRD: 0.2,
}
EXPLAIN_EVERY = 10
SEARCH_LIMIT = 10


class Phase(msgspec.Struct, frozen=True):
    """An interval of constant load.

    `load` is a multiple of the first service's capacity. Times are in seconds
    since the start of the run; those that a scenario returns are in seconds since
    the start of its measured part.
    """

    start_s: float
    end_s: float
    load: float


class BookedStock(msgspec.Struct, frozen=True):
    """The stock that one booking requests, which is unique within a run.

    It identifies the booking even if the caller sent it under several
    idempotency keys.
    """

    collection: CollectionName
    record: RecordKey
    quantity: int


class Arrival(msgspec.Struct, frozen=True):
    """One request and the time at which it is due.

    Either `search` or `stock` is set: the query, or the stock to book. `at_s` is
    in seconds since the start of the run.
    """

    index: int
    at_s: float
    request_id: RequestId
    caller: CallerName
    priority: CallerClass
    collection: CollectionName
    search: SearchRequest | None = None
    stock: BookedStock | None = None


def make_arrivals(
    deployment: Deployment,
    phases: Sequence[Phase],
    seed: int,
    booking_share: float = BOOKING_SHARE,
) -> list[Arrival]:
    """Return all arrivals of a run; the same arguments give the same arrivals."""
    rng = random.Random(f"arrivals-{seed}")
    maker = ArrivalMaker(deployment, rng, booking_share)
    return [
        maker.make(index, at_s)
        for index, at_s in enumerate(make_times(deployment, phases, booking_share, rng))
    ]


def make_times(
    deployment: Deployment,
    phases: Sequence[Phase],
    booking_share: float,
    rng: random.Random,
) -> Iterator[float]:
    """Yield Poisson arrival times, in seconds since the start of the run."""
    for phase in phases:
        rate = get_arrival_rate(deployment, phase.load, booking_share)
        if rate <= 0:
            continue
        at_s = phase.start_s + rng.expovariate(rate)
        while at_s < phase.end_s:
            yield at_s
            at_s += rng.expovariate(rate)


class ArrivalMaker:
    """Draws the caller and the request of each arrival at random."""

    def __init__(
        self, deployment: Deployment, rng: random.Random, booking_share: float
    ) -> None:
        self.rng = rng
        self.booking_share = booking_share
        self.callers = list(deployment.callers.items())
        self.weights = [get_weight(deployment, name) for name in deployment.callers]
        self.records = [
            RecordKey(f"r{index:06d}") for index in range(RECORDS_PER_COLLECTION)
        ]
        rng.shuffle(self.records)
        self.booking_count = 0
        self.collections = [item.collection for item in deployment.services]

    def make(self, index: int, at_s: float) -> Arrival:
        """Return the arrival with this index, due `at_s` seconds into the run."""
        caller, priority = self.rng.choices(self.callers, self.weights)[0]
        common_fields = (index, at_s, RequestId(f"load-{index}"), caller, priority)
        if self.rng.random() < self.booking_share:
            return self.make_booking(common_fields)
        (collection,) = self.rng.choices(self.collections, SERVICE_SHARES)
        return Arrival(
            *common_fields, collection, search=self.make_search(index, collection)
        )

    def make_booking(self, common_fields: tuple) -> Arrival:
        """Return a booking of stock of the deployment's first service.

        The quantity grows by one with each cycle through the records, so that no
        two bookings request the same stock.
        """
        cycle, index = divmod(self.booking_count, len(self.records))
        self.booking_count += 1
        collection = self.collections[0]
        stock = BookedStock(collection, self.records[index], 1 + cycle)
        return Arrival(*common_fields, collection, stock=stock)

    def make_search(self, index: int, collection: CollectionName) -> SearchRequest:
        """Return a query by item, by colour and place, or by item and colour."""
        kind = self.rng.randrange(3)
        terms = (self.rng.choice(ITEMS),) if kind != 1 else ()
        filters = (Filter("colour", self.rng.choice(COLOURS)),) if kind != 0 else ()
        if kind == 1:
            filters += (Filter("place", self.rng.choice(PLACES)),)
        return SearchRequest(
            collection=collection,
            terms=terms,
            filters=filters,
            order=Order(self.rng.choice(("price", "stock", "key")), kind == 2),
            limit=SEARCH_LIMIT,
            explain=index % EXPLAIN_EVERY == 0,
        )


def get_weight(deployment: Deployment, name: CallerName) -> float:
    """Return a caller's share of all arrivals.

    The share of a priority class is divided evenly among its callers.
    """
    priority = deployment.callers[name]
    class_size = sum(item is priority for item in deployment.callers.values())
    return CLASS_SHARES[priority] / class_size
