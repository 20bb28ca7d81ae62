"""A caller's connection to the query tier."""

import random
from collections.abc import Sequence

from ..core.messages import (
    BookingAnswer,
    BookingRequest,
    BookingStatus,
    SearchAnswer,
    SearchRequest,
)
from ..ids import CallerName, CollectionName, IdempotencyKey, RecordKey
from ..net import Address
from .addresses import AddressCache
from .bookings import Bookings
from .connections import Connections
from .searches import Searches
from .seen import SeenSnapshots

DEFAULT_DEADLINE_MS = 1_000


class Client:
    """Asks and books for one caller; a context manager.

    Keeps the address answer for its time to live, and the newest snapshot
    seen, so that a later answer is never older than an earlier one.
    """

    def __init__(
        self,
        caller: CallerName,
        seeds: Sequence[Address],
        rng: random.Random | None = None,
        connections: Connections | None = None,
    ) -> None:
        self.caller = caller
        self.seen = SeenSnapshots()
        self.connections = connections or Connections(caller)
        self.address_cache = AddressCache(
            self.connections, seeds, rng or random.Random()
        )
        self.searches = Searches(self.connections, self.address_cache, self.seen)
        self.bookings = Bookings(self.connections, self.address_cache, self.seen)

    def __enter__(self) -> "Client":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Close every connection."""
        self.connections.close()

    def search(
        self, request: SearchRequest, deadline_ms: int = DEFAULT_DEADLINE_MS
    ) -> SearchAnswer:
        """Return the answer, or raise CallError; fails over, since reads may."""
        return self.searches.search(request, deadline_ms)

    def book(
        self,
        collection: CollectionName,
        record: RecordKey,
        quantity: int = 1,
        idempotency_key: IdempotencyKey | None = None,
        deadline_ms: int = DEFAULT_DEADLINE_MS,
    ) -> BookingAnswer:
        """Return the booking's result, or raise CallError that says if it ran.

        Sends again under the same key until the deadline. Give a key of
        `make_key` to be able to send or ask again after it.
        """
        request = BookingRequest(collection, record, quantity, deadline_ms)
        return self.bookings.book(request, idempotency_key, deadline_ms)

    def make_key(self, deadline_ms: int = DEFAULT_DEADLINE_MS) -> IdempotencyKey:
        """Return a new idempotency key for one booking, or raise CallError."""
        return self.bookings.make_key(deadline_ms)

    def look_up_booking(
        self, key: IdempotencyKey, deadline_ms: int = DEFAULT_DEADLINE_MS
    ) -> BookingStatus:
        """Return what became of a key as far as it is known, or raise CallError."""
        return self.bookings.ask(key, deadline_ms, close=False)

    def close_booking(
        self, key: IdempotencyKey, deadline_ms: int = DEFAULT_DEADLINE_MS
    ) -> BookingStatus:
        """Close a key that has not run, so that it never will; return its truth."""
        return self.bookings.ask(key, deadline_ms, close=True)
