"""Reading of all pages of the store's items, whatever keys other programs write."""

import re
from collections.abc import Iterator

from ..exceptions import PlatformError, UnreadableResponseError
from .store import StoreClient
from .store_answers import WirePage

ALL_KEYS = ""
LAST_CHARACTER = "\U0010ffff"
READABLE_KEY = re.compile("[!-~]*")


class PageReader:
    """Reads all pages once. `first` is the first page, None before it was read."""

    def __init__(self, client: StoreClient) -> None:
        self.client = client
        self.first: WirePage | None = None
        self.last_keys: set[str] = set()

    def read_all(self) -> Iterator[WirePage]:
        """Yield each page. Raises PlatformError if they don't fit together."""
        page = self.first = self.client.read_page(ALL_KEYS)
        yield page
        while page.has_more:
            page = self.read_next(page)
            self.check_same_state(page)
            yield page

    def read_next(self, page: WirePage) -> WirePage:
        """Return the page after one, or raise PlatformError if none goes on.

        The store may not find its way past a key that is empty or not printable.
        """
        if not page.items:
            raise UnreadableResponseError(
                "the store sent a page without items and says that there are more; "
                "check its version"
            )
        last_key = page.items[-1].key
        self.last_keys.add(last_key)
        for after in (last_key, skip_unreadable_keys(last_key)):
            following = self.client.read_page(ALL_KEYS, after)
            if self.goes_on(following):
                return following
        raise UnreadableResponseError(
            f"the store sends no other items after the key {last_key!r}; check its "
            "item and its writer"
        )

    def goes_on(self, page: WirePage) -> bool:
        """Return whether a page doesn't end where an earlier one did."""
        return not page.items or page.items[-1].key not in self.last_keys

    def check_same_state(self, page: WirePage) -> None:
        """Raise PlatformError if a page is older than the first, or of another era."""
        first = self.first
        if page.era != first.era:
            raise PlatformError(
                f"the store's era changed from {first.era} to {page.era} between "
                "two pages; read all items again"
            )
        if page.as_of < first.as_of:
            raise PlatformError(
                f"the store's revision fell from {first.as_of} to {page.as_of} "
                "between two pages; check that no old instance still runs"
            )


def skip_unreadable_keys(key: str) -> str:
    """Return a text above a key, with no readable key from that key up to it.

    The keys of the configuration and of targets are readable: printable ASCII.
    """
    readable = READABLE_KEY.match(key)[0]
    is_below_readable = key[len(readable) :] < "!"
    return readable + (" " if is_below_readable else "") + LAST_CHARACTER
