"""Runs bookings: at most one attempt that may have run, on the owning target."""

from .callers.app import CallerRequest
from .callers.problems import ProblemKind, Refusal
from .core.clock import Clock
from .core.messages import (
    BookingAnswer,
    BookingRequest,
    TargetBooking,
    TargetBookingAnswer,
    TargetBookingStatus,
)
from .core.outcomes import Failure, Ran
from .core.ranges import get_position
from .ids import IdempotencyKey
from .targets import Dispatcher

RETURN_MARGIN_S = 0.002


class BookingRunner:
    """Sends each booking to a target of its shard."""

    def __init__(self, dispatcher: Dispatcher, clock: Clock) -> None:
        self.dispatcher = dispatcher
        self.clock = clock

    def run(
        self, call: CallerRequest, key: IdempotencyKey, request: BookingRequest
    ) -> BookingAnswer:
        """Return the booking's result, or raise Refusal that says whether it ran."""
        configuration = call.pinned.configuration
        collection = configuration.collections.get(request.collection)
        if collection is None:
            raise Refusal(
                ProblemKind.UNKNOWN_COLLECTION,
                f"the collection {request.collection!r} is not in the configuration",
                "use a published collection's name",
            )
        shard = collection.get_shard(get_position(request.record))
        for target in shard.replicas:
            outcome = self.send(call, key, request, target)
            if isinstance(outcome, Failure):
                if outcome.ran is not Ran.NOT_RUN:
                    raise make_unknown(outcome)
                continue
            if outcome.status is TargetBookingStatus.RAN:
                return BookingAnswer(
                    call.request_id,
                    key,
                    outcome.result,
                    outcome.snapshot,
                    call.pinned.version,
                )
        raise Refusal(
            ProblemKind.TARGET_UNAVAILABLE,
            f"no target of shard {shard.id} took the booking",
            "send the same booking again after the stated time",
            retry_after_ms=500,
        )

    def send(
        self, call: CallerRequest, key: IdempotencyKey, request: BookingRequest, target
    ) -> TargetBookingAnswer | Failure:
        """Send the booking to one target."""
        stop_at = call.deadline_at - RETURN_MARGIN_S
        message = TargetBooking(
            request_id=call.request_id,
            idempotency_key=key,
            collection=request.collection,
            record=request.record,
            quantity=request.quantity,
            deadline_ms=max(1, int((stop_at - self.clock.now()) * 1_000)),
        )
        return self.dispatcher.book(target, message, stop_at)


def make_unknown(failure: Failure) -> Refusal:
    """Return the refusal of a booking that may or may not have run."""
    return Refusal(
        ProblemKind.OUTCOME_UNKNOWN,
        f"the booking was sent and no answer came ({failure.reason.value})",
        "ask what became of its key before booking again",
        ran=Ran.UNKNOWN,
    )
