"""The client of the query tier."""

import random
from collections.abc import Sequence

from ..core.search.messages import (
    BookingAnswer,
    BookingRequest,
    BookingStatus,
    SearchAnswer,
    SearchRequest,
)
from ..ids import CallerName, CollectionName, IdempotencyKey, RecordKey
from ..net import Address
from .addresses import AddressCache
from .bookings import BookingClient
from .connections import Connections
from .searches import SearchClient
from .seen import SeenSnapshots

DEFAULT_DEADLINE_MS = 1_000


class Client:
    """Sends the searches and bookings of one caller; a context manager.

    The client caches the entry addresses for their time to live. It stores the
    newest snapshot seen of each collection, so that a later answer is never
    older than an earlier one.
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
        self.searches = SearchClient(self.connections, self.address_cache, self.seen)
        self.bookings = BookingClient(self.connections, self.address_cache, self.seen)

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
        """Return the answer to a search, or raise CallError.

        Searches are idempotent, so a failed search is retried at another entry.
        """
        return self.searches.search(request, deadline_ms)

    def book(
        self,
        collection: CollectionName,
        record: RecordKey,
        quantity: int = 1,
        idempotency_key: IdempotencyKey | None = None,
        deadline_ms: int = DEFAULT_DEADLINE_MS,
    ) -> BookingAnswer:
        """Return the result of a booking, or raise CallError.

        Attribute `ran` of the error is "unknown" if the booking may have run, and
        "not_run" otherwise. The booking is retried under the same key until the
        deadline. Pass a key from `make_key` to be able to retry or look up the
        booking after the deadline.
        """
        request = BookingRequest(collection, record, quantity, deadline_ms)
        return self.bookings.book(request, idempotency_key, deadline_ms)

    def make_key(self, deadline_ms: int = DEFAULT_DEADLINE_MS) -> IdempotencyKey:
        """Return a new idempotency key for one booking, or raise CallError."""
        return self.bookings.make_key(deadline_ms)

    def look_up_booking(
        self, key: IdempotencyKey, deadline_ms: int = DEFAULT_DEADLINE_MS
    ) -> BookingStatus:
        """Return the known status of a key, or raise CallError."""
        return self.bookings.request_status(key, deadline_ms, close=False)

    def close_booking(
        self, key: IdempotencyKey, deadline_ms: int = DEFAULT_DEADLINE_MS
    ) -> BookingStatus:
        """Close a key and return its status, or raise CallError.

        A key that has not run when it is closed never runs.
        """
        return self.bookings.request_status(key, deadline_ms, close=True)
