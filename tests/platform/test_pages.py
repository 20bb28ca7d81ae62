"""Tests of the reading of all pages of the store, with a scripted client."""

import testtools

from sesameplank.exceptions import PlatformError
from sesameplank.platform.pages import PageReader, skip_unreadable_keys
from sesameplank.platform.store_answers import WireItem, WirePage

MAX_CALLS = 20


class ScriptedClient:
    """Returns the page that `answer` makes of each `after`."""

    def __init__(self, answer) -> None:
        self.answer = answer
        self.calls: list[str] = []

    def read_page(self, prefix: str, after: str = "") -> WirePage:
        """Return a page, or raise an error after too many calls."""
        self.calls.append(after)
        if len(self.calls) > MAX_CALLS:
            raise AssertionError("the reading doesn't end")
        return self.answer(after)


def make_page(*keys: str, has_more=True, as_of=9, era=0) -> WirePage:
    """Return a page of items with these keys."""
    return WirePage([WireItem(key, 1) for key in keys], has_more, as_of, era)


class PageReaderTests(testtools.TestCase):
    """Each page is read once, and pages that don't fit fail the reading."""

    def read_keys(self, answer) -> list[str]:
        pages = PageReader(ScriptedClient(answer)).read_all()
        return [item.key for page in pages for item in page.items]

    def test_store_that_does_not_pass_a_key_is_asked_from_a_later_one(self):
        for key in ("", "b+", "b\0", "b\u00e9"):
            pages = {"": make_page(key), key: make_page(key)}
            pages[skip_unreadable_keys(key)] = make_page("c", has_more=False)
            self.assertEqual([key, "c"], self.read_keys(pages.get), key)

    def test_pages_that_do_not_go_on_fail_the_reading(self):
        cases = (
            ("the same page", lambda after: make_page("a")),
            (
                "pages in a circle",
                lambda after: make_page("b" if after == "a" else "a"),
            ),
            ("no items and more", lambda after: make_page()),
            ("older", lambda after: make_page(f"{after}x", as_of=9 - len(after))),
            ("other era", lambda after: make_page(f"{after}x", era=len(after))),
        )
        for _, answer in cases:
            self.assertRaises(PlatformError, self.read_keys, answer)

    def test_last_page_may_be_empty(self):
        answer = {"": make_page("a"), "a": make_page(has_more=False)}.get
        self.assertEqual(["a"], self.read_keys(answer))


class SkippedKeyTests(testtools.TestCase):
    """No readable key lies between a key and the one that is asked for instead."""

    READABLE = ("!", "a", "op/config", "servers/a", "servers/a!", "servers/a~b", "z")

    def test_no_readable_key_is_skipped(self):
        for key in (
            "",
            " ",
            "a\0z",
            "servers/a b",
            "servers/a\u00e9",
            "servers/a",
            "~",
        ):
            after = skip_unreadable_keys(key)
            self.assertTrue(after > key, key)
            skipped = [name for name in self.READABLE if key < name <= after]
            self.assertEqual([], skipped, key)
