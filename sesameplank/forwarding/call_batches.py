"""Sends calls of a request through other VMs, in batches.

These are first calls to other data centres, and all calls of a VM that has lost its own
links to targets.
"""

import itertools
from collections.abc import Callable, Sequence

import msgspec

from ..core.common.clock import Clock
from ..core.forwarding.batch_messages import (
    BatchCancel,
    BatchedAnswers,
    BatchedCalls,
    BatchWithdrawal,
)
from ..core.forwarding.batches import (
    AggregatorChoice,
    find_deputies,
    group_by_data_centre,
)
from ..core.forwarding.fanout_calls import Call, CallKind
from ..core.limits.target_limits import TargetLimits
from ..core.membership.peer_messages import Member
from ..core.quarantine.fingerprints import NO_FINGERPRINT
from ..ids import AttemptId, DataCentre, EntryId, Fingerprint, RequestId
from ..peers import PeerContext, PeerLinks
from .http_messages import RequestEncoder

DEPUTY_LINKS = 4  # Opened by a VM that reaches neither targets nor other VMs.
HOP_MARGIN_S = 0.003  # Time for the last answers of a batch to arrive.

OnAnswers = Callable[["CallBatch", BatchedAnswers], None]


class BatchRequest(msgspec.Struct, frozen=True):
    """The request that calls are made for; times are in seconds.

    `is_gather` says that the answers are merged; otherwise they are returned whole.
    """

    request_id: RequestId
    encoder: RequestEncoder
    top_k: int
    objective_at: float
    deadline_at: float
    on_answers: OnAnswers
    is_gather: bool
    is_idempotent: bool
    is_head: bool
    fingerprint: Fingerprint = NO_FINGERPRINT


class CallBatch:
    """The calls of one request that one other VM makes.

    `pending` holds the ids of the calls without an outcome.
    """

    def __init__(
        self, id: int, peer: EntryId, calls: Sequence[Call], on_answers: OnAnswers
    ) -> None:
        self.id = id
        self.peer = peer
        self.calls = tuple(calls)
        self.pending: set[AttemptId] = {call.id for call in calls}
        self.on_answers = on_answers
        self.has_answered = False


class CallBatches:
    """The batches of this VM that are in progress, by id.

    `get_members` returns the VMs that callers are sent to, which are strong enough
    for the work.
    """

    def __init__(
        self,
        links: PeerLinks,
        data_centre: DataCentre,
        clock: Clock,
        choice: AggregatorChoice,
        get_members: Callable[[], Sequence[Member]],
        count: Callable[[str], None],
    ) -> None:
        self.links = links
        self.data_centre = data_centre
        self.clock = clock
        self.choice = choice
        self.get_members = get_members
        self.count = count
        # Answers to batches of an earlier incarnation may still arrive.
        self.ids = itertools.count(links.incarnation)
        self.batches: dict[int, CallBatch] = {}
        links.register(BatchedAnswers, self.on_message)

    def send_to_data_centres(
        self, calls: Sequence[Call], request: BatchRequest
    ) -> list[CallBatch]:
        """Send calls to other data centres in batches, as far as they fill any."""
        now = self.clock.now()
        sent = []
        groups = group_by_data_centre(calls, self.data_centre)
        for data_centre, group in groups.items():
            peer = self.choice.choose(data_centre, self.get_members(), now)
            if peer is not None and self.is_linked(peer):
                sent += self.send(peer, group, request, is_merged=True)
        return sent

    def send_through_deputies(
        self, calls: Sequence[Call], request: BatchRequest
    ) -> list[CallBatch]:
        """Send calls through VMs that reach targets, as this one doesn't.

        The answers of hedges and retries are not merged: two merged answers that share
        a shard could not be taken apart.
        """
        now = self.clock.now()
        deputies = self.get_linked_deputies()
        peers = {
            data_centre: self.choice.choose_deputy(data_centre, deputies, now)
            for data_centre in {call.target.data_centre for call in calls}
        }
        groups: dict[tuple[EntryId, bool], list[Call]] = {}
        for call in calls:
            peer = peers[call.target.data_centre]
            is_merged = request.is_gather and call.kind is CallKind.FIRST
            if peer is not None:
                groups.setdefault((peer, is_merged), []).append(call)
        sent = []
        for (peer, is_merged), group in groups.items():
            sent += self.send(
                peer, group, request, is_merged=is_merged, has_lost_targets=True
            )
        return sent

    def send_to_holders(
        self, calls: Sequence[Call], request: BatchRequest, limits: TargetLimits
    ) -> list[CallBatch]:
        """Send calls to limited targets through VMs that have a part of the limit."""
        deputies = self.get_deputies()
        sent = []
        for call in calls:
            holders = limits.get_holders(call.target.id, self.clock.now())
            able = [item for item in deputies if item.id in holders]
            linked = self.find_linked(able)
            if linked:
                peer = self.choice.rng.choice(linked).id
                sent += self.send(peer, [call], request, is_merged=False)
        return sent

    def get_deputies(self) -> list[Member]:
        """Return the VMs that make calls of any kind for this one."""
        return find_deputies(self.get_members(), self.choice.own_id)

    def get_linked_deputies(self) -> list[Member]:
        """Return the deputies that this VM has a link to."""
        return self.find_linked(self.get_deputies())

    def find_linked(self, members: Sequence[Member]) -> list[Member]:
        """Return those of the VMs that this one has a link to.

        If there are none, open links to a few for later calls.
        """
        linked = [item for item in members if self.links.is_connected(item.id)]
        if not linked:
            for member in members[:DEPUTY_LINKS]:
                self.is_linked(member.id)
        return linked

    def send(
        self,
        peer: EntryId,
        calls: Sequence[Call],
        request: BatchRequest,
        *,
        is_merged: bool,
        has_lost_targets: bool = False,
    ) -> list[CallBatch]:
        """Send a batch to a VM; return it in a list, which is empty if that failed."""
        now = self.clock.now()
        batch = CallBatch(next(self.ids), peer, calls, request.on_answers)
        message = BatchedCalls(
            batch.id,
            request.request_id,
            request.encoder.head,
            request.encoder.tail,
            request.top_k,
            max(1, int((request.deadline_at - now) * 1_000)),
            max(0, int((request.objective_at - HOP_MARGIN_S - now) * 1_000)),
            tuple(call.target.id for call in calls),
            wants_responses=not is_merged,
            is_idempotent=request.is_idempotent,
            is_head=request.is_head,
            has_lost_targets=has_lost_targets,
            fingerprint=request.fingerprint,
        )
        if not self.links.send(peer, message):
            return []
        self.batches[batch.id] = batch
        self.count("batches_sent")
        return [batch]

    def is_linked(self, peer: EntryId) -> bool:
        """Return whether a link to a VM is open; if not, open one for later batches."""
        if self.links.is_connected(peer):
            return True
        self.links.ensure_connected(self.links.get_channel(peer))
        return False

    def on_message(self, message: BatchedAnswers, context: PeerContext) -> None:
        """Pass the answers on to the request; ignore those that come too late."""
        batch = self.batches.get(message.batch)
        if batch is None or batch.peer != context.sender:
            return
        batch.has_answered = True
        self.choice.note_answer(batch.peer)
        for item in (*message.answers, *message.failures, *message.responses):
            batch.pending.discard(batch.calls[item.index].id)
        if not batch.pending:
            del self.batches[batch.id]
        batch.on_answers(batch, message)

    def note_returned(self, batch: CallBatch) -> None:
        """Record that the VM of a batch doesn't make its calls."""
        self.choice.note_silence(batch.peer, self.clock.now())

    def note_late(self, batch: CallBatch) -> None:
        """Record that a call of the batch is late."""
        if not batch.has_answered:
            self.count("batches_late")
            self.choice.note_silence(batch.peer, self.clock.now())

    def withdraw_unsent(self, batch: CallBatch) -> None:
        """Ask for the calls of the batch that no target has got yet."""
        if batch.id in self.batches:
            self.links.send(batch.peer, BatchWithdrawal(batch.id))

    def cancel(self, batch: CallBatch) -> None:
        """Cancel the calls of a batch that are in flight."""
        if self.batches.pop(batch.id, None) is not None:
            self.links.send(batch.peer, BatchCancel(batch.id))
