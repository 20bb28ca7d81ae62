"""Makes batches of calls on behalf of other VMs, and returns the merged answers."""

from collections.abc import Callable, Iterable

import gevent

from ..core.common.clock import Clock
from ..core.common.outcomes import OWN_REASONS, Failure, FailureReason, Ran
from ..core.forwarding.batch_messages import (
    BatchCancel,
    BatchedAnswer,
    BatchedAnswers,
    BatchedCalls,
    BatchedFailure,
    BatchedLoad,
    BatchedResponse,
    BatchWithdrawal,
)
from ..core.forwarding.batches import NEVER, FlushSchedule
from ..core.forwarding.fanout_calls import Call, CallKind
from ..core.forwarding.placement import Placement
from ..core.forwarding.record_merge import RecordMerge
from ..core.forwarding.target_reach import TargetReach
from ..core.published.target_table import TargetRecord, TargetTable
from ..core.quarantine.sent_request import SentRequest
from ..crash_guard import CrashGuard
from ..ids import AttemptId, EntryId, Fingerprint, Incarnation
from ..peers import PeerContext, PeerLinks
from .connection_shares import ConnectionShares
from .dialect import Dialect, TargetAnswer, find_failure
from .http_messages import Response, encode_headers
from .replaced_targets import ReplacedTargets
from .request_fingerprints import find_encoded_fingerprint
from .request_log import RequestLog
from .target_connections import Exchange

MAX_BATCHES = 512
MAX_LOOP_DELAY_S = 0.3
# A batch that waited longer is not worth its calls, and its caller may have left: the
# message that says so arrives behind it.
MAX_BATCH_AGE_S = 0.4

# The sender, its incarnation and the number of the batch.
BatchKey = tuple[EntryId, Incarnation, int]


def make_key(batch: int, context: PeerContext) -> BatchKey:
    """Return the key of a batch that the sender of a message numbers."""
    return context.sender, context.incarnation, batch


class BatchServer:
    """Serves the batches of other VMs; `batches` holds those in progress."""

    def __init__(
        self,
        links: PeerLinks,
        clock: Clock,
        dialect: Dialect,
        table: TargetTable,
        placement: Placement,
        connection_shares: ConnectionShares,
        replaced_targets: ReplacedTargets,
        count: Callable[[str], None],
        on_transmit: Callable[[Call], None],
        reach: TargetReach,
        crash_guard: CrashGuard,
        get_loop_delay_s: Callable[[], float],
        log: RequestLog,
    ) -> None:
        self.links = links
        self.clock = clock
        self.dialect = dialect
        self.table = table
        self.placement = placement
        self.connection_shares = connection_shares
        self.replaced_targets = replaced_targets
        self.count = count
        self.on_transmit = on_transmit
        self.reach = reach
        self.crash_guard = crash_guard
        self.get_loop_delay_s = get_loop_delay_s
        self.log = log
        self.batches: dict[BatchKey, ServedBatch] = {}
        self.is_stopping = False
        links.register(BatchedCalls, self.on_calls)
        links.register(BatchCancel, self.on_cancel)
        links.register(BatchWithdrawal, self.on_withdrawal)

    def on_calls(self, message: BatchedCalls, context: PeerContext) -> None:
        """Make the calls of a batch, or return it at once.

        It is returned if its message is old, and if this process stops, has lost its
        links to targets or can't carry more.
        """
        batch = ServedBatch(self, message, context)
        if context.age_s > MAX_BATCH_AGE_S:
            self.count("batches_overdue")
            batch.refuse()
            return
        if self.is_stopping or self.reach.is_lost or self.is_overloaded():
            self.count("batches_returned")
            batch.refuse()
            return
        self.count("batches_served")
        if message.has_lost_targets:
            self.log.note_call(
                "calls_made_for",
                request=message.request_id,
                vm=context.sender,
                calls=len(message.targets),
                age_ms=int(context.age_s * 1_000),
                targets_revision=self.table.revision,
            )
        self.batches[batch.key] = batch
        batch.start()

    def is_overloaded(self) -> bool:
        """Return whether this process has too much to do for further batches."""
        is_late = self.get_loop_delay_s() > MAX_LOOP_DELAY_S
        return is_late or len(self.batches) >= MAX_BATCHES

    def return_all(self) -> None:
        """Return the batches in progress, with the answers that are in."""
        for batch in list(self.batches.values()):
            self.count("batches_returned")
            batch.give_back()

    def on_cancel(self, message: BatchCancel, context: PeerContext) -> None:
        """Cancel the calls of a batch."""
        batch = self.batches.get(make_key(message.batch, context))
        if batch is not None:
            batch.cancel()

    def on_withdrawal(self, message: BatchWithdrawal, context: PeerContext) -> None:
        """Return the calls of a batch that no target has got yet."""
        batch = self.batches.get(make_key(message.batch, context))
        if batch is not None:
            batch.return_unsent()


class ServedBatch:
    """One batch in progress: its calls in flight and the answers to return."""

    def __init__(
        self, server: BatchServer, message: BatchedCalls, context: PeerContext
    ) -> None:
        self.server = server
        self.message = message
        self.sender = context.sender
        self.request = SentRequest(message.request_id, self.find_fingerprint())
        self.key = make_key(message.batch, context)
        now = server.clock.now()
        self.deadline_at = now + message.remaining_ms / 1_000 - context.age_s
        objective_at = now + message.flush_ms / 1_000 - context.age_s
        self.schedule = FlushSchedule(len(message.targets), now, objective_at)
        self.exchanges: dict[int, Exchange] = {}
        self.answers: list[BatchedAnswer] = []
        self.merge = RecordMerge(message.top_k)
        self.flush_timer: gevent.Greenlet | None = None
        self.flush_at = NEVER
        self.deadline_timer: gevent.Greenlet | None = None

    def find_fingerprint(self) -> Fingerprint:
        """Return the fingerprint of the request, which older releases don't send."""
        message = self.message
        if message.fingerprint:
            return message.fingerprint
        return find_encoded_fingerprint(message.head + message.tail)

    def start(self) -> None:
        """Submit the calls; fail those whose target is unknown or leaving."""
        unknown = []
        for index, target in enumerate(self.message.targets):
            record = self.server.table.find_ready(target)
            if record is None:
                unknown.append(index)
            else:
                self.exchanges[index] = self.make_exchange(index, record)
        remaining_s = max(0.0, self.deadline_at - self.server.clock.now())
        self.deadline_timer = gevent.spawn_later(remaining_s, self.cancel)
        for index in unknown:
            self.fail(index, Failure(FailureReason.REFUSED, Ran.NOT_RUN))
        for exchange in list(self.exchanges.values()):
            self.server.connection_shares.get_pool(exchange.call.target).submit(
                exchange
            )

    def refuse(self) -> None:
        """Return all calls without having made them."""
        self.return_failures(range(len(self.message.targets)), Ran.NOT_RUN)

    def give_back(self) -> None:
        """Return the answers that are in and the calls in flight, and end the batch."""
        self.flush()
        for ran in (Ran.NOT_RUN, Ran.UNKNOWN):
            is_transmitted = ran is Ran.UNKNOWN
            self.return_failures(
                [
                    index
                    for index, exchange in self.exchanges.items()
                    if exchange.is_transmitted is is_transmitted
                ],
                ran,
            )
        self.cancel()

    def return_unsent(self) -> None:
        """Return the calls that have not been transmitted, and keep the others.

        Of those, the ones that their targets don't receive are ended.
        """
        unsent = [
            index
            for index, exchange in self.exchanges.items()
            if not exchange.is_transmitted
        ]
        for index in unsent:
            self.withdraw(index)
        self.return_failures(unsent, Ran.NOT_RUN)
        for exchange in self.exchanges.values():
            exchange.end_unless_received()
        if not self.exchanges:
            self.flush()

    def withdraw(self, index: int) -> None:
        """Take back a call that has not been transmitted."""
        exchange = self.exchanges.pop(index)
        call = exchange.call
        exchange.cancel()
        self.server.placement.note_withdrawn(call.target.id, call.id)
        self.schedule.note_done(self.server.clock.now(), has_answer=False)

    def return_failures(self, indexes: Iterable[int], ran: Ran) -> None:
        """Return calls as failed because this process doesn't make them."""
        failures = tuple(
            BatchedFailure(index, FailureReason.CANCELLED, ran) for index in indexes
        )
        if failures:
            self.send(BatchedAnswers(self.message.batch, failures=failures))

    def make_exchange(self, index: int, record: TargetRecord) -> Exchange:
        """Return the exchange of one call."""
        placement = self.server.placement
        now = self.server.clock.now()
        attempt = AttemptId(next(placement.attempt_ids))
        call = Call(attempt, CallKind.FIRST, record.service, record, now)
        placement.note_sent(record.id, attempt, now)
        return Exchange(
            call,
            self.request,
            lambda: self.encode(record),
            self.server.on_transmit,
            lambda exchange, outcome: self.on_done(index, exchange, outcome),
            is_idempotent=self.message.is_idempotent,
            is_head=self.message.is_head,
        )

    def encode(self, record: TargetRecord) -> bytes:
        """Return a call as bytes, with the time remaining until the deadline."""
        remaining_s = self.deadline_at - self.server.clock.now()
        headers = self.server.dialect.make_call_headers(record.id, remaining_s)
        return self.message.head + encode_headers(headers) + self.message.tail

    def on_done(
        self, index: int, exchange: Exchange, outcome: Response | Failure
    ) -> None:
        """Process the outcome of a call."""
        del self.exchanges[index]
        call = exchange.call
        if isinstance(outcome, Failure):
            self.process_failure(index, call, outcome)
            return
        now = self.server.clock.now()
        answer = self.server.dialect.read_answer(outcome)
        if answer.load is not None:
            self.server.placement.note_report(call.target.id, answer.load, now)
        if self.message.wants_responses:
            self.return_response(index, call, answer, outcome)
            return
        if answer.not_run:
            self.process_refusal(index, call, answer)
            return
        failure = find_failure(answer)
        if failure is not None:
            self.note_failure(call, failure)
            self.fail(index, failure)
            return
        self.server.crash_guard.note_answer(self.request)
        elapsed_s = self.server.placement.note_answer(call.target.id, call.id, now)
        self.merge.add(outcome.body)
        self.answers.append(
            BatchedAnswer(
                index,
                answer.signature,
                int((elapsed_s or 0.0) * 1_000_000),
                BatchedLoad.pack(answer.load),
            )
        )
        self.plan_flush(self.schedule.note_done(now, has_answer=True))

    def return_response(
        self, index: int, call: Call, answer: TargetAnswer, response: Response
    ) -> None:
        """Return a whole response, which the other VM interprets."""
        now = self.server.clock.now()
        if answer.not_run:
            self.server.placement.note_shed(call.target.id, call.id, now)
        else:
            self.server.crash_guard.note_answer(self.request)
            self.server.placement.note_answer(call.target.id, call.id, now)
        returned = BatchedResponse(
            index, response.status, tuple(response.headers), bytes(response.body)
        )
        if not self.send(BatchedAnswers(self.message.batch, responses=(returned,))):
            self.fail(index, Failure(FailureReason.QUEUE_FULL, Ran.ANSWERED))
            return
        self.plan_flush(self.schedule.note_done(now, has_answer=False))

    def process_failure(self, index: int, call: Call, failure: Failure) -> None:
        """Process a call without an answer.

        One that its target's limit held back is reported as a refusal, and one that was
        given up because the links of this VM are lost is returned. Both reasons are
        this process's own; other releases don't know them.
        """
        if failure.reason not in OWN_REASONS:
            self.note_failure(call, failure)
            self.fail(index, failure)
            return
        self.server.placement.note_withdrawn(call.target.id, call.id)
        if failure.reason is FailureReason.UNREACHED:
            self.fail(index, Failure(FailureReason.CANCELLED, failure.ran))
            return
        is_limited = failure.reason is FailureReason.LIMITED
        self.server.count("batch_limited" if is_limited else "batch_quarantined")
        self.report(
            BatchedFailure(
                index,
                FailureReason.REFUSED,
                failure.ran,
                is_refusal=failure.ran is Ran.NOT_RUN,
                is_limited=is_limited,
                is_quarantined=not is_limited,
            )
        )

    def note_failure(self, call: Call, failure: Failure) -> None:
        """Record a failed call of a target."""
        self.server.placement.note_failure(
            call.target.id,
            call.id,
            self.server.clock.now(),
            is_scattered=failure.is_scattered,
        )

    def process_refusal(self, index: int, call: Call, answer: TargetAnswer) -> None:
        """Process a call that its target did not run."""
        now = self.server.clock.now()
        if answer.is_other_target:
            self.server.count("batch_misdirected")
            self.server.replaced_targets.add(call.target)
            self.server.placement.note_failure(call.target.id, call.id, now)
        else:
            self.server.count("batch_shed")
            self.server.placement.note_shed(call.target.id, call.id, now)
        self.report(
            BatchedFailure(
                index,
                FailureReason.REFUSED,
                Ran.NOT_RUN,
                is_refusal=True,
                is_other_target=answer.is_other_target,
                load=BatchedLoad.pack(answer.load),
                answered_by=answer.answered_by,
            )
        )

    def fail(self, index: int, failure: Failure) -> None:
        """Report a failed call."""
        self.report(BatchedFailure.pack(index, failure))

    def report(self, failure: BatchedFailure) -> None:
        """Return a failure at once, so that it can be retried soon."""
        self.send(BatchedAnswers(self.message.batch, failures=(failure,)))
        now = self.server.clock.now()
        self.plan_flush(self.schedule.note_done(now, has_answer=False))

    def plan_flush(self, flush_at: float) -> None:
        """Return the answers at a time, or now if it has passed."""
        now = self.server.clock.now()
        if flush_at <= now:
            self.flush()
        elif flush_at < self.flush_at:
            self.flush_at = flush_at
            self.stop_flush_timer()
            self.flush_timer = gevent.spawn_later(flush_at - now, self.flush)

    def flush(self) -> None:
        """Return the answers that are in; end the batch if all calls have ended."""
        self.stop_flush_timer()
        self.flush_at = NEVER
        self.schedule.note_flushed()
        if self.answers:
            answers, self.answers = tuple(self.answers), []
            records = self.merge.get_body()
            self.merge = RecordMerge(self.message.top_k)
            self.send(
                BatchedAnswers(self.message.batch, answers=answers, records=records)
            )
        if not self.exchanges:
            self.end()

    def send(self, message: BatchedAnswers) -> bool:
        """Send a message to the VM that the batch is served for, if it isn't too large.

        Return whether it was queued.
        """
        return self.server.links.send(self.sender, message)

    def cancel(self) -> None:
        """Cancel the calls in flight and end the batch."""
        now = self.server.clock.now()
        for exchange in self.exchanges.values():
            call = exchange.call
            self.server.placement.note_abandoned(call.target.id, call.id, now)
            exchange.cancel()
        self.exchanges.clear()
        self.end()

    def end(self) -> None:
        """Stop the timers and forget the batch."""
        self.stop_flush_timer()
        timer, self.deadline_timer = self.deadline_timer, None
        if timer is not None and timer is not gevent.getcurrent():
            timer.kill(block=False)
        self.server.batches.pop(self.key, None)

    def stop_flush_timer(self) -> None:
        """Stop the timer of the next flush, if there is one."""
        timer, self.flush_timer = self.flush_timer, None
        if timer is not None and timer is not gevent.getcurrent():
            timer.kill(block=False)
