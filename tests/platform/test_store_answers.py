"""Tests of the decoding of the store's answers item by item."""

import testtools

from sesameplank.platform.store_answers import (
    UnreadableItem,
    WireEvents,
    WirePage,
    decode_answer,
)

GOOD = b'{"key":"good","rev":3,"value":"eA=="}'
NESTED = b"[" * 100_000 + b"]" * 100_000


class ItemTests(testtools.TestCase):
    """An item that can't be decoded costs no other, and keeps its key if it has one."""

    CASES = (
        (b'{"key":"k","rev":"3"}', "k"),
        (b'{"key":"k"}', "k"),
        (b'{"key":"k","rev":' + b"9" * 4_300 + b"}", "k"),
        (b'{"key":"k","rev":3,"value":null}', "k"),
        (b'{"rev":3,"owner":{"key":"other"}}', ""),
        (b'{"owner":{"key":"other"},"key":"k","rev":3,"x":' + NESTED + b"}", "k"),
        (b'{"key":"k\xff","rev":3}', "k\udcff"),
        (b'{"key":"k\\ud800","rev":3}', "k\ud800"),
        (b'{"key":5,"rev":3}', ""),
        (b"null", ""),
        (NESTED, ""),
    )

    def test_page(self):
        for document, key in self.CASES:
            body = b'{"items":[%b,%b,%b],"has_more":true,"as_of":7}'
            page = decode_answer(body % (GOOD, document, GOOD), WirePage)
            self.assertEqual((True, 7), (page.has_more, page.as_of))
            self.check(page.items, key)

    def test_events(self):
        for document, key in self.CASES:
            body = b'{"as_of":7,"x":[1],"events":[%b,%b,%b]}'
            self.check(
                decode_answer(body % (GOOD, document, GOOD), WireEvents).events, key
            )

    def check(self, items: list, key: str) -> None:
        """Check that only the middle one of three items is unreadable."""
        self.assertEqual(["good", key, "good"], [item.key for item in items])
        kinds = [isinstance(item, UnreadableItem) for item in items]
        self.assertEqual([False, True, False], kinds)
        self.assertEqual(7, items[1].rev)
        self.assertNotEqual("", items[1].reason)
