"""Tests of the parts of the slack that processes with different views use."""

import random

import testtools

from sesameplank.core.forwarding.extra_load import ExtraLoadBounds, ExtraLoadBudget
from sesameplank.core.limits.slack_share import (
    MIN_ACTIVE_VMS,
    UNKNOWN_FLEET_SIZE,
    SlackShare,
)
from sesameplank.core.membership.fleet_share import MAX_PARTITION_S

BOUNDS = ExtraLoadBounds(ratio=0.2, slack=56.0, window_s=10.0)
STEP_S = 0.25
REQUESTS_PER_S = 3.0  # Of the whole fleet; so few that the slack is most of the bound.
SERVICE = "s"


class Process:
    """A process of a simulated fleet with its view: the VMs that it can reach."""

    def __init__(self, number: int, now: float) -> None:
        self.number = number
        self.budget = ExtraLoadBudget(BOUNDS, now, slack_share=0.0)
        self.share = SlackShare()

    def update(self, view: list[int], useful: int, now: float) -> None:
        """Apply a view, of which the first `useful` VMs are active."""
        active = sorted(view)[:useful]
        share = self.share.update(
            now,
            present=len(view),
            active=len(active),
            useful=useful,
            is_active=self.number in active,
        )
        self.budget.set_slack_share(share, now)


class Fleet:
    """A fleet whose views, restarts and demand for extra calls are random.

    All processes see each other until `SETTLED_S`, and a process that restarts
    starts with the view of its side.
    """

    SETTLED_S = 5.0

    def __init__(self, size: int, useful: int, rng: random.Random) -> None:
        self.size = size
        self.useful = useful
        self.rng = rng
        self.processes = [Process(number, 0.0) for number in range(size)]
        self.sides: list[list[int]] = [list(range(size))]
        self.next_change_at = self.SETTLED_S
        self.spends_from = 0.0
        self.requests: list[float] = []
        self.extra_calls: list[float] = []

    def run(self, seconds: float, restart_rate: float) -> None:
        """Play the fleet; each process restarts `restart_rate` times a second."""
        now = 0.0
        while now < seconds:
            if now >= self.next_change_at:
                self.change(now)
            for side in self.sides:
                for number in side:
                    self.step(number, side, restart_rate, now)
            now += STEP_S

    def change(self, now: float) -> None:
        """Draw new sides of a partition, and the next time of change and spending."""
        numbers = list(range(self.size))
        self.rng.shuffle(numbers)
        sides = self.rng.choice((1, 2, 3, self.size))
        self.sides = [part for n in range(sides) if (part := numbers[n::sides])]
        self.next_change_at = now + self.rng.uniform(0.5, 20.0)
        self.spends_from = now + self.rng.uniform(0.0, 10.0)

    def step(
        self, number: int, side: list[int], restart_rate: float, now: float
    ) -> None:
        """Play one process: restart it, send requests, spend all of its budget."""
        if now > self.SETTLED_S and self.rng.random() < restart_rate * STEP_S:
            self.processes[number] = Process(number, now)
        process = self.processes[number]
        process.update(side, self.useful, now)
        if self.rng.random() < REQUESTS_PER_S * STEP_S / self.size:
            process.budget.note_request(SERVICE, now)
            self.requests.append(now)
        if now >= self.spends_from:
            while process.budget.take(SERVICE, now):
                self.extra_calls.append(now)

    def get_worst_share(self, seconds: int) -> float:
        """Return the greatest share of the bound that any window used."""
        worst = 0.0
        for start in range(seconds - 10):
            requests = sum(start <= at < start + 10 for at in self.requests)
            extra = sum(start <= at < start + 10 for at in self.extra_calls)
            worst = max(worst, extra / (0.2 * requests + 56.0))
        return worst


class RandomViewsTests(testtools.TestCase):
    """The bound on extra load holds for the sum over all processes."""

    SECONDS = 60
    CASES = (
        # VMs, VMs that can be active, restarts a second of each process
        (3, 7, 0.02),
        (6, 7, 0.02),
        (8, 7, 0.02),
        (8, 8, 0.2),
        (40, 19, 0.0),
        (84, 19, 0.0),
    )

    def test_partitions_and_restarts_in_series(self):
        for size, useful, restart_rate in self.CASES:
            for seed in range(4):
                fleet = Fleet(size, useful, random.Random(seed))
                fleet.run(self.SECONDS, restart_rate)
                worst = fleet.get_worst_share(self.SECONDS)
                self.assertLessEqual(worst, 1.0, (size, useful, seed))

    def test_fleet_in_one_piece_can_use_most_of_the_bound(self):
        fleet = Fleet(7, 7, random.Random(1))
        fleet.next_change_at = float("inf")
        fleet.spends_from = 30.0
        fleet.run(self.SECONDS, 0.0)
        self.assertGreaterEqual(fleet.get_worst_share(self.SECONDS), 0.7)


class SlackShareTests(testtools.TestCase):
    """The parts for single views."""

    def get(self, share: SlackShare, now=0.0, **changes) -> float:
        view = {"present": 8, "active": 7, "useful": 7, "is_active": True, **changes}
        return share.update(now, **view)

    def test_part_by_view(self):
        for changes, expected in (
            ({}, 1 / 7),
            ({"is_active": False}, 0.0),
            ({"active": 9}, 1 / 9),
            ({"active": 2, "useful": 0}, 1 / MIN_ACTIVE_VMS),
            ({"present": 1, "active": 1}, 1 / UNKNOWN_FLEET_SIZE),
            ({"present": 2, "active": 2}, 1 / 7),
        ):
            self.assertEqual(expected, self.get(SlackShare(), **changes), changes)

    def test_side_of_a_partition_uses_the_part_of_its_vms(self):
        share = SlackShare()
        self.get(share)
        self.assertEqual(2 / 8 / 7, self.get(share, 1.0, present=2, active=2))
        self.assertEqual(1 / 8 / 7, self.get(share, 2.0, present=1, active=1))

    def test_smaller_fleet_counts_as_whole_after_the_longest_partition(self):
        share = SlackShare()
        self.get(share)
        self.get(share, 1.0, present=4)
        self.assertEqual(0.5 / 7, self.get(share, MAX_PARTITION_S, present=4))
        self.assertEqual(1 / 7, self.get(share, MAX_PARTITION_S + 1.0, present=4))
