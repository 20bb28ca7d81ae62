"""Whether this process takes requests, and how many are in flight."""

import contextlib
from collections.abc import Iterator
from enum import Enum

from gevent.event import Event

from .callers.problems import ProblemKind, Refusal

STARTING_RETRY_MS = 1_000
REFRESHING_RETRY_MS = 200


class ServingState(Enum):
    """The states of a process towards callers."""

    STARTING = "starting"
    OPEN = "open"
    REFRESHING = "refreshing"
    CLOSED = "closed"


class ServingGate:
    """Admits requests while open, and knows when none is in flight.

    A refusal here is a true "not run": nothing was done for the request.
    """

    def __init__(self) -> None:
        self.state = ServingState.STARTING
        self.in_flight = 0
        self.refused = 0
        self.idle = Event()
        self.idle.set()

    def set_state(self, state: ServingState) -> None:
        """Change the state; CLOSED is final."""
        if self.state is not ServingState.CLOSED:
            self.state = state

    @contextlib.contextmanager
    def admit(self) -> Iterator[None]:
        """Count a request as in flight, or raise Refusal."""
        if self.state is not ServingState.OPEN:
            self.refused += 1
            raise make_refusal(self.state)
        self.in_flight += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()


def make_refusal(state: ServingState) -> Refusal:
    """Return the refusal of a request that came in a state other than OPEN."""
    if state is ServingState.CLOSED:
        return Refusal(
            ProblemKind.LEAVING,
            "the entry is stopping and takes no new requests",
            "ask any other entry of a fresh address list",
            retry_after_ms=0,
            ends_connection=True,
        )
    if state is ServingState.REFRESHING:
        return Refusal(
            ProblemKind.NOT_READY,
            "the entry was paused and is learning what has changed",
            "ask again after the stated time, or another entry",
            retry_after_ms=REFRESHING_RETRY_MS,
        )
    return Refusal(
        ProblemKind.NOT_READY,
        "the entry is starting and asks its peers for the newest configuration",
        "use another entry of the address list",
        retry_after_ms=STARTING_RETRY_MS,
    )
