"""Calls and one-way messages between entries, with one link per pair of entries."""

import contextlib
import itertools
import random
from collections.abc import Callable

import gevent
import msgspec
from gevent.pool import Pool

from ..core.common.clock import Clock
from ..core.common.delays import DelayEstimate
from ..core.common.outcomes import Failure, FailureReason, Ran
from ..exceptions import PeerProtocolError
from ..ids import EntryId, Incarnation
from ..logs import log_event
from ..net import Address
from ..results import get_result
from .backoff import Backoff
from .channel import Channel, PendingCall, QueuedMessage
from .frames import (
    Envelope,
    EnvelopeKind,
    decode_frame,
    encode_envelope,
    pack_message,
    unpack_failure,
    unpack_message,
)
from .messages import PeerMessage
from .traffic import TrafficCounters
from .transport import PeerConnection, PeerTransport

IDLE_TIMEOUT_S = 30.0
IDLE_CHECK_INTERVAL_S = IDLE_TIMEOUT_S / 3
MAX_RUNNING_HANDLERS = 512


class PeerContext(msgspec.Struct, frozen=True):
    """The sender, age and deadline of a message.

    `age_s` is estimated in seconds relative to the link's smallest observed delay.
    `deadline_at` is in seconds of this process's clock, and infinite for one-way
    messages.
    """

    sender: EntryId
    incarnation: Incarnation
    age_s: float
    deadline_at: float


Handler = Callable[[PeerMessage, PeerContext], PeerMessage | Failure | None]
ContactListener = Callable[[EntryId, Incarnation, float], None]


class PeerLinks:
    """The links of this process to its peers.

    As a context manager it listens for connections, and closes all links on exit.
    `addresses` maps each known peer to its peer address; the users of this class
    keep it current with `set_address` and `remove_address`.
    """

    def __init__(
        self,
        entry_id: EntryId,
        incarnation: Incarnation,
        address: Address,
        clock: Clock,
        rng: random.Random,
        transport: PeerTransport,
    ) -> None:
        self.transport = transport
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.address = address
        self.clock = clock
        self.rng = rng
        self.addresses: dict[EntryId, Address] = {}
        self.counters = TrafficCounters()
        self.contact_listeners: list[ContactListener] = []
        self.handlers: dict[str, tuple[type[PeerMessage], Handler]] = {}
        self.channels: dict[EntryId, Channel] = {}
        self.dials: dict[EntryId, gevent.Greenlet] = {}
        self.backoff = Backoff(rng)
        self.delay_estimates: dict[tuple[EntryId, Incarnation], DelayEstimate] = {}
        # Replies to calls of an earlier incarnation may still arrive.
        self.call_ids = itertools.count(incarnation)
        self.handler_pool = Pool(MAX_RUNNING_HANDLERS)
        self.resources = contextlib.ExitStack()

    def __enter__(self) -> "PeerLinks":
        with contextlib.ExitStack() as stack:
            server = self.transport.make_server(
                self.entry_id, self.address, self.serve_connection
            )
            server.start()
            stack.callback(server.stop, timeout=0)
            stack.callback(self.close_channels)
            self.resources = stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.resources.close()

    def close_channels(self) -> None:
        """Cancel pending dials and close every link."""
        gevent.killall(list(self.dials.values()))
        for channel in self.channels.values():
            channel.close()

    def register(self, message_type: type[PeerMessage], handler: Handler) -> None:
        """Register the handler of a message type.

        The handler of a call returns the reply or a Failure.
        """
        self.handlers[message_type.__name__] = (message_type, handler)

    def call(
        self, peer: EntryId, message: PeerMessage, deadline_at: float
    ) -> PeerMessage | Failure:
        """Call a peer, and return its reply or a Failure.

        The failure states NOT_RUN only if the message was certainly not sent, or if
        the peer itself states this.
        """
        remaining_s = deadline_at - self.clock.now()
        if remaining_s <= 0:
            return Failure(FailureReason.TIMEOUT, Ran.NOT_RUN)
        pending = PendingCall(message.reply_type)
        call_id = next(self.call_ids)
        channel = self.get_channel(peer)
        payload = self.encode(EnvelopeKind.CALL, message, call_id, remaining_s)
        queued = QueuedMessage(type(message).__name__, payload, pending)
        channel.calls[call_id] = pending
        try:
            if not channel.enqueue(queued):
                return Failure(FailureReason.QUEUE_FULL, Ran.NOT_RUN)
            self.ensure_connected(channel)
            return get_result(pending.result, remaining_s)
        except gevent.Timeout:
            return Failure(FailureReason.TIMEOUT, pending.ran)
        finally:
            pending.cancelled = True
            channel.calls.pop(call_id, None)

    def send(self, peer: EntryId, message: PeerMessage) -> bool:
        """Queue a one-way message; return False if it was dropped immediately."""
        channel = self.get_channel(peer)
        payload = self.encode(EnvelopeKind.ONE_WAY, message)
        if not channel.enqueue(QueuedMessage(type(message).__name__, payload)):
            self.counters.count_dropped(FailureReason.QUEUE_FULL.value)
            return False
        self.ensure_connected(channel)
        return True

    def encode(
        self,
        kind: EnvelopeKind,
        message: msgspec.Struct,
        call_id: int = 0,
        budget_s: float = 0.0,
    ) -> bytes:
        """Return an encoded envelope with the message and the current time."""
        return encode_envelope(
            Envelope(
                kind=kind,
                sender=self.entry_id,
                incarnation=self.incarnation,
                sent_ms=int(self.clock.now() * 1_000),
                name=type(message).__name__,
                body=pack_message(message),
                call_id=call_id,
                budget_ms=int(budget_s * 1_000),
            )
        )

    def get_channel(self, peer: EntryId) -> Channel:
        """Return the channel to a peer, connected or not; create it if it is absent."""
        channel = self.channels.get(peer)
        if channel is None:
            channel = Channel(self.entry_id, peer, self.counters, self.receive_frame)
            self.channels[peer] = channel
        channel.used_at = self.clock.now()
        return channel

    def is_connected(self, peer: EntryId) -> bool:
        """Return whether a link to the peer is open."""
        channel = self.channels.get(peer)
        return channel is not None and channel.current is not None

    def set_address(self, peer: EntryId, address: Address) -> None:
        """Set the address of a peer.

        If the address changed, close the connections that were dialled.
        """
        known = self.addresses.get(peer)
        self.addresses[peer] = address
        if known not in (None, address) and peer in self.channels:
            self.channels[peer].close_dialled()

    def remove_address(self, peer: EntryId) -> None:
        """Remove the address and backoff of a peer that has left permanently."""
        self.addresses.pop(peer, None)
        self.backoff.note_success(peer)

    def ensure_connected(self, channel: Channel) -> None:
        """Dial the peer in the background unless it is connected or being dialled.

        During the backoff after a failed dial, fail the queued messages instead.
        """
        peer = channel.peer
        if channel.current is not None or peer in self.dials:
            return
        if not self.backoff.may_dial(peer, self.clock.now()):
            channel.fail_queued(FailureReason.CONNECT, "waiting to reconnect")
            return
        self.dials[peer] = gevent.spawn(self.dial, channel)

    def dial(self, channel: Channel) -> None:
        """Connect to a peer and serve the connection until it closes."""
        peer = channel.peer
        try:
            address = self.addresses[peer]
            connection = self.transport.open_connection(
                self.entry_id,
                self.address,
                peer,
                address,
                self.backoff.get_dial_timeout_s(peer),
            )
        except (OSError, LookupError) as error:
            self.backoff.note_failure(peer, self.clock.now())
            self.dials.pop(peer, None)
            if channel.current is None:
                channel.fail_queued(FailureReason.CONNECT, repr(error))
            return
        except BaseException:
            self.dials.pop(peer, None)
            raise
        self.backoff.note_success(peer)
        self.dials.pop(peer, None)
        if self.addresses.get(peer) != address:
            connection.close_socket()
            self.ensure_connected(channel)
            return
        channel.run(connection, dialled=True)

    def receive_frame(self, channel: Channel, frame: bytes) -> None:
        """Process every message of a frame; close the link if one is malformed."""
        try:
            for envelope, size in decode_frame(frame):
                self.receive_envelope(channel, envelope, size)
        except Exception as error:  # A message of one peer concerns no other link.
            log_event("peer_frame_refused", peer=channel.peer, reason=str(error))
            self.counters.count_dropped("malformed")
            channel.close()

    def receive_envelope(self, channel: Channel, envelope: Envelope, size: int) -> None:
        """Count a message, estimate its age, and pass it to its call or handler."""
        self.counters.count_received(envelope.name, size)
        now = self.clock.now()
        channel.used_at = now
        age_s = self.get_delay_estimate(envelope).observe(envelope.sent_ms / 1_000, now)
        for listener in self.contact_listeners:
            listener(envelope.sender, envelope.incarnation, age_s)
        if envelope.kind in (EnvelopeKind.REPLY, EnvelopeKind.FAILURE):
            self.receive_reply(channel, envelope)
            return
        if len(self.handler_pool) >= MAX_RUNNING_HANDLERS:
            self.counters.count_dropped("handlers_full")
            refusal = Failure(
                FailureReason.QUEUE_FULL,
                Ran.NOT_RUN,
                "peer is busy",
            )
            self.reply(channel, envelope, refusal)
            return
        self.handler_pool.spawn(self.handle, channel, envelope, age_s)

    def get_delay_estimate(self, envelope: Envelope) -> DelayEstimate:
        """Return the delay estimate of the sender; start anew for a new incarnation."""
        key = (envelope.sender, envelope.incarnation)
        if key not in self.delay_estimates:
            for old in [
                item for item in self.delay_estimates if item[0] == envelope.sender
            ]:
                del self.delay_estimates[old]
            self.delay_estimates[key] = DelayEstimate()
        return self.delay_estimates[key]

    def receive_reply(self, channel: Channel, envelope: Envelope) -> None:
        """Complete the call that a reply or failure belongs to; drop a late reply."""
        pending = channel.calls.pop(envelope.call_id, None)
        if pending is None:
            self.counters.count_dropped("late_reply")
            return
        try:
            if envelope.kind is EnvelopeKind.FAILURE:
                result = unpack_failure(envelope.body)
            else:
                result = unpack_message(envelope.body, pending.reply_type)
            pending.result.set(result)
        except PeerProtocolError as error:
            pending.fail(FailureReason.BAD_ANSWER, str(error))

    def handle(self, channel: Channel, envelope: Envelope, age_s: float) -> None:
        """Run the handler of a message and send its reply."""
        outcome = self.run_handler(envelope, age_s)
        self.reply(channel, envelope, outcome)

    def run_handler(
        self, envelope: Envelope, age_s: float
    ) -> PeerMessage | Failure | None:
        """Return the result of a message's handler.

        Return a Failure if the handler was not run or raised an exception.
        """
        deadline_at = float("inf")
        if envelope.kind is EnvelopeKind.CALL:
            remaining_s = envelope.budget_ms / 1_000 - age_s
            if remaining_s <= 0:
                self.counters.count_dropped("overdue")
                return Failure(
                    FailureReason.TIMEOUT,
                    Ran.NOT_RUN,
                    "arrived too late",
                )
            deadline_at = self.clock.now() + remaining_s
        if envelope.name not in self.handlers:
            return Failure(FailureReason.REFUSED, Ran.NOT_RUN, "unknown message type")
        message_type, handler = self.handlers[envelope.name]
        context = PeerContext(envelope.sender, envelope.incarnation, age_s, deadline_at)
        try:
            message = unpack_message(envelope.body, message_type)
        except PeerProtocolError as error:
            return Failure(FailureReason.REFUSED, Ran.NOT_RUN, str(error))
        try:
            return handler(message, context)
        except Exception as error:  # A faulty handler must not leave a call unanswered.
            log_event("peer_handler_failed", name=envelope.name, error=repr(error))
            return Failure(FailureReason.BAD_ANSWER, Ran.UNKNOWN, repr(error))

    def reply(
        self,
        channel: Channel,
        envelope: Envelope,
        outcome: PeerMessage | Failure | None,
    ) -> None:
        """Queue the reply to a call; if it is dropped, the call times out."""
        if envelope.kind is not EnvelopeKind.CALL or outcome is None:
            return
        if isinstance(outcome, Failure):
            payload = encode_envelope(
                Envelope(
                    EnvelopeKind.FAILURE,
                    self.entry_id,
                    self.incarnation,
                    int(self.clock.now() * 1_000),
                    envelope.name,
                    [msgspec.to_builtins(outcome)],
                    envelope.call_id,
                )
            )
        else:
            payload = self.encode(EnvelopeKind.REPLY, outcome, envelope.call_id)
        name = f"{envelope.name}.reply"
        if channel.current is None or not channel.enqueue(QueuedMessage(name, payload)):
            self.counters.count_dropped("reply")

    def serve_connection(self, sender: EntryId, connection: PeerConnection) -> None:
        """Serve a connection that a peer opened, until it closes."""
        self.get_channel(sender).run(connection, dialled=False)

    def close_idle(self) -> None:
        """Wait for IDLE_CHECK_INTERVAL_S, and close idle and redundant connections.

        Also remove the delay estimates of peers without a link.
        """
        gevent.sleep(IDLE_CHECK_INTERVAL_S)
        now = self.clock.now()
        for key in [
            item for item in self.delay_estimates if item[0] not in self.channels
        ]:
            del self.delay_estimates[key]
        for peer, channel in list(self.channels.items()):
            idle = now - channel.used_at > IDLE_TIMEOUT_S
            if idle and not channel.calls and not channel.queue:
                channel.close()
                if not channel.connections:
                    del self.channels[peer]
            else:
                channel.close_redundant()
