"""Bookings of one entry: own keys run here, others go to their issuer."""

import gevent
import msgspec
import xxhash
from gevent.event import AsyncResult

from ..callers.app import BookingHandler, CallerRequest
from ..callers.problems import ProblemKind, Refusal
from ..core.bookings import (
    BookingOutcome,
    BookingRegistry,
    KeyState,
    KeyStatus,
    Verdict,
)
from ..core.clock import Clock
from ..core.messages import (
    BookingAnswer,
    BookingRequest,
    BookingState,
    BookingStatus,
    WriterAnswer,
)
from ..core.outcomes import Failure, Ran
from ..core.writers import BookingKey, parse_key
from ..ids import CallerName, IdempotencyKey, RequestId
from ..logs import log_event
from ..peers import PeerContext
from .forwarding import (
    ForwardedBooking,
    ForwardedQuestion,
    ForwardedReply,
    Forwarder,
)
from .refusals import (
    make_failed,
    make_full,
    make_issuer_unreachable,
    make_pending,
    make_refusal,
    make_reply_lost,
    make_writer_required,
)
from .runner import BookingRunner

FORWARD_PAUSE_S = 0.05
REPLY_MARGIN_S = 0.01
NOT_READY_MS = 1_000


class Ended(msgspec.Struct, frozen=True):
    """How the run of a booking ended: with an outcome or a refusal."""

    outcome: BookingOutcome | None
    refusal: Refusal | None


class BookingService(BookingHandler):
    """Runs each key at most once. Only its issuer remembers and runs a key."""

    def __init__(
        self,
        memory: BookingRegistry,
        runner: BookingRunner,
        forwarder: Forwarder,
        clock: Clock,
    ) -> None:
        self.memory = memory
        self.runner = runner
        self.forwarder = forwarder
        self.clock = clock
        self.running: dict[IdempotencyKey, AsyncResult] = {}
        self.takes_writers = True

    def issue_writer(self) -> WriterAnswer:
        """Return a new writer id, or raise Refusal."""
        if not self.takes_writers:
            raise Refusal(
                ProblemKind.LEAVING,
                "the entry is leaving and issues no more writer ids",
                "take a writer id at another entry of the address list",
            )
        now = self.clock.now()
        writer = self.memory.issue(now)
        if writer is None:
            raise make_full(self.memory.get_eviction_wait_s(now))
        limits = self.memory.limits
        return WriterAnswer(
            str(writer), int(limits.open_s * 1_000), int(limits.keep_s * 1_000)
        )

    def book(
        self, call: CallerRequest, text: IdempotencyKey, request: BookingRequest
    ) -> BookingAnswer:
        """Return the booking's result, or raise Refusal that says whether it ran."""
        key = read_key(text)
        if key.writer.entry == self.memory.entry:
            return self.book_here(call, key, request)
        message = ForwardedBooking(call.request_id, call.caller, text, request)
        return self.forward(key, message, call.deadline_at).answer

    def book_here(
        self, call: CallerRequest, key: BookingKey, request: BookingRequest
    ) -> BookingAnswer:
        """Run a booking of an own key, join its run, or tell what became of it."""
        now = self.clock.now()
        fingerprint = make_fingerprint(call.caller, request)
        decision = self.memory.begin(key, fingerprint, now)
        if decision.verdict is Verdict.ANSWERED:
            return make_answer(call.request_id, key, decision.record.outcome)
        if decision.verdict is Verdict.RUN:
            self.running[key.text] = AsyncResult()
            gevent.spawn(self.run_to_end, call, key, request)
        elif decision.verdict is not Verdict.JOIN:
            raise make_refusal(
                decision.verdict, key, self.memory.get_eviction_wait_s(now)
            )
        return self.wait_for_end(call, key)

    def run_to_end(
        self, call: CallerRequest, key: BookingKey, request: BookingRequest
    ) -> None:
        """Run a booking in a greenlet that outlives the caller's patience."""
        ended = Ended(None, make_failed())
        try:
            ended = Ended(self.runner.run(call, key.text, request), None)
        except Refusal as refusal:
            ended = Ended(None, refusal)
        finally:
            ran = ended.refusal.ran if ended.refusal else Ran.ANSWERED
            self.memory.finish(key, ran, ended.outcome)
            self.running.pop(key.text).set(ended)
            if ran is Ran.UNKNOWN:
                log_event("booking_unknown", key=key, request_id=call.request_id)

    def wait_for_end(self, call: CallerRequest, key: BookingKey) -> BookingAnswer:
        """Return the result of a running booking, or raise Refusal."""
        remaining_s = max(0.0, call.deadline_at - self.clock.now())
        try:
            ended = self.running[key.text].get(timeout=remaining_s)
        except gevent.Timeout:
            raise make_pending() from None
        if ended.refusal is not None:
            raise ended.refusal
        return make_answer(call.request_id, key, ended.outcome)

    def look_up(self, call: CallerRequest, text: IdempotencyKey) -> BookingStatus:
        """Return the truth about a key as far as it is known."""
        return self.ask(call.request_id, text, call.deadline_at, close=False)

    def close(self, call: CallerRequest, text: IdempotencyKey) -> BookingStatus:
        """Close a key that has not run, so that it never will; return its truth."""
        return self.ask(call.request_id, text, call.deadline_at, close=True)

    def ask(
        self,
        request_id: RequestId,
        text: IdempotencyKey,
        deadline_at: float,
        *,
        close: bool,
    ) -> BookingStatus:
        """Ask this entry, or the issuer of the key."""
        key = read_key(text)
        if key.writer.entry != self.memory.entry:
            message = ForwardedQuestion(request_id, text, close)
            return self.forward(key, message, deadline_at).status
        now = self.clock.now()
        method = self.memory.close_key if close else self.memory.look_up
        return self.make_status(request_id, key, method(key, now))

    def make_status(
        self, request_id: RequestId, key: BookingKey, status: KeyStatus
    ) -> BookingStatus:
        """Return a key's status as callers see it, or raise Refusal."""
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
        wait_s = self.memory.get_eviction_wait_s(self.clock.now())
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
        """Return the issuer's answer, or raise Refusal.

        A reply that was lost is asked for again, since the issuer runs a key
        at most once; a link that does not open is final at once.
        """
        was_sent = False
        while True:
            reply = self.forwarder.forward(key.writer.entry, message, deadline_at)
            if not isinstance(reply, Failure):
                break
            was_sent |= reply.ran is not Ran.NOT_RUN
            next_at = self.clock.now() + FORWARD_PAUSE_S
            if reply.ran is Ran.NOT_RUN or next_at >= deadline_at:
                make = make_reply_lost if was_sent else make_issuer_unreachable
                raise make(key, reply)
            gevent.sleep(FORWARD_PAUSE_S)
        if reply.problem is not None:
            raise Refusal.from_problem(reply.problem)
        return reply

    def take_forwarded(
        self, message: ForwardedBooking | ForwardedQuestion, context: PeerContext
    ) -> ForwardedReply:
        """Reply to another entry; never passes on what was passed on."""
        deadline_at = context.deadline_at - REPLY_MARGIN_S
        try:
            key = read_key(message.key)
            if key.writer.entry != self.memory.entry:
                raise make_refusal(Verdict.OTHER_ISSUER, key, 0.0)
            if isinstance(message, ForwardedQuestion):
                status = self.ask(
                    message.request_id, message.key, deadline_at, close=message.close
                )
                return ForwardedReply(status=status)
            call = self.make_call(message, deadline_at)
            return ForwardedReply(answer=self.book_here(call, key, message.request))
        except Refusal as refusal:
            return ForwardedReply(problem=refusal.make_problem(message.request_id))

    def make_call(self, message: ForwardedBooking, deadline_at: float) -> CallerRequest:
        """Pin this entry's configuration for a booking that was passed on."""
        pinned = self.runner.store.current
        if pinned is None:
            raise Refusal(
                ProblemKind.NOT_READY,
                "the issuer of the key has no configuration yet",
                "send the same booking again after the stated time",
                retry_after_ms=NOT_READY_MS,
            )
        return CallerRequest(message.request_id, message.caller, pinned, deadline_at)


def read_key(text: IdempotencyKey) -> BookingKey:
    """Return the parts of a key, or raise Refusal."""
    key = parse_key(text)
    if key is None:
        raise make_writer_required()
    return key


def make_fingerprint(caller: CallerName, request: BookingRequest) -> bytes:
    """Return what tells one booking from another under the same key."""
    parts = (caller, request.collection, request.record, request.quantity)
    return xxhash.xxh3_128_digest(msgspec.json.encode(parts))


def make_answer(
    request_id: RequestId, key: BookingKey, outcome: BookingOutcome
) -> BookingAnswer:
    """Return a caller's answer to a booking that ran."""
    return BookingAnswer(
        request_id,
        key.text,
        outcome.result,
        outcome.snapshot,
        outcome.config_version,
    )
