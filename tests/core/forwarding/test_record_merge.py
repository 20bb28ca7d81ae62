"""Tests of merging the answers of shards, compared with a plain sort."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameplank.core.forwarding.record_merge import RECORD_BYTES, merge_parts

FIXED = settings.get_profile("fixed")
PARTS = st.lists(st.binary(max_size=100), max_size=6)


def sort_plainly(parts: list[bytes], limit: int) -> bytes:
    """Return the expected result of the merge by sorting all records."""
    records = []
    for part in parts:
        while len(part) >= RECORD_BYTES:
            records.append(part[:RECORD_BYTES])
            part = part[RECORD_BYTES:]
    return b"".join(sorted(records, reverse=True)[:limit])


class MergePartsTests(testtools.TestCase):
    """The merge returns the greatest records first and keeps duplicates."""

    @FIXED
    @given(parts=PARTS, limit=st.integers(0, 20))
    def test_same_as_a_plain_sort(self, parts, limit):
        self.assertEqual(sort_plainly(parts, limit), merge_parts(parts, limit))

    def test_duplicates_are_kept(self):
        record = b"r" * RECORD_BYTES
        self.assertEqual(record * 3, merge_parts([record * 2, record], 5))

    def test_long_parts_are_merged_like_short_ones(self):
        records = [b"%016d" % (number * 7919 % 5_000) for number in range(5_000)]
        part = b"".join(records) + b"rest"
        self.assertEqual(sort_plainly([part], 9), merge_parts([part], 9))

    def test_incomplete_record_is_ignored(self):
        record = b"r" * RECORD_BYTES
        self.assertEqual(record, merge_parts([record + b"zz"], 5))
