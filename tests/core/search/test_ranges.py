"""Tests of key ranges."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from sesameplank.core.search.ranges import (
    KEY_SPACE,
    KeyRange,
    count_positions,
    get_position,
    merge_ranges,
)


class MergeRangesTests(testtools.TestCase):
    """Merging joins adjacent ranges and refuses overlaps."""

    def test_adjacent_ranges_are_joined(self):
        table = [
            ([], ()),
            ([(0, 5), (5, 9)], ((0, 9),)),
            ([(7, 9), (0, 5)], ((0, 5), (7, 9))),
        ]
        for given_ranges, expected in table:
            merged = merge_ranges(KeyRange(*item) for item in given_ranges)
            self.assertEqual(tuple(KeyRange(*item) for item in expected), merged)

    def test_overlap_is_refused(self):
        with testtools.ExpectedException(ValueError, ".*overlaps.*"):
            merge_ranges([KeyRange(0, 5), KeyRange(4, 9)])

    @given(st.sets(st.integers(1, KEY_SPACE - 1), max_size=20))
    def test_partition_covers_the_key_space_once(self, cuts):
        bounds = [0, *sorted(cuts), KEY_SPACE]
        parts = [KeyRange(*pair) for pair in zip(bounds, bounds[1:], strict=False)]
        self.assertEqual((KeyRange(0, KEY_SPACE),), merge_ranges(parts))
        self.assertEqual(KEY_SPACE, count_positions(parts))

    def test_position_of_a_key_is_stable(self):
        self.assertEqual(get_position("r000001"), get_position("r000001"))
        self.assertTrue(0 <= get_position("r000001") < KEY_SPACE)
