"""Runs a booking on one of the targets that own its record."""

import itertools

import gevent

from ..callers.app import CallerContext
from ..callers.problems import ProblemKind, Refusal
from ..conf import Shard
from ..core.bookings.bookings import BookingOutcome
from ..core.common.clock import Clock
from ..core.common.outcomes import Failure, Ran
from ..core.published.versions import AcceptedConfiguration, ConfigurationStore
from ..core.search.messages import (
    BookingRequest,
    TargetBooking,
    TargetBookingAnswer,
    TargetBookingStatus,
)
from ..core.search.ranges import get_position
from ..ids import IdempotencyKey, RequestId, TargetId
from ..targets import Dispatcher
from .refusals import make_outcome_unknown

RETURN_MARGIN_S = 0.005  # time to return the answer before the deadline
LATE_ANSWER_GRACE_S = 5.0
CONFIGURATION_POLL_INTERVAL_S = 0.02
RETRY_AFTER_MS = 500


class BookingRunner:
    """Sends a booking to the targets of its shard, one after the other.

    It tries the next target only if the booking has certainly not run: either the
    target stated this, or this process sent no byte. So at most one attempt may
    have run.
    """

    def __init__(
        self, dispatcher: Dispatcher, store: ConfigurationStore, clock: Clock
    ) -> None:
        self.dispatcher = dispatcher
        self.store = store
        self.clock = clock
        self.call_numbers = itertools.count(1)

    def run(
        self, call: CallerContext, key: IdempotencyKey, request: BookingRequest
    ) -> BookingOutcome:
        """Return the booking's outcome, or raise Refusal that states whether it ran.

        If no target runs the booking and some target states that it does not own
        the record, the shard is moving. The booking then waits for a newer
        configuration.
        """
        stop_at = call.deadline_at - RETURN_MARGIN_S
        pinned = call.pinned
        while True:
            shard = get_shard(pinned, request)
            outcome = self.try_shard(call, pinned, shard, key, request)
            if isinstance(outcome, BookingOutcome):
                return outcome
            newer = (
                self.wait_for_newer_configuration(pinned, stop_at) if outcome else None
            )
            if newer is None:
                raise Refusal(
                    ProblemKind.TARGET_UNAVAILABLE,
                    f"no target of shard {shard.id} took the booking",
                    "send the same booking again after the stated time",
                    retry_after_ms=RETRY_AFTER_MS,
                )
            pinned = newer

    def try_shard(
        self,
        call: CallerContext,
        pinned: AcceptedConfiguration,
        shard: Shard,
        key: IdempotencyKey,
        request: BookingRequest,
    ) -> BookingOutcome | bool:
        """Return the outcome, or whether some target states that the shard moved.

        Raise Refusal if the outcome of a call is unknown.
        """
        has_moved = False
        for target in shard.replicas:
            answer = self.send(call, key, request, target)
            if isinstance(answer, Failure):
                if answer.ran is not Ran.NOT_RUN:
                    raise make_outcome_unknown(answer)
                continue
            if answer.status is TargetBookingStatus.RAN:
                return BookingOutcome(answer.result, answer.snapshot, pinned.version)
            has_moved |= answer.status is TargetBookingStatus.NOT_OWNED
        return has_moved

    def send(
        self,
        call: CallerContext,
        key: IdempotencyKey,
        request: BookingRequest,
        target: TargetId,
    ) -> TargetBookingAnswer | Failure:
        """Send the booking to one target, and return its answer or a Failure.

        Wait for the answer up to `LATE_ANSWER_GRACE_S` beyond the deadline, because a
        late answer still determines the state of the key. Each call has an id of its
        own, so that a second copy of a refusal is no answer to the next call.
        """
        stop_at = call.deadline_at - RETURN_MARGIN_S
        message = TargetBooking(
            request_id=RequestId(f"{call.request_id}.{next(self.call_numbers)}"),
            idempotency_key=key,
            collection=request.collection,
            record=request.record,
            quantity=request.quantity,
            deadline_ms=max(1, int((stop_at - self.clock.now()) * 1_000)),
        )
        return self.dispatcher.book(
            target, message, stop_at, stop_at + LATE_ANSWER_GRACE_S
        )

    def wait_for_newer_configuration(
        self, pinned: AcceptedConfiguration, stop_at: float
    ) -> AcceptedConfiguration | None:
        """Wait for a configuration newer than the pinned one.

        Return None if there is none by `stop_at`, in seconds of this process's clock.
        """
        while self.store.version <= pinned.version:
            if self.clock.now() + CONFIGURATION_POLL_INTERVAL_S >= stop_at:
                return None
            gevent.sleep(CONFIGURATION_POLL_INTERVAL_S)
        return self.store.current


def get_shard(pinned: AcceptedConfiguration, request: BookingRequest) -> Shard:
    """Return the shard that holds the record, or raise Refusal."""
    collection = pinned.configuration.collections.get(request.collection)
    if collection is None:
        raise Refusal(
            ProblemKind.UNKNOWN_COLLECTION,
            f"the collection {request.collection!r} is not in the configuration",
            "use a published collection's name",
        )
    return collection.get_shard(get_position(request.record))
