"""Tests of the figures of a run."""

import testtools

from sesameplank.conf.documents import CallerClass
from sesameplank.core.search.coverage import Coverage, MissingRange, MissingReason
from sesameplank.core.search.messages import SearchAnswer, SearchRequest
from sesameplank.core.search.ranges import KEY_SPACE, KeyRange
from sesameplank.load.arrivals import Arrival
from sesameplank.load.figures import Window, get_percentiles, make_figures
from sesameplank.load.observations import Observation, Outcome
from sesameplank.standins.control import Truth
from sesameplank.standins.deployments import VATUWAQA
from sesameplank.standins.targets import TargetTruth

FIRST_COLLECTION = VATUWAQA.services[0].collection
HALF = KEY_SPACE // 2
COMPLETE = Coverage((KeyRange(0, KEY_SPACE),))
PARTIAL = Coverage(
    (KeyRange(0, HALF),), (MissingRange(HALF, KEY_SPACE, MissingReason.DEADLINE),)
)


def make_arrival(index: int, at_s: float) -> Arrival:
    """Return a query, of the first priority class if its index is even."""
    priority = CallerClass.SECOND if index % 2 else CallerClass.FIRST
    common_fields = (index, at_s, f"load-{index}", "order-desk", priority)
    return Arrival(
        *common_fields, FIRST_COLLECTION, search=SearchRequest(FIRST_COLLECTION)
    )


def make_answered(index: int, latency_ms: float, coverage: Coverage) -> Observation:
    """Return the observation of an answered query."""
    answer = SearchAnswer("r", FIRST_COLLECTION, 1, 1, "ordinary", 0, (), coverage)
    return Observation(index, 0.0, latency_ms, Outcome.ANSWERED, answer=answer)


class FiguresTests(testtools.TestCase):
    """Figures count the requests due in the measured window, whether sent or not."""

    def setUp(self):
        super().setUp()
        arrivals = [make_arrival(index, float(index)) for index in range(6)]
        observations = [
            make_answered(0, 9_000.0, COMPLETE),
            make_answered(1, 50.0, COMPLETE),
            make_answered(2, 2_000.0, COMPLETE),
            make_answered(3, 60.0, PARTIAL),
            Observation(4, 0.0, 1.0, Outcome.NOT_RUN, kind="overloaded"),
        ]
        truth = Truth({}, {"t1": TargetTruth(shard_runs=84)}, 0, 0, (1,))
        self.figures = make_figures(
            VATUWAQA,
            arrivals,
            observations,
            truth,
            measured=Window(1.0, 6.0),
            scenario_window=Window(1.0, 5.0),
            deadline_ms=1_000,
        )

    def test_request_without_observation_counts_as_unknown(self):
        figures = self.figures
        self.assertEqual(
            (5, 2, 1, 1),
            (
                figures.offered,
                figures.answered_whole,
                figures.refused_not_run,
                figures.unknown,
            ),
        )

    def test_warm_up_is_excluded_from_latency(self):
        self.assertTrue(self.figures.latency_ms.max < 2_100)

    def test_late_and_partial_answers_do_not_count_as_service(self):
        self.assertEqual(
            (0.25, 0.0),
            (self.figures.crest_service, self.figures.first_class_service),
        )

    def test_extra_load_compares_runs_with_what_answers_needed(self):
        self.assertAlmostEqual(84 / (3.5 * 20) - 1, self.figures.extra_load)

    def test_refusals_are_counted_by_kind(self):
        self.assertEqual({"overloaded": 1}, self.figures.refusals)

    def test_percentiles_of_known_values(self):
        result = get_percentiles(float(value) for value in range(1, 101))
        for expected, found in ((50, result.p50), (95, result.p95), (100, result.max)):
            self.assertTrue(abs(found - expected) <= 0.002 * expected)
