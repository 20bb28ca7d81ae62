"""Bookings of one entry.

The entry runs keys that it issued, and forwards other keys to their issuer.
"""

import gevent
import msgspec
import xxhash
from gevent.event import AsyncResult

from ..callers.app import BookingHandler, CallerContext
from ..callers.problems import ProblemKind, Refusal
from ..core.bookings.bookings import (
    BookingOutcome,
    BookingRegistry,
    KeyState,
    KeyStatus,
    Verdict,
)
from ..core.bookings.writers import BookingKey, parse_key
from ..core.common.clock import Clock
from ..core.common.outcomes import Failure, Ran
from ..core.search.messages import (
    BookingAnswer,
    BookingRequest,
    BookingState,
    BookingStatus,
    WriterAnswer,
)
from ..ids import CallerName, IdempotencyKey, RequestId
from ..logs import log_event
from ..peers import PeerContext
from ..results import get_result
from .forwarding import (
    ForwardedBooking,
    ForwardedQuestion,
    ForwardedReply,
    Forwarder,
)
from .refusals import (
    make_internal_error,
    make_issuer_unreachable,
    make_refusal,
    make_registry_full,
    make_reply_lost,
    make_still_running,
    make_writer_required,
)
from .runner import BookingRunner

FORWARD_RETRY_DELAY_S = 0.05
REPLY_MARGIN_S = 0.01  # time to return the reply before the deadline
NOT_READY_RETRY_AFTER_MS = 1_000


class RunResult(msgspec.Struct, frozen=True):
    """The result of running a booking: either an outcome or a refusal."""

    outcome: BookingOutcome | None
    refusal: Refusal | None


class BookingService(BookingHandler):
    """Runs each key at most once; only the issuer of a key stores and runs it."""

    def __init__(
        self,
        registry: BookingRegistry,
        runner: BookingRunner,
        forwarder: Forwarder,
        clock: Clock,
    ) -> None:
        self.registry = registry
        self.runner = runner
        self.forwarder = forwarder
        self.clock = clock
        self.running: dict[IdempotencyKey, AsyncResult] = {}
        self.issues_writers = True

    def issue_writer(self) -> WriterAnswer:
        """Return a new writer id, or raise Refusal."""
        if not self.issues_writers:
            raise Refusal(
                ProblemKind.LEAVING,
                "the entry is leaving and issues no more writer ids",
                "take a writer id at another entry of the address list",
            )
        now = self.clock.now()
        writer = self.registry.issue(now)
        if writer is None:
            raise make_registry_full(self.registry.get_eviction_wait_s(now))
        limits = self.registry.limits
        return WriterAnswer(
            str(writer), int(limits.open_s * 1_000), int(limits.keep_s * 1_000)
        )

    def book(
        self, call: CallerContext, text: IdempotencyKey, request: BookingRequest
    ) -> BookingAnswer:
        """Return the booking's result, or raise Refusal that states whether it ran."""
        key = read_key(text)
        if key.writer.entry == self.registry.entry:
            return self.book_locally(call, key, request)
        message = ForwardedBooking(call.request_id, call.caller, text, request)
        return self.forward(key, message, call.deadline_at).answer

    def book_locally(
        self, call: CallerContext, key: BookingKey, request: BookingRequest
    ) -> BookingAnswer:
        """Return the result of a booking whose key this entry issued.

        Run the booking, wait for a run of it that has begun, or return the stored
        result. Raise Refusal for any other verdict.
        """
        now = self.clock.now()
        fingerprint = make_fingerprint(call.caller, request)
        decision = self.registry.begin(key, fingerprint, now)
        if decision.verdict is Verdict.ANSWERED:
            return make_answer(call.request_id, key, decision.record.outcome)
        if decision.verdict is Verdict.RUN:
            self.running[key.text] = AsyncResult()
            gevent.spawn(self.run_booking, call, key, request)
        elif decision.verdict is not Verdict.JOIN:
            raise make_refusal(
                decision.verdict, key, self.registry.get_eviction_wait_s(now)
            )
        return self.wait_for_result(call, key)

    def run_booking(
        self, call: CallerContext, key: BookingKey, request: BookingRequest
    ) -> None:
        """Run a booking, record its outcome and wake the requests that wait for it.

        This runs in a greenlet of its own, which continues after the deadline of the
        caller.
        """
        run_result = RunResult(None, make_internal_error())
        try:
            run_result = RunResult(self.runner.run(call, key.text, request), None)
        except Refusal as refusal:
            run_result = RunResult(None, refusal)
        finally:
            ran = run_result.refusal.ran if run_result.refusal else Ran.ANSWERED
            self.registry.finish(key, ran, run_result.outcome)
            self.running.pop(key.text).set(run_result)
            if ran is Ran.UNKNOWN:
                log_event("booking_unknown", key=key, request_id=call.request_id)

    def wait_for_result(self, call: CallerContext, key: BookingKey) -> BookingAnswer:
        """Return the result of a running booking, or raise Refusal."""
        remaining_s = max(0.0, call.deadline_at - self.clock.now())
        try:
            run_result = get_result(self.running[key.text], remaining_s)
        except gevent.Timeout:
            raise make_still_running() from None
        if run_result.refusal is not None:
            raise run_result.refusal
        return make_answer(call.request_id, key, run_result.outcome)

    def look_up(self, call: CallerContext, text: IdempotencyKey) -> BookingStatus:
        """Return the known status of a key."""
        return self.look_up_or_close(
            call.request_id, text, call.deadline_at, close=False
        )

    def close(self, call: CallerContext, text: IdempotencyKey) -> BookingStatus:
        """Close a key that has not run, so that it never runs; return its status."""
        return self.look_up_or_close(
            call.request_id, text, call.deadline_at, close=True
        )

    def look_up_or_close(
        self,
        request_id: RequestId,
        text: IdempotencyKey,
        deadline_at: float,
        *,
        close: bool,
    ) -> BookingStatus:
        """Return the status of a key from its issuer, after closing it if `close`."""
        key = read_key(text)
        if key.writer.entry != self.registry.entry:
            message = ForwardedQuestion(request_id, text, close)
            return self.forward(key, message, deadline_at).status
        now = self.clock.now()
        method = self.registry.close_key if close else self.registry.look_up
        return self.make_status(request_id, key, method(key, now))

    def make_status(
        self, request_id: RequestId, key: BookingKey, status: KeyStatus
    ) -> BookingStatus:
        """Return a key's status in the callers' format, or raise Refusal."""
        if status.state is KeyState.ANSWERED:
            answer = make_answer(request_id, key, status.outcome)
            return BookingStatus(
                key.text, BookingState.ANSWERED, Ran.ANSWERED, "it ran", answer
            )
        if status.verdict is Verdict.RUN:
            return BookingStatus(
                key.text,
                BookingState.NEW,
                Ran.UNKNOWN,
                "no request with the key has come; one on its way may still run",
            )
        if status.verdict is Verdict.JOIN:
            return BookingStatus(
                key.text, BookingState.RUNNING, Ran.UNKNOWN, "it runs now"
            )
        wait_s = self.registry.get_eviction_wait_s(self.clock.now())
        refusal = make_refusal(status.verdict, key, wait_s)
        if status.verdict in (Verdict.FULL, Verdict.NEVER_ISSUED):
            raise refusal
        closed = refusal.ran is Ran.NOT_RUN
        state = BookingState.CLOSED if closed else BookingState.UNKNOWN
        return BookingStatus(key.text, state, refusal.ran, refusal.detail)

    def forward(
        self,
        key: BookingKey,
        message: ForwardedBooking | ForwardedQuestion,
        deadline_at: float,
    ) -> ForwardedReply:
        """Return the issuer's reply, or raise Refusal.

        After a lost reply the message is forwarded again until the deadline, because
        the issuer runs a key at most once. A message that was not sent, for example
        because the link did not open, is not retried.
        """
        was_sent = False
        while True:
            reply = self.forwarder.forward(key.writer.entry, message, deadline_at)
            if not isinstance(reply, Failure):
                break
            was_sent |= reply.ran is not Ran.NOT_RUN
            next_at = self.clock.now() + FORWARD_RETRY_DELAY_S
            if reply.ran is Ran.NOT_RUN or next_at >= deadline_at:
                make = make_reply_lost if was_sent else make_issuer_unreachable
                raise make(key, reply)
            gevent.sleep(FORWARD_RETRY_DELAY_S)
        if reply.problem is not None:
            raise Refusal.from_problem(reply.problem)
        return reply

    def handle_forwarded(
        self, message: ForwardedBooking | ForwardedQuestion, context: PeerContext
    ) -> ForwardedReply:
        """Handle a message that another entry forwarded; never forward it again."""
        deadline_at = context.deadline_at - REPLY_MARGIN_S
        try:
            key = read_key(message.key)
            if key.writer.entry != self.registry.entry:
                raise make_refusal(Verdict.OTHER_ISSUER, key, 0.0)
            if isinstance(message, ForwardedQuestion):
                status = self.look_up_or_close(
                    message.request_id, message.key, deadline_at, close=message.close
                )
                return ForwardedReply(status=status)
            call = self.make_caller_context(message, deadline_at)
            return ForwardedReply(answer=self.book_locally(call, key, message.request))
        except Refusal as refusal:
            return ForwardedReply(problem=refusal.make_problem(message.request_id))

    def make_caller_context(
        self, message: ForwardedBooking, deadline_at: float
    ) -> CallerContext:
        """Return the caller context of a forwarded booking.

        Pin this entry's configuration, or raise Refusal if there is none.
        """
        pinned = self.runner.store.current
        if pinned is None:
            raise Refusal(
                ProblemKind.NOT_READY,
                "the issuer of the key has no configuration yet",
                "send the same booking again after the stated time",
                retry_after_ms=NOT_READY_RETRY_AFTER_MS,
            )
        return CallerContext(message.request_id, message.caller, pinned, deadline_at)


def read_key(text: IdempotencyKey) -> BookingKey:
    """Return the parsed key, or raise Refusal if it has no writer id."""
    key = parse_key(text)
    if key is None:
        raise make_writer_required()
    return key


def make_fingerprint(caller: CallerName, request: BookingRequest) -> bytes:
    """Return a hash that distinguishes bookings that are sent under the same key."""
    parts = (caller, request.collection, request.record, request.quantity)
    return xxhash.xxh3_128_digest(msgspec.json.encode(parts))


def make_answer(
    request_id: RequestId, key: BookingKey, outcome: BookingOutcome
) -> BookingAnswer:
    """Return the answer to the caller of a booking that ran."""
    return BookingAnswer(
        request_id,
        key.text,
        outcome.result,
        outcome.snapshot,
        outcome.config_version,
    )
