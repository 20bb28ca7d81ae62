"""Tests of the fleet's limit on extra load."""

import random

import testtools

from sesameplank.core.forwarding.extra_load import ExtraLoadBounds, ExtraLoadBudget

BOUNDS = ExtraLoadBounds(ratio=0.2, slack=56.0, window_s=10.0)


class ExtraLoadBudgetTests(testtools.TestCase):
    """The extra calls of the fleet stay within the limit in every window."""

    def simulate(self, fleet: int, rate: float, seconds: float, seed: int, first=0.0):
        """Return the times of requests and extra calls in a simulated fleet.

        Every process takes all tokens that it gets. The processes start at 0
        seconds, and the requests at `first`.
        """
        rng = random.Random(seed)
        budgets = [ExtraLoadBudget(BOUNDS) for _ in range(fleet)]
        for budget in budgets:
            budget.set_slack_share(1.0 / fleet, 0.0)
        requests, extras = [], []
        now = first
        while now < first + seconds:
            now += rng.expovariate(rate)
            budget = rng.choice(budgets)
            budget.note_request("s", now)
            requests.append(now)
            while budget.take("s", now):
                extras.append(now)
        return requests, extras

    def test_every_window_is_within_the_limit(self):
        for fleet, rate in ((8, 5.0), (8, 60.0), (80, 60.0), (4, 400.0)):
            requests, extras = self.simulate(fleet, rate, 40.0, fleet)
            for start in range(0, 31):
                requested = sum(start <= at < start + 10 for at in requests)
                extra = sum(start <= at < start + 10 for at in extras)
                self.assertLessEqual(extra, 0.2 * requested + 56.0, (fleet, rate))

    def test_large_fleet_of_idle_processes_is_within_the_limit(self):
        budgets = [ExtraLoadBudget(BOUNDS) for _ in range(160)]
        for budget in budgets:
            budget.set_slack_share(1.0 / len(budgets), 0.0)
            budget.get("s", 100.0)
            budget.note_request("s", 100.0)
        taken = sum(budget.take("s", 100.0) for budget in budgets)
        self.assertLessEqual(taken, 0.2 * len(budgets) + 56.0)

    def test_random_large_fleets_are_within_the_limit_and_use_it(self):
        for fleet, rate, seed in ((160, 40.0, 1), (160, 800.0, 2), (1_400, 2_000.0, 3)):
            requests, extras = self.simulate(fleet, rate, 40.0, seed)
            for start in range(0, 31):
                requested = sum(start <= at < start + 10 for at in requests)
                extra = sum(start <= at < start + 10 for at in extras)
                self.assertLessEqual(extra, 0.2 * requested + 56.0, (fleet, rate))
        self.assertGreater(len(extras), 0.05 * len(requests))

    def test_service_requested_late_has_earned_tokens_since_the_start(self):
        budget = ExtraLoadBudget(BOUNDS, 5.0)
        self.assertFalse(budget.take("s", 5.0))
        self.assertTrue(budget.take("t", 15.0))
        requests, extras = self.simulate(8, 60.0, 40.0, 3, first=50.0)
        for start in range(50, 81):
            requested = sum(start <= at < start + 10 for at in requests)
            extra = sum(start <= at < start + 10 for at in extras)
            self.assertLessEqual(extra, 0.2 * requested + 56.0)

    def test_most_of_the_limit_can_be_used(self):
        requests, extras = self.simulate(8, 100.0, 40.0, 1)
        self.assertGreater(len(extras), 0.15 * len(requests))

    def test_new_process_starts_without_tokens(self):
        self.assertFalse(ExtraLoadBudget(BOUNDS).take("s", 0.0))

    def test_reserve_is_left_for_retries(self):
        budget = ExtraLoadBudget(BOUNDS)
        budget.set_slack_share(1.0 / 8, 0.0)
        budget.get("s", 0.0)
        taken = 0
        while budget.take("s", 100.0, reserve=0.5):
            taken += 1
        self.assertTrue(budget.take("s", 100.0))
        self.assertGreater(taken, 0)

    def test_misdirected_calls_are_charged_to_the_service_that_gets_them(self):
        for service, charged in (("s", {"s"}), (None, {"s", "t"})):
            budget = ExtraLoadBudget(BOUNDS)
            left = {name: self.count_tokens(budget, name) for name in "st"}
            budget = ExtraLoadBudget(BOUNDS)
            for name in "st":
                budget.get(name, 100.0)
            budget.note_misdirected(service, 100.0)
            for name in "st":
                expected = left[name] - (name in charged)
                self.assertEqual(expected, self.count_tokens(budget, name), service)

    def count_tokens(self, budget: ExtraLoadBudget, service: str) -> int:
        count = 0
        while budget.take(service, 100.0):
            count += 1
        return count

    def test_misdirected_calls_beyond_the_tokens_are_earned_first(self):
        budget = ExtraLoadBudget(BOUNDS)
        for _ in range(20):
            budget.note_misdirected("s", 0.0)
        self.assertEqual(0.0, budget.get_fill("s", 10.0))
        self.assertFalse(budget.take("s", 30.0))
        self.assertTrue(budget.take("s", 60.0))
