"""Tests of the slope measurements."""

import msgspec
import testtools

from sesameplank.conf import list_faults
from sesameplank.load.slopes import MEASUREMENTS, Point, fit_line, make_configuration


class FitTests(testtools.TestCase):
    """The fitted line is the least-squares line through its points."""

    def test_points_on_a_line_give_the_line(self):
        slope = fit_line(
            "x", "us", [Point(size, 3.0 * size + 5.0) for size in (1, 4, 9)]
        )
        self.assertAlmostEqual(3.0, slope.slope)
        self.assertAlmostEqual(5.0, slope.intercept)


class MeasurementTests(testtools.TestCase):
    """Every measurement runs the production code on valid input."""

    def test_configuration_is_valid(self):
        self.assertEqual([], list_faults(msgspec.json.encode(make_configuration(40))))

    def test_every_measurement_has_a_cost(self):
        for name, _, sizes, cost in MEASUREMENTS:
            self.assertTrue(cost(sizes[0]) > 0, name)
