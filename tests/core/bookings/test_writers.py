"""Tests of writer ids and of the idempotency keys that begin with them."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from sesameplank.core.bookings.writers import BookingKey, WriterId, parse_key

WRITER = WriterId("entry-00", 0xAB, 3)


class KeyTests(testtools.TestCase):
    """A formatted key is parsed unchanged, and no other text is a key."""

    @given(st.text(min_size=1), st.integers(0), st.integers(0))
    def test_key_is_read_back(self, name, incarnation, number):
        key = BookingKey(WriterId("entry-00", incarnation, number), name)
        self.assertEqual(key, parse_key(key.text))

    def test_invalid_texts_are_not_keys(self):
        table = [
            "",
            "order-1",
            str(WRITER),
            f"{WRITER}~",
            "entry-00~xyz~1~a",
            "entry-00~ab~one~a",
            "~ab~1~a",
            "entry-00~AB~1~a",
            "entry-00~ab~01~a",
            "entry-00~ab~ 1~a",
        ]
        for text in table:
            self.assertIsNone(parse_key(text), text)
