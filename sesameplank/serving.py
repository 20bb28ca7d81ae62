"""Whether this process takes requests, and how many are in flight."""

import contextlib
from collections.abc import Callable, Iterator
from enum import Enum

from gevent.event import Event

from .bookings.forwarding import ForwardedBooking, ForwardedReply
from .bookings.service import BookingService
from .callers.app import BookingHandler, CallerRequest
from .callers.problems import ProblemKind, Refusal
from .core.bookings import Verdict
from .core.messages import BookingAnswer, BookingRequest, BookingStatus, WriterAnswer
from .core.writers import parse_key
from .ids import IdempotencyKey
from .peers import PeerContext

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

    `before_admission` runs first, and may change the state.

    A refusal here is a true "not run": nothing was done for the request.
    """

    def __init__(self) -> None:
        self.state = ServingState.STARTING
        self.in_flight = 0
        self.refused = 0
        self.before_admission: Callable[[], None] = lambda: None
        self.idle = Event()
        self.idle.set()

    def set_state(self, state: ServingState) -> None:
        """Change the state; CLOSED is final."""
        if self.state is not ServingState.CLOSED:
            self.state = state

    @contextlib.contextmanager
    def admit(self, is_new: bool = True) -> Iterator[None]:
        """Count a request as in flight, or raise Refusal.

        A request that is not new has had an effect that only its repetition
        brings to light, so it is admitted in every state.
        """
        self.before_admission()
        if is_new and self.state is not ServingState.OPEN:
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


class GatedBookings(BookingHandler):
    """Admits bookings by the gate; what may have run already always passes."""

    def __init__(self, desk: BookingService, gate: ServingGate) -> None:
        self.desk = desk
        self.gate = gate

    def issue_writer(self) -> WriterAnswer:
        """Return a new writer id."""
        with self.gate.admit():
            return self.desk.issue_writer()

    def book(
        self, call: CallerRequest, text: IdempotencyKey, request: BookingRequest
    ) -> BookingAnswer:
        """Return the result of a booking."""
        with self.gate.admit(self.is_new(text)):
            return self.desk.book(call, text, request)

    def look_up(self, call: CallerRequest, text: IdempotencyKey) -> BookingStatus:
        """Return what is known of a key."""
        with self.gate.admit(is_new=False):
            return self.desk.look_up(call, text)

    def close(self, call: CallerRequest, text: IdempotencyKey) -> BookingStatus:
        """Close a key that has not run, so that it never will."""
        with self.gate.admit(is_new=False):
            return self.desk.close(call, text)

    def is_new(self, text: IdempotencyKey) -> bool:
        """Tell whether this entry issued the key and has never seen it used."""
        key = parse_key(text)
        if key is None or key.writer.entry != self.desk.memory.entry:
            return False
        now = self.desk.clock.now()
        return self.desk.memory.look_up(key, now).verdict is Verdict.RUN

    def take_forwarded_booking(
        self, message: ForwardedBooking, context: PeerContext
    ) -> ForwardedReply:
        """Run a booking that another entry forwarded, or say that it was not run."""
        try:
            with self.gate.admit(self.is_new(message.key)):
                return self.desk.take_forwarded(message, context)
        except Refusal as refusal:
            return ForwardedReply(problem=refusal.make_problem(message.request_id))


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
