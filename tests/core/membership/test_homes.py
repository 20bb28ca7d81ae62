"""Tests of the choice of homes and readers, and of connection plans."""

import random

import testtools

from sesameplank.conf import PublishedVms, Vm
from sesameplank.core.membership.homes import (
    HOLD_DOWN_S,
    ConnectionPlan,
    choose_homes,
    get_connection_share,
)
from sesameplank.core.membership.readers import choose_readers, draw_start_delay


def make_vms(count: int, data_centres: int) -> PublishedVms:
    """Return a list of VMs spread evenly over data centres."""
    return PublishedVms(
        1,
        tuple(
            Vm(f"e{number}", f"a:{number}", f"p:{number}", f"dc{number % data_centres}")
            for number in range(count)
        ),
    )


class HomesTests(testtools.TestCase):
    """A change of the VM list changes no more homes than necessary."""

    def test_removed_entry_changes_only_its_own_homes(self):
        entries = [f"e{number}" for number in range(8)]
        for target in range(100):
            before = choose_homes(f"t{target}", entries, 2)
            after = choose_homes(f"t{target}", entries[:-1], 2)
            kept = [entry for entry in before if entry != "e7"]
            self.assertEqual(kept, after[: len(kept)])

    def test_shares_by_limit_homes_and_headroom(self):
        table = [(25, 8, 4, 2), (25, 2, 2, 6), (110, 8, 4, 9), (25, 1_400, 4, 0)]
        for limit, homes, headroom, share in table:
            self.assertEqual(share, get_connection_share(limit, homes, headroom))

    def test_sum_of_shares_stays_within_the_limit_with_outdated_homes(self):
        for seed in range(200):
            rng = random.Random(seed)
            limit = rng.randint(1, 120)
            homes, headroom = rng.randint(1, 10), rng.randint(0, 4)
            share = get_connection_share(limit, homes, headroom)
            holders = homes + rng.randint(0, headroom)
            self.assertTrue(holders * share <= limit)


class ReadersTests(testtools.TestCase):
    """The number of readers depends on the data centres, not on the fleet size."""

    def test_one_reader_per_data_centre_at_every_fleet_size(self):
        for count in (3, 8, 32, 1_400):
            vms = make_vms(count, 3)
            readers = choose_readers(vms, [vm.id for vm in vms.vms])
            self.assertEqual(3, len(readers))

    def test_absent_reader_is_replaced_in_its_data_centre(self):
        vms = make_vms(8, 3)
        present = {vm.id for vm in vms.vms}
        for reader in choose_readers(vms, present):
            readers = choose_readers(vms, present - {reader})
            self.assertEqual(3, len(readers))
            self.assertNotIn(reader, readers)

    def test_one_process_reads_if_the_list_names_none_that_is_present(self):
        readers = choose_readers(make_vms(8, 3), ["x1", "x2", "x3"])
        self.assertEqual(1, len(readers))
        self.assertTrue(readers < {"x1", "x2", "x3"})

    def test_few_processes_read_early_when_all_start_together(self):
        for count, most in ((8, 8), (128, 20), (1_400, 20)):
            rng = random.Random(count)
            delays = sorted(draw_start_delay(1.0, rng) for _ in range(count))
            spread_s = 0.2
            early = [item for item in delays if item < delays[0] + spread_s]
            self.assertTrue(len(early) <= most, f"{count}: {len(early)}")
            self.assertTrue(delays[-1] <= 1.0)


class ConnectionPlanTests(testtools.TestCase):
    """The connections of all entries together never exceed the limit of a target."""

    def test_unlisted_entry_holds_no_connections(self):
        plan = ConnectionPlan("e9", 8, 4)
        plan.update(["e0", "e1"], 0.0)
        self.assertEqual(0, plan.get_connection_limit("t", 25, 0.0))

    def test_homes_after_updates_equal_those_chosen_from_the_list(self):
        rng = random.Random(5)
        plan = ConnectionPlan("e0", 3, 2)
        for _ in range(200):
            entries = [f"e{number}" for number in range(12) if rng.random() < 0.6]
            plan.update(entries, 0.0)
            for target in range(5):
                homes = plan.get_homes(f"t{target}")
                self.assertEqual(choose_homes(f"t{target}", entries, 3), homes)

    def test_new_home_waits_for_the_hold_down_time(self):
        entries = [f"e{number}" for number in range(40)]
        (home, successor, *_) = choose_homes("t", entries, 3)
        plan = ConnectionPlan(successor, 1, 1)
        plan.update(entries, 0.0)
        self.assertEqual(0, plan.get_connection_limit("t", 25, 0.0))
        entries.remove(home)
        plan.update(entries, 10.0)
        self.assertEqual(0, plan.get_connection_limit("t", 25, 10.0))
        self.assertEqual(
            0, plan.get_connection_limit("t", 25, 10.0 + HOLD_DOWN_S - 0.1)
        )
        self.assertEqual(12, plan.get_connection_limit("t", 25, 10.0 + HOLD_DOWN_S))

    def test_previous_home_closes_its_connections_at_once(self):
        entries = [f"e{number}" for number in range(8)]
        home = choose_homes("t", entries, 2)[0]
        plan = ConnectionPlan(home, 2, 2)
        plan.update(entries, 0.0)
        self.assertEqual(0, plan.get_connection_limit("t", 25, 0.0))
        self.assertEqual(6, plan.get_connection_limit("t", 25, HOLD_DOWN_S))
        entries.remove(home)
        plan.update(entries, HOLD_DOWN_S)
        self.assertEqual(0, plan.get_connection_limit("t", 25, HOLD_DOWN_S))

    def test_sum_of_connections_stays_within_the_limit_during_replacements(self):
        for seed in range(40):
            self.run_replacements(random.Random(seed))

    def run_replacements(self, rng: random.Random) -> None:
        """Replace VMs one by one.

        Some removed VMs are stopped for good and keep their connections. The others
        apply each new list one after another, so that one of them lags behind.
        """
        homes, headroom, limit = rng.choice(((8, 4, 25), (2, 2, 25), (2, 4, 110)))
        entries = [f"e{number}" for number in range(8)]
        plans = {entry: ConnectionPlan(entry, homes, headroom) for entry in entries}
        held: dict[str, int] = {}
        stopped: set[str] = set()
        now = 0.0
        for number in range(8, 60):
            now += rng.uniform(HOLD_DOWN_S, 4 * HOLD_DOWN_S)
            removed = entries.pop(rng.randrange(len(entries)))
            if len(stopped) < headroom - 1:
                stopped.add(removed)
            entries.append(f"e{number}")
            plans[entries[-1]] = ConnectionPlan(entries[-1], homes, headroom)
            order = [item for item in plans if item not in stopped]
            for step in (0.0, HOLD_DOWN_S):
                for entry in rng.sample(order, len(order)):
                    plans[entry].update(entries, now)
                    held[entry] = plans[entry].get_connection_limit(
                        "t", limit, now + step
                    )
                    self.assertTrue(sum(held.values()) <= limit)
