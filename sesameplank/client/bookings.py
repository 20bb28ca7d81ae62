"""The booking half of the client library."""

import uuid

from ..core.messages import BookingAnswer, BookingRequest
from ..ids import IdempotencyKey
from .addresses import AddressKeeper
from .connections import Connections
from .seen import SeenSnapshots


class Bookings:
    """Sends bookings, each under an idempotency key."""

    def __init__(
        self, connections: Connections, keeper: AddressKeeper, seen: SeenSnapshots
    ) -> None:
        self.connections = connections
        self.keeper = keeper
        self.seen = seen

    def book(
        self, request: BookingRequest, key: IdempotencyKey | None, deadline_ms: int
    ) -> BookingAnswer:
        """Return the booking's result, or raise CallError that says if it ran."""
        answer = self.connections.post(
            self.keeper.get_addresses()[0],
            "/v1/bookings",
            request,
            BookingAnswer,
            deadline_ms / 1_000,
            {"Idempotency-Key": key or str(uuid.uuid4())},
        )
        self.seen.note(request.collection, answer.snapshot)
        return answer
