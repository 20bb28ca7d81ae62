"""Tests of the parts of a rate limit that processes with different views use."""

import random
from enum import Enum

import testtools

from sesameplank.core.limits.limit_parts import SPARE_HOLDERS, ActiveVmParts
from sesameplank.core.limits.slack_share import UNKNOWN_FLEET_SIZE
from sesameplank.core.limits.target_limits import LimitNews, TargetLimits
from sesameplank.core.membership.fleet_share import MAX_PARTITION_S

TARGET = "t1"
STEP_S = 0.1
NAMED_VMS = 2
NOTICE_INTERVAL_S = 1.0
WINDOW_S = 4.0
TOLERANCE = 1.5
SPARE_CALLS = 5


class Views(Enum):
    """What the processes of a fleet see of each other.

    WHOLE        all others
    PARTITIONED  those on their side of a partition
    RANDOM       random others
    """

    WHOLE = "whole"
    PARTITIONED = "partitioned"
    RANDOM = "random"


class Process:
    """A process of a simulated fleet; `knows_at` is when it hears of the limit."""

    def __init__(self, name: str, knows_at: float) -> None:
        self.name = name
        self.parts = ActiveVmParts(name, NAMED_VMS)
        self.limits = TargetLimits(self.parts)
        self.knows_at = knows_at


class Fleet:
    """A fleet in virtual time that sends as many calls to one target as it may.

    All processes see each other until `SETTLED_S`. What they see then changes again
    and again, as `views` says.
    Processes tell those that they see among how many VMs they divide limits.
    """

    SETTLED_S = 5.0

    def __init__(
        self, size: int, active: int, per_s: float, seed: int, views: Views
    ) -> None:
        self.rng = random.Random(seed)
        self.names = [f"vm{number}" for number in range(size)]
        self.active = active
        self.per_s = per_s
        self.kind_of_views = views
        self.processes = {name: Process(name, 0.0) for name in self.names}
        self.views = {name: set(self.names) for name in self.names}
        self.next_change_at = self.SETTLED_S
        self.spends_from = 0.0
        self.calls: list[float] = []

    def run(self, seconds: float, restart_rate: float) -> None:
        """Play the fleet; each process restarts `restart_rate` times a second."""
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            if now >= self.next_change_at:
                self.change(now)
            for name in self.names:
                if now > self.SETTLED_S and self.rng.random() < restart_rate * STEP_S:
                    self.restart(name, now)
                self.step(self.processes[name], now)

    def change(self, now: float) -> None:
        """Draw new views, and the next time of change and of spending."""
        if self.kind_of_views is Views.RANDOM:
            for name in self.names:
                seen = {item for item in self.names if self.rng.random() < 0.6}
                self.views[name] = {name, *seen}
        elif self.kind_of_views is Views.PARTITIONED:
            names = list(self.names)
            self.rng.shuffle(names)
            sides = self.rng.choice((1, 2, 3, len(names)))
            for number in range(sides):
                for name in names[number::sides]:
                    self.views[name] = set(names[number::sides])
        self.next_change_at = now + self.rng.uniform(0.5, 20.0)
        self.spends_from = now + self.rng.uniform(0.0, 10.0)

    def restart(self, name: str, now: float) -> None:
        """Start a process anew, which knows nothing of the limit at first."""
        self.processes[name] = Process(name, now + self.rng.uniform(0.1, 2.0))

    def step(self, process: Process, now: float) -> None:
        """Play one process, which spends all tokens that it has."""
        active = sorted(self.views[process.name])[: self.active]
        process.parts.update(active, len(self.views[process.name]), now)
        if self.rng.random() < STEP_S / NOTICE_INTERVAL_S:
            others = self.views[process.name] - {process.name}
            told = (self.processes[item].parts.fleet.largest for item in others)
            process.parts.fleet.note_told(max(told, default=0), now)
        if now < process.knows_at:
            return
        news = LimitNews(self.per_s)
        process.limits.note_answer(TARGET, news, now, now)
        while now >= self.spends_from and process.limits.take(TARGET, now):
            self.calls.append(now)

    def get_most_calls(self) -> int:
        """Return the greatest number of calls in any window of WINDOW_S."""
        return max(
            (
                sum(start <= at < start + WINDOW_S for at in self.calls)
                for start in self.calls
            ),
            default=0,
        )


class RandomViewsTests(testtools.TestCase):
    """A limit holds for the sum over all processes."""

    SECONDS = 40.0
    CASES = (
        # VMs, VMs that can be active, limit a second
        (2, 2, 3.0),
        (3, 3, 0.4),
        (7, 7, 11.8),
        (8, 8, 4.7),
        (8, 8, 60.0),
        (40, 19, 2.4),
        (84, 19, 2.4),
        (84, 19, 24.0),
    )

    def play(
        self,
        *fleet: float,
        restart_rate: float,
        views: Views,
        seeds: int = 3,
        seconds: float = SECONDS,
    ) -> None:
        """Play a fleet with several seeds, and assert that the limit holds."""
        for seed in range(seeds):
            played = Fleet(*fleet, seed, views)
            played.run(seconds, restart_rate)
            allowed = TOLERANCE * fleet[-1] * WINDOW_S + SPARE_CALLS
            self.assertLessEqual(played.get_most_calls(), allowed, (fleet, seed))

    def test_partitions_in_series(self):
        for fleet in self.CASES:
            self.play(*fleet, restart_rate=0.0, views=Views.PARTITIONED)

    def test_random_views(self):
        for fleet in self.CASES:
            self.play(*fleet, restart_rate=0.0, views=Views.RANDOM)

    def test_restarts_in_series(self):
        for fleet in self.CASES:
            self.play(*fleet, restart_rate=0.2, views=Views.WHOLE)

    def test_partitions_and_restarts_together(self):
        for fleet in ((7, 7, 11.8), (8, 8, 4.7)):
            self.play(
                *fleet, restart_rate=0.02, views=Views.PARTITIONED, seeds=10, seconds=60
            )

    def test_fleet_in_one_piece_can_use_most_of_the_limit(self):
        for size, active, per_s in ((7, 7, 11.8), (84, 19, 2.4), (8, 8, 0.4)):
            fleet = Fleet(size, active, per_s, 1, Views.WHOLE)
            fleet.next_change_at = float("inf")
            fleet.run(self.SECONDS, 0.0)
            possible = per_s * (self.SECONDS - fleet.SETTLED_S)
            self.assertGreaterEqual(len(fleet.calls), 0.9 * possible, size)


class ActiveVmPartsTests(testtools.TestCase):
    """The parts for single views."""

    NAMES = ("a", "b", "c", "d")

    def make(self, *active: str, present: int | None = None) -> ActiveVmParts:
        parts = ActiveVmParts("a", NAMED_VMS)
        parts.update(active, len(active) if present is None else present, 0.0)
        return parts

    def test_limit_is_divided_equally(self):
        parts = self.make(*self.NAMES)
        self.assertEqual(2.5, parts.get_part_per_s(TARGET, 10.0))

    def test_small_limit_is_divided_among_few(self):
        names = [f"vm{number}" for number in range(20)]
        holders = 0
        for name in names:
            parts = ActiveVmParts(name, NAMED_VMS)
            parts.update(names, len(names), 0.0)
            holders += parts.get_part_per_s(TARGET, 1.0) > 0.0
        self.assertEqual(1 + SPARE_HOLDERS, holders)

    def test_side_of_a_partition_uses_the_part_of_its_vms(self):
        parts = self.make(*self.NAMES)
        parts.update(("a",), 1, 1.0)
        self.assertEqual(2.5, parts.get_part_per_s(TARGET, 10.0))
        self.assertEqual(0.0, parts.get_part_per_s(TARGET, 0.5))

    def test_smaller_fleet_counts_as_whole_after_the_longest_partition(self):
        parts = self.make(*self.NAMES)
        parts.update(("a", "b"), 2, 1.0)
        parts.update(("a", "b"), 2, MAX_PARTITION_S + 1.0)
        self.assertEqual(5.0, parts.get_part_per_s(TARGET, 10.0))

    def test_vm_that_is_not_active_has_no_part(self):
        parts = self.make("b", "c", present=4)
        self.assertEqual(0.0, parts.get_part_per_s(TARGET, 10.0))

    def test_process_that_has_just_started_hears_of_the_vms_that_are_away(self):
        parts = self.make("a", "b")
        parts.fleet.note_told(4, 0.0)
        parts.update(("a", "b"), 2, 0.1)
        self.assertEqual(2.5, parts.get_part_per_s(TARGET, 10.0))

    def test_process_that_knows_no_other_takes_little(self):
        self.assertEqual(
            10.0 / UNKNOWN_FLEET_SIZE, self.make("a").get_part_per_s(TARGET, 10.0)
        )
        alone = ActiveVmParts("a", 1)
        alone.update(("a",), 1, 0.0)
        self.assertEqual(10.0, alone.get_part_per_s(TARGET, 10.0))
