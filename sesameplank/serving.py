"""The serving state of this process, and the requests in flight."""

import contextlib
import math
from collections.abc import Callable, Iterator
from enum import Enum

import gevent
from gevent.event import Event

from .bookings.forwarding import ForwardedBooking, ForwardedReply
from .bookings.refusals import make_cut_off
from .bookings.service import BookingService
from .callers.app import BookingHandler, CallerContext
from .callers.problems import ProblemKind, Refusal
from .core.bookings.bookings import Verdict
from .core.bookings.writers import parse_key
from .core.common.clock import Clock, SystemClock
from .core.common.outcomes import Failure, FailureReason, Ran
from .core.common.stop_schedule import StopSchedule
from .core.membership.peer_messages import RelayedAnswer, RelayedCall
from .core.search.messages import (
    BookingAnswer,
    BookingRequest,
    BookingStatus,
    WriterAnswer,
)
from .exceptions import StopReached
from .ids import IdempotencyKey
from .peers import PeerContext
from .targets.dispatch import NEW_WORK_PATHS
from .targets.relay import RelayDispatcher

HOME_LEAVING = Failure(FailureReason.RELAY, Ran.NOT_RUN, "the home is stopping")
CUT_OFF = Failure(FailureReason.RELAY, Ran.UNKNOWN, "the home has stopped")
STARTING_RETRY_AFTER_MS = 1_000
REFRESHING_RETRY_AFTER_MS = 200
COMPLETION_S = 0.1  # The time in which nearly all bookings end.
RETURN_MARGIN_S = 0.05  # Requests end this much before those left are cut off.


class ServingState(Enum):
    """The states of a process; it admits new requests only while OPEN.

    While REFRESHING, it requests updates from its peers after a pause.
    """

    STARTING = "starting"
    OPEN = "open"
    REFRESHING = "refreshing"
    CLOSED = "closed"


class ServingGate:
    """Admits requests while OPEN, and counts those in flight.

    `before_admission` is called before each admission and may change the state.
    `idle` is set while no request is in flight. A request that is refused here
    has not run at all. `stop` is set once a stop was requested.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or SystemClock()
        self.state = ServingState.STARTING
        self.stop: StopSchedule | None = None
        self.admitted: set[gevent.Greenlet] = set()
        self.in_flight = 0
        self.refused = 0
        self.before_admission: Callable[[], None] = lambda: None
        self.idle = Event()
        self.idle.set()

    def set_state(self, state: ServingState) -> None:
        """Change the state, unless it is CLOSED, which is final."""
        if self.state is not ServingState.CLOSED:
            self.state = state

    def get_latest_deadline(self) -> float:
        """Return the time in seconds by which each request has to end."""
        if self.stop is None:
            return math.inf
        return self.stop.answer_by - RETURN_MARGIN_S

    def can_finish(self) -> bool:
        """Return whether a request that begins now can end before the stop does."""
        if self.stop is None:
            return True
        return self.stop.can_finish(self.clock.now(), COMPLETION_S, idempotent=False)

    def cut_off(self) -> None:
        """Raise StopReached in all requests in flight, which are then answered."""
        gevent.get_hub().loop.run_callback(self.interrupt_admitted)

    def interrupt_admitted(self) -> None:
        """Raise StopReached in each greenlet with a request; called in the hub."""
        for greenlet in list(self.admitted):
            if greenlet in self.admitted:
                greenlet.throw(StopReached())

    @contextlib.contextmanager
    def admit(self, is_new: bool = True) -> Iterator[None]:
        """Return a context in which a request counts as in flight.

        Raise Refusal on entering it if the request is not admitted. A request
        that is not new may have had an effect, and the caller learns of it only
        from the answer to a retry. Such a request is admitted in every state.
        """
        self.before_admission()
        if is_new and self.state is not ServingState.OPEN:
            self.refused += 1
            raise make_refusal(self.state)
        if is_new and not self.can_finish():
            self.refused += 1
            raise make_refusal(ServingState.CLOSED)
        greenlet = gevent.getcurrent()
        self.admitted.add(greenlet)
        self.in_flight += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.admitted.discard(greenlet)
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()


class GatedBookings(BookingHandler):
    """Passes bookings that the gate admits to the booking service.

    Bookings that may have run already are admitted in every state.
    """

    def __init__(self, service: BookingService, gate: ServingGate) -> None:
        self.service = service
        self.gate = gate

    def issue_writer(self) -> WriterAnswer:
        """Return a new writer id, or raise Refusal."""
        with self.gate.admit():
            return self.service.issue_writer()

    def book(
        self, call: CallerContext, text: IdempotencyKey, request: BookingRequest
    ) -> BookingAnswer:
        """Return the result of a booking, or raise Refusal."""
        with self.admit_booking(text):
            return self.service.book(call, text, request)

    def look_up(self, call: CallerContext, text: IdempotencyKey) -> BookingStatus:
        """Return the status of a key."""
        with self.admit_booking(text, is_new=False):
            return self.service.look_up(call, text)

    def close(self, call: CallerContext, text: IdempotencyKey) -> BookingStatus:
        """Close a key that has not run, so that it can never run."""
        with self.admit_booking(text, is_new=False):
            return self.service.close(call, text)

    @contextlib.contextmanager
    def admit_booking(
        self, text: IdempotencyKey, is_new: bool | None = None
    ) -> Iterator[None]:
        """Return a context in which a request about a key counts as in flight.

        Raise Refusal if it is not admitted, or if it is cut off by a stop.
        """
        try:
            with self.gate.admit(self.is_new(text) if is_new is None else is_new):
                yield
        except StopReached:
            raise make_cut_off(parse_key(text), self.service.registry.entry) from None

    def is_new(self, text: IdempotencyKey) -> bool:
        """Return whether this entry issued the key and would run a booking with it."""
        key = parse_key(text)
        if key is None or key.writer.entry != self.service.registry.entry:
            return False
        now = self.service.clock.now()
        return self.service.registry.look_up(key, now).verdict is Verdict.RUN

    def handle_forwarded_booking(
        self, message: ForwardedBooking, context: PeerContext
    ) -> ForwardedReply:
        """Run a booking that another entry forwarded, or return its refusal."""
        try:
            with self.admit_booking(message.key):
                return self.service.handle_forwarded(message, context)
        except Refusal as refusal:
            return ForwardedReply(problem=refusal.make_problem(message.request_id))


class GatedRelay:
    """Counts the calls that this process relays for other entries as in flight.

    New work is refused as not run while CLOSED, so that the other entry asks the next
    home of the target.
    """

    def __init__(self, dispatcher: RelayDispatcher, gate: ServingGate) -> None:
        self.dispatcher = dispatcher
        self.gate = gate

    def serve(
        self, message: RelayedCall, context: PeerContext
    ) -> RelayedAnswer | Failure:
        """Return the target's answer to a call of another entry, or a Failure."""
        is_new = message.path in NEW_WORK_PATHS
        if is_new and self.gate.state is ServingState.CLOSED:
            return HOME_LEAVING
        try:
            with self.gate.admit(is_new=False):
                return self.dispatcher.serve(message, context)
        except StopReached:
            return CUT_OFF


def make_search_cut_off() -> Refusal:
    """Return the refusal of a search that is in flight when the entry has to end."""
    return Refusal(
        ProblemKind.LEAVING,
        "the entry stops and the search has not ended in the time left",
        "ask any other entry of a fresh address list",
        ran=Ran.UNKNOWN,
        retry_after_ms=0,
    )


def make_refusal(state: ServingState) -> Refusal:
    """Return the refusal of a request that arrived in a state other than OPEN."""
    if state is ServingState.CLOSED:
        return Refusal(
            ProblemKind.LEAVING,
            "the entry is stopping and takes no new requests",
            "ask any other entry of a fresh address list",
            retry_after_ms=0,
        )
    if state is ServingState.REFRESHING:
        return Refusal(
            ProblemKind.NOT_READY,
            "the entry was paused and is learning what has changed",
            "ask again after the stated time, or another entry",
            retry_after_ms=REFRESHING_RETRY_AFTER_MS,
        )
    return Refusal(
        ProblemKind.NOT_READY,
        "the entry is starting and asks its peers for the newest configuration",
        "use another entry of the address list",
        retry_after_ms=STARTING_RETRY_AFTER_MS,
    )
