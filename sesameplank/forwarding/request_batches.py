"""The calls of one request that other VMs make: what is sent, and what comes back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.common.outcomes import FailureReason, Ran
from ..core.forwarding.batch_messages import (
    BatchedAnswer,
    BatchedAnswers,
    BatchedFailure,
    BatchedResponse,
)
from ..core.forwarding.fanout_calls import Call
from ..ids import AttemptId
from .call_batches import BatchRequest, CallBatch
from .http_messages import Response

if TYPE_CHECKING:
    from .forwarded_request import ForwardedRequest


class RequestBatches:
    """The batches of one request.

    `sent` holds all of them, and `pending` the batch of each call without an outcome.
    """

    def __init__(self, request: ForwardedRequest) -> None:
        self.request = request
        self.forwarder = request.forwarder
        self.clock = request.clock
        self.sent: list[CallBatch] = []
        self.pending: dict[AttemptId, CallBatch] = {}

    def send(self, calls: list[Call]) -> list[Call]:
        """Send calls through other VMs, and return those that this one sends itself."""
        batches = self.choose(calls)
        self.sent += batches
        for batch in batches:
            self.request.context.calls += len(batch.calls)
            self.request.fanout.note_batched(batch.calls)
            self.forwarder.count("batched_calls", len(batch.calls))
            for call in batch.calls:
                self.pending[call.id] = batch
        return [call for call in calls if call.id not in self.pending]

    def choose(self, calls: list[Call]) -> list[CallBatch]:
        """Send calls through other VMs, and return the batches.

        Those are first calls to other data centres, and all calls if this VM has lost
        its links to targets. This VM sends calls to a limited target itself, unless it
        has no part of the limit.
        """
        batches = self.forwarder.batches
        if batches is None or not calls:
            return []
        if self.forwarder.reach.is_lost:
            return batches.send_through_deputies(calls, self.make_request())
        sent = []
        limits = self.forwarder.limits
        if limits.limits:
            now = self.clock.now()
            without_part = [
                call for call in calls if not limits.has_part(call.target.id, now)
            ]
            if without_part:
                request = self.make_request()
                sent += batches.send_to_holders(without_part, request, limits)
            calls = [call for call in calls if not limits.is_limited(call.target.id)]
        if self.request.is_merged:
            sent += batches.send_to_data_centres(calls, self.make_request())
        return sent

    def make_request(self) -> BatchRequest:
        """Return what other VMs need to know of the request."""
        request = self.request
        return BatchRequest(
            request.metadata.request_id,
            request.encoder,
            request.route.top_k,
            request.plan.objective_at,
            request.plan.deadline_at,
            self.on_answers,
            is_gather=request.is_merged,
            is_idempotent=request.route.idempotent,
            is_head=request.is_head,
            fingerprint=request.sent_request.fingerprint,
        )

    def find_unobserved(self) -> set[AttemptId]:
        """Return the calls of which nothing is known."""
        return {call for call, batch in self.pending.items() if not batch.has_answered}

    def list_vms(self) -> str:
        """Return the VMs that got calls, for the log, or "-" for none."""
        return ",".join(sorted({batch.peer for batch in self.sent})) or "-"

    def on_answers(self, batch: CallBatch, message: BatchedAnswers) -> None:
        """Process what a VM returns; wake the request if necessary.

        The records of all answers are merged, so all of them are used or none.
        """
        signatures = {
            batch.calls[item.index].shard: item.signature for item in message.answers
        }
        if signatures:
            self.request.parts.add_merged(signatures, message.records)
        for item in message.answers:
            self.process_answer(batch.calls[item.index], item)
        for item in message.responses:
            self.process_response(batch.calls[item.index], item)
        for item in message.failures:
            self.process_failure(batch, batch.calls[item.index], item)
        self.request.wake_if_needed()

    def process_answer(self, call: Call, item: BatchedAnswer) -> None:
        """Process the answer to one call, whose records are merged."""
        self.pending.pop(call.id, None)
        load = None if item.load is None else item.load.unpack()
        placement = self.forwarder.placement
        if load is not None:
            placement.note_report(call.target.id, load, self.clock.now())
        placement.note_answer(call.target.id, call.id, self.clock.now())
        self.request.process_success(call, load, item.elapsed_us / 1_000_000)

    def process_response(self, call: Call, item: BatchedResponse) -> None:
        """Process a whole response to one call."""
        if self.pending.pop(call.id, None) is None:
            return
        response = Response()
        response.status = item.status
        for name, value in item.headers:
            response.add(name, value)
        response.body += item.body
        metadata = self.forwarder.dialect.read_response_metadata(response)
        if metadata.is_leaving:
            self.forwarder.availability.note_leaving(call.target)
        self.request.process_response(call, response)

    def process_failure(
        self, batch: CallBatch, call: Call, item: BatchedFailure
    ) -> None:
        """Process a call that failed or was refused."""
        if self.pending.pop(call.id, None) is None:
            return
        if item.is_limited:
            self.process_limited(call)
        elif item.is_quarantined:
            self.process_quarantined(call, item)
        elif item.is_other_target:
            self.request.process_misdirected(call, item.answered_by)
        elif item.is_refusal:
            load = None if item.load is None else item.load.unpack()
            self.request.process_refusal(call, load)
        elif item.reason is FailureReason.CANCELLED:
            self.process_returned(batch, call, item.ran)
        else:
            self.request.process_failure(call, item.unpack())

    def process_limited(self, call: Call) -> None:
        """Process a call for which another VM found no room at its target."""
        self.forwarder.count("batched_calls_limited")
        self.forwarder.placement.note_withdrawn(call.target.id, call.id)
        retries = self.request.fanout.on_limited(call, self.clock.now())
        self.request.dispatch(retries)

    def process_quarantined(self, call: Call, item: BatchedFailure) -> None:
        """Process a call that another VM withheld, as such requests crash targets.

        Its notice of that may come later.
        """
        self.forwarder.placement.note_withdrawn(call.target.id, call.id)
        self.request.note_quarantine()
        self.request.fanout.on_failure(call, item.ran, self.clock.now())

    def process_returned(self, batch: CallBatch, call: Call, ran: Ran) -> None:
        """Process a call that the VM of its batch returns instead of making it."""
        self.forwarder.count("batched_calls_returned")
        if not self.request.context.is_disconnected:  # Else they were asked for.
            self.forwarder.batches.note_returned(batch)
        self.forwarder.placement.note_withdrawn(call.target.id, call.id)
        retries = self.request.fanout.on_returned(call, ran, self.clock.now())
        self.request.dispatch(retries)

    def withdraw(self, call: Call) -> None:
        """Disregard the outcome of a call from now on."""
        if self.pending.pop(call.id, None) is not None:
            self.forwarder.placement.note_withdrawn(call.target.id, call.id)

    def withdraw_unsent(self) -> None:
        """Ask for the calls that no target has got yet.

        Those of an idempotent request are cancelled at its end.
        """
        if self.request.route.idempotent:
            return
        for batch in self.sent:
            self.forwarder.batches.withdraw_unsent(batch)

    def cancel(self) -> None:
        """Cancel all calls that are in flight."""
        for batch in self.sent:
            self.forwarder.batches.cancel(batch)
            for call in batch.calls:
                self.withdraw(call)
