"""Tests of the estimation of message age."""

import testtools

from sesameplank.core.common.delays import DelayEstimate


class DelayEstimateTests(testtools.TestCase):
    """The age of a message is its offset less the smallest observed offset."""

    def test_age_is_the_excess_over_the_smallest_offset(self):
        estimate = DelayEstimate()
        table = [(100.0, 5.0, 0.0), (101.0, 6.0, 0.0), (102.0, 27.0, 20.0)]
        for sent_at, received_at, age_s in table:
            self.assertAlmostEqual(
                age_s, estimate.observe(sent_at, received_at), delta=0.01
            )

    def test_smaller_offset_becomes_the_new_minimum(self):
        estimate = DelayEstimate()
        estimate.observe(0.0, 10.0)
        self.assertEqual(0.0, estimate.observe(1.0, 10.5))
        self.assertAlmostEqual(0.5, estimate.observe(2.0, 12.0), delta=0.01)
