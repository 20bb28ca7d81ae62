"""An in-process fleet for differential tests of queries, without sockets."""

import random

import gevent
import msgspec
from hypothesis import strategies as st

from sesameplank.conf import Collection, Configuration, PublishedConfiguration, Shard
from sesameplank.conf.documents import Caller, PresetName, Target
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.common.outcomes import Failure, FailureReason, Ran
from sesameplank.core.published.versions import ConfigurationStore
from sesameplank.core.search.choice import RandomReplicaChooser
from sesameplank.core.search.hedging import NoHedges
from sesameplank.core.search.messages import Filter, Order, SearchAnswer, SearchRequest
from sesameplank.core.search.ranges import KEY_SPACE
from sesameplank.core.search.snapshots import SnapshotTracker
from sesameplank.queries import QueryRunner
from sesameplank.standins.records import COLOURS, ITEMS, make_records
from sesameplank.standins.store import TICK_S, RecordStore
from sesameplank.standins.targets import TargetStandin
from sesameplank.targets import Dispatcher

from .naive import find_difference

COLLECTION_NAME = "order-desk"
STEP_S = 0.002
TARGETS = ("a", "b", "c", "d")
TARGET_PAIRS = (("a", "b"), ("c", "d"), ("a", "c"), ("b", "d"))
RECORD_COUNT = 60
DEADLINE_S = 3.0


class SteppingClock(ManualClock):
    """A clock that advances by STEP_S each time it is read."""

    def now(self) -> float:
        """Return the time in seconds, after advancing the clock by one step."""
        self.advance(STEP_S)
        return super().now()


class Event(msgspec.Struct, frozen=True):
    """An event that `ScriptedWorld` applies at the call number `at_call`.

    Searches and sleeps count as calls. `number` is a parameter whose meaning depends
    on the kind; see `ScriptedWorld.apply_event`.
    """

    at_call: int
    kind: str
    number: int


class ScriptedWorld(Dispatcher):
    """Targets in this process, with a script of events to apply to them.

    `cuts` are the positions at which the key space is divided into shards.
    """

    def __init__(self, seed: int, cuts: list[int], script: list[Event]) -> None:
        self.rng = random.Random(seed)
        self.clock = SteppingClock(1_000.0)
        self.record_store = RecordStore(
            COLLECTION_NAME, make_records(RECORD_COUNT, seed), self.clock, 995.0, seed
        )
        self.configuration_store = ConfigurationStore(self.clock)
        self.script = sorted(script, key=lambda event: event.at_call)
        self.calls = 0
        self.remaining_failures = {}
        self.shards = make_shards(cuts)
        self.targets = {
            name: TargetStandin(
                name,
                self.record_store,
                Collection(self.shards),
                8,
                random.Random(seed),
                self.clock,
            )
            for name in TARGETS
        }
        for target in self.targets.values():
            target.slow_factor = 0.0
        self.publish()
        self.runner = QueryRunner(
            self,
            SnapshotTracker(self.clock),
            RandomReplicaChooser(self.rng),
            lambda pinned: NoHedges(),
            self.clock,
            get_newest_configuration=lambda: self.configuration_store.current,
            sleep=self.sleep,
        )

    def publish(self) -> None:
        """Publish the current shard map to the configuration store."""
        document = Configuration(
            deployment="test",
            preset=PresetName.ORDINARY,
            targets={
                name: Target(f"127.0.0.1:{9_000 + index}", "lautoka")
                for index, name in enumerate(TARGETS)
            },
            collections={COLLECTION_NAME: Collection(self.shards)},
            callers={"clerk": Caller()},
        )
        version = self.configuration_store.version + 1
        raw = msgspec.Raw(msgspec.json.encode(document))
        self.configuration_store.offer(PublishedConfiguration(version, raw))

    def split(self, number: int) -> None:
        """Split a shard and move its upper half to another pair of targets."""
        index = number % len(self.shards)
        parent = self.shards[index]
        if parent.end - parent.start < 2:
            return
        middle = (parent.start + parent.end) // 2
        halves = (
            Shard(f"{parent.id}l", parent.start, middle, parent.replicas),
            Shard(
                f"{parent.id}u",
                middle,
                parent.end,
                TARGET_PAIRS[number % len(TARGET_PAIRS)],
            ),
        )
        self.shards = (*self.shards[:index], *halves, *self.shards[index + 1 :])
        for target in self.targets.values():
            target.set_shards(Collection(self.shards))

    def change_stock(self, number: int) -> None:
        """Set the stock of every seventh record, effective from the next snapshot."""
        snapshot = self.record_store.get_snapshot() + 1
        for key in self.record_store.keys[number % 7 :: 7]:
            self.record_store.set_stock(key, snapshot, number)

    def apply_event(self, event: Event) -> None:
        """Apply one event of the script."""
        target = self.targets[TARGETS[event.number % len(TARGETS)]]
        if event.kind == "tick":
            self.clock.advance(TICK_S * (1 + event.number % 30))
        elif event.kind == "change":
            self.change_stock(event.number)
        elif event.kind == "split":
            self.split(event.number)
        elif event.kind == "publish":
            self.publish()
        elif event.kind == "restart":
            target.lag_s = TICK_S * (event.number % 25)
        elif event.kind == "fail":
            self.remaining_failures[target.target_id] = 1 + event.number % 6

    def run_script(self) -> None:
        """Count a call or a sleep, and apply the events that are due."""
        self.calls += 1
        while self.script and self.script[0].at_call <= self.calls:
            self.apply_event(self.script.pop(0))

    def sleep(self, seconds: float) -> None:
        """Advance the clock instead of waiting, and let other greenlets run."""
        self.run_script()
        self.clock.advance(seconds)
        gevent.sleep(0)

    def search(self, target, message, deadline_at):
        """Return the target's answer to a search, or a scripted failure."""
        self.run_script()
        if self.remaining_failures.get(target, 0) > 0:
            self.remaining_failures[target] -= 1
            return Failure(FailureReason.RESET, Ran.UNKNOWN)
        return self.targets[target].handle_search(msgspec.json.encode(message))

    def book(self, target, message, deadline_at):
        """Return a refusal, since these tests make no bookings."""
        return Failure(FailureReason.REFUSED, Ran.NOT_RUN)

    def ask(self, request: SearchRequest) -> SearchAnswer:
        """Run a query and return its answer."""
        pinned = self.configuration_store.current
        deadline_at = self.clock.now() + DEADLINE_S
        return self.runner.run("q", request, pinned, deadline_at).answer

    def find_difference(self, request: SearchRequest, answer: SearchAnswer) -> str:
        """Return how an answer differs from a naive scan, or an empty string."""
        return find_difference(self.record_store, request, answer)


def make_shards(cuts: list[int]) -> tuple[Shard, ...]:
    """Return the shards between the cuts, with rotating pairs of targets."""
    bounds = [0, *sorted(set(cuts)), KEY_SPACE]
    return tuple(
        Shard(
            f"s{index}",
            bounds[index],
            bounds[index + 1],
            TARGET_PAIRS[index % len(TARGET_PAIRS)],
        )
        for index in range(len(bounds) - 1)
    )


CUTS = st.lists(st.integers(1, KEY_SPACE - 1), max_size=7)
EVENTS = st.builds(
    Event,
    at_call=st.integers(1, 60),
    kind=st.sampled_from(["tick", "change", "split", "publish", "restart", "fail"]),
    number=st.integers(0, 60),
)
REQUESTS = st.builds(
    SearchRequest,
    collection=st.just(COLLECTION_NAME),
    terms=st.lists(st.sampled_from(ITEMS + COLOURS), max_size=1).map(tuple),
    filters=st.lists(
        st.builds(Filter, st.just("colour"), st.sampled_from(COLOURS)), max_size=1
    ).map(tuple),
    order=st.builds(
        Order, st.sampled_from(["key", "price", "stock", "item"]), st.booleans()
    ),
    limit=st.sampled_from([0, 1, 7, 1_000]),
    at_least_snapshot=st.integers(0, 2),
)
