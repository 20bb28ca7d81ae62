"""What callers get under a load, played against the core in virtual time.

The bounds follow from the stated aims: a calm day serves nearly all of its
worth, extra load stays within the fleet's bound, and trouble at a part of the
targets costs callers less than that part.
"""

import testtools

from .load_simulation import LoadSimulation, Scenario

SECONDS = 6.0


class LoadSimulationTests(testtools.TestCase):
    """One run a case, each with a fixed seed."""

    CASES = (
        # what is changed, least worth
        ({}, 0.95),
        ({"slow_share": 0.12}, 0.85),
        ({"dark_share": 0.08}, 0.85),
        ({"per_s": 100.0}, 0.85),
    )

    def test_callers_are_served(self):
        for changes, least in self.CASES:
            values = {"per_s": 50.0, "seconds": SECONDS, **changes}
            simulation = LoadSimulation(Scenario(**values), seed=11).run()
            self.assertGreaterEqual(simulation.get_worth(), least, changes)

    def test_extra_load_stays_within_the_bound(self):
        for changes in ({}, {"slow_share": 0.3}, {"shed_share": 0.5}):
            values = {"per_s": 50.0, "seconds": SECONDS, **changes}
            simulation = LoadSimulation(Scenario(**values), seed=12).run()
            requests = len(simulation.results)
            for target_calls in simulation.count_by_shard().values():
                extra = target_calls - requests
                self.assertLessEqual(extra, 0.2 * requests + 56.0, changes)

    def test_a_flood_does_not_make_all_late(self):
        """Twice what can be served leaves half of that served in time, or more."""
        values = {"shards": 12, "seconds": 3.0}
        carried = self.count_in_time(Scenario(per_s=200.0, **values))
        flooded = self.count_in_time(Scenario(per_s=400.0, **values))
        unguarded = self.count_in_time(Scenario(per_s=400.0, admits=False, **values))
        self.assertGreaterEqual(flooded, 0.5 * carried)
        self.assertGreaterEqual(flooded, 1.5 * unguarded)

    def test_a_flood_is_served_by_urgency_and_starves_no_kind(self):
        """A kind starves when it is served less than a quarter as often."""
        scenario = Scenario(per_s=400.0, shards=12, seconds=3.0)
        simulation = LoadSimulation(scenario, seed=13).run()
        shares = []
        for priority in (0, 1):
            asked = [r for r in simulation.results if r.route.priority == priority]
            shares.append(sum(r.is_answered for r in asked) / len(asked))
        self.assertGreaterEqual(shares[0], shares[1])
        self.assertGreaterEqual(shares[1], 0.25 * shares[0])

    def count_in_time(self, scenario: Scenario) -> int:
        """Return how many requests are answered within their objective."""
        simulation = LoadSimulation(scenario, seed=13).run()
        return sum(
            item.is_answered and item.latency_s <= item.route.goal_s
            for item in simulation.results
        )
