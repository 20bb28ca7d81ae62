"""Sends the first calls of a request to other data centres in batches."""

import itertools
from collections.abc import Callable, Sequence

from ..core.batch_messages import BatchCancel, BatchedAnswers, BatchedCalls
from ..core.batches import AggregatorChoice, group_by_data_centre
from ..core.clock import Clock
from ..core.fanout import Call
from ..core.peer_messages import Member
from ..ids import AttemptId, DataCentre, EntryId, RequestId
from ..peers import PeerContext, PeerLinks
from .http_messages import RequestEncoder

HOP_MARGIN_S = 0.003  # Time for the last answers of a batch to arrive.

OnAnswers = Callable[["CallBatch", BatchedAnswers], None]


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
        self.ids = itertools.count(1)
        self.batches: dict[int, CallBatch] = {}
        links.register(BatchedAnswers, self.on_message)

    def send(
        self,
        calls: Sequence[Call],
        request_id: RequestId,
        encoder: RequestEncoder,
        top_k: int,
        objective_at: float,
        deadline_at: float,
        on_answers: OnAnswers,
    ) -> list[CallBatch]:
        """Send calls in batches, as far as they fill any, and return the batches."""
        now = self.clock.now()
        sent = []
        groups = group_by_data_centre(calls, self.data_centre)
        for data_centre, group in groups.items():
            peer = self.choice.choose(data_centre, self.get_members(), now)
            if peer is None or not self.is_linked(peer):
                continue
            batch = CallBatch(next(self.ids), peer, group, on_answers)
            message = BatchedCalls(
                batch.id,
                request_id,
                encoder.head,
                encoder.tail,
                top_k,
                max(1, int((deadline_at - now) * 1_000)),
                max(0, int((objective_at - HOP_MARGIN_S - now) * 1_000)),
                tuple(call.target.id for call in group),
            )
            if self.links.send(peer, message):
                self.batches[batch.id] = batch
                self.count("batches_sent")
                sent.append(batch)
        return sent

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
        for item in (*message.answers, *message.failures):
            batch.pending.discard(batch.calls[item.index].id)
        if not batch.pending:
            del self.batches[batch.id]
        batch.on_answers(batch, message)

    def note_late(self, batch: CallBatch) -> None:
        """Record that a call of the batch is late."""
        if not batch.has_answered:
            self.count("batches_late")
            self.choice.note_silence(batch.peer, self.clock.now())

    def cancel(self, batch: CallBatch) -> None:
        """Cancel the calls of a batch that are in flight."""
        if self.batches.pop(batch.id, None) is not None:
            self.links.send(batch.peer, BatchCancel(batch.id))
