"""Tests of seeded arrivals and of the capacity that loads are relative to."""

import math

import testtools

from sesameplank.load.arrivals import Phase, make_arrivals
from sesameplank.load.capacity import count_shards, get_arrival_rate, get_capacity
from sesameplank.load.scenarios import SCENARIOS
from sesameplank.standins.deployments import CHAIYAPHUM, VATUWAQA, Service

PHASES = (Phase(0.0, 4.0, 0.5), Phase(4.0, 8.0, 2.0))


class ArrivalsTests(testtools.TestCase):
    """Arrivals are reproducible for a seed and follow the stated load."""

    def test_same_seed_gives_same_arrivals(self):
        first = make_arrivals(VATUWAQA, PHASES, 7)
        self.assertEqual(first, make_arrivals(VATUWAQA, PHASES, 7))
        self.assertNotEqual(first, make_arrivals(VATUWAQA, PHASES, 8))

    def test_rate_of_each_phase_is_within_five_deviations(self):
        for deployment in (VATUWAQA, CHAIYAPHUM):
            arrivals = make_arrivals(deployment, PHASES, 1)
            for phase in PHASES:
                due = [a for a in arrivals if phase.start_s <= a.at_s < phase.end_s]
                expected = get_arrival_rate(deployment, phase.load) * 4.0
                self.assertTrue(abs(len(due) - expected) < 5 * math.sqrt(expected))

    def test_no_two_bookings_request_the_same_stock(self):
        arrivals = make_arrivals(VATUWAQA, (Phase(0, 20, 0.5),), 1, 0.7)
        stocks = [item.stock for item in arrivals if item.search is None]
        self.assertTrue(len(stocks) > 2_000)
        self.assertEqual(len(stocks), len(set(stocks)))

    def test_load_at_capacity_keeps_every_slot_busy(self):
        service = Service("s", 20, 2, 2, 25, 6.0)
        run_s = 0.008 * math.exp(0.35**2 / 2)
        self.assertEqual(20, count_shards(service))
        self.assertAlmostEqual(40.0, get_capacity(service) * 20 * run_s)

    def test_bookings_scenario_sends_at_least_two_thousand(self):
        scenario = SCENARIOS["bookings"]
        for seed in range(1, 6):
            arrivals = make_arrivals(
                VATUWAQA, scenario.get_phases(20.0), seed, scenario.booking_share
            )
            self.assertTrue(sum(item.search is None for item in arrivals) >= 2_000)

    def test_phases_of_every_scenario_cover_the_run(self):
        for scenario in SCENARIOS.values():
            phases = scenario.get_phases(20.0)
            ends = [0.0, *(phase.end_s for phase in phases)]
            self.assertEqual([phase.start_s for phase in phases], ends[:-1])
            self.assertEqual(20.0, ends[-1], scenario.name)
