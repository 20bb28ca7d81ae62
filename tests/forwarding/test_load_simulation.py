"""Tests of the answers that callers get in a simulation of the core under load.

The bounds follow from the stated objectives: without faults, the mean score is
nearly the maximum; extra load stays within the fleet's bound; and faults at a share
of the targets lower the score by less than that share.
"""

import testtools

from .load_simulation import LoadSimulation, Scenario

SECONDS = 6.0


class LoadSimulationTests(testtools.TestCase):
    """Simulations of single scenarios, each with a fixed seed."""

    CASES = (
        # changes to the scenario, minimum of the mean score
        ({}, 0.95),
        ({"slow_share": 0.12}, 0.85),
        ({"dark_share": 0.08}, 0.85),
        ({"per_s": 100.0}, 0.85),
    )

    def test_mean_score_reaches_minimum(self):
        for changes, minimum in self.CASES:
            values = {"per_s": 50.0, "seconds": SECONDS, **changes}
            simulation = LoadSimulation(Scenario(**values), seed=11).run()
            self.assertGreaterEqual(simulation.get_mean_score(), minimum, changes)

    def test_extra_load_stays_within_the_bound(self):
        for changes in ({}, {"slow_share": 0.3}, {"shed_share": 0.5}):
            values = {"per_s": 50.0, "seconds": SECONDS, **changes}
            simulation = LoadSimulation(Scenario(**values), seed=12).run()
            requests = len(simulation.results)
            for target_calls in simulation.count_by_shard().values():
                extra = target_calls - requests
                self.assertLessEqual(extra, 0.2 * requests + 56.0, changes)

    def test_overload_does_not_delay_all_answers(self):
        """At twice the sustainable load, at least half as many are answered in time."""
        values = {"shards": 12, "seconds": 3.0}
        normal = self.count_in_time(Scenario(per_s=200.0, **values))
        overloaded = self.count_in_time(Scenario(per_s=400.0, **values))
        unprotected = self.count_in_time(
            Scenario(per_s=400.0, has_admission=False, **values)
        )
        self.assertGreaterEqual(overloaded, 0.5 * normal)
        self.assertGreaterEqual(overloaded, 1.5 * unprotected)

    def test_overload_prefers_urgent_route_and_starves_no_route(self):
        """A route starves if its answered share is below a quarter of the other's."""
        scenario = Scenario(per_s=400.0, shards=12, seconds=3.0)
        simulation = LoadSimulation(scenario, seed=13).run()
        shares = []
        for priority in (0, 1):
            sent = [r for r in simulation.results if r.route.priority == priority]
            shares.append(sum(r.is_answered for r in sent) / len(sent))
        self.assertGreaterEqual(shares[0], shares[1])
        self.assertGreaterEqual(shares[1], 0.25 * shares[0])

    def count_in_time(self, scenario: Scenario) -> int:
        """Return how many requests are answered within their latency objective."""
        simulation = LoadSimulation(scenario, seed=13).run()
        return sum(
            item.is_answered and item.latency_s <= item.route.objective_s
            for item in simulation.results
        )
