"""The link to one peer: a bounded send queue over one connection at a time."""

from collections import deque
from collections.abc import Callable

import gevent
import msgspec
from gevent.event import AsyncResult, Event

from ..core.common.outcomes import Failure, FailureReason, Ran
from ..ids import EntryId
from ..logs import log_event
from .messages import PeerMessage
from .traffic import TrafficCounters
from .transport import MAX_FRAME_BYTES, PeerConnection

MAX_QUEUED_MESSAGES = 2_000
MAX_QUEUED_BYTES = 8 * 1024 * 1024
BATCH_BYTES = 64 * 1024
SEND_TIMEOUT_S = 5.0

FrameHandler = Callable[["Channel", bytes], None]


class PendingCall:
    """A call that waits for its reply.

    `sent` is set before the first byte of the call is passed to the connection.
    """

    def __init__(self, reply_type: type[PeerMessage]) -> None:
        self.reply_type = reply_type
        self.result: AsyncResult = AsyncResult()
        self.sent = False
        self.cancelled = False
        self.connection: PeerConnection | None = None

    @property
    def ran(self) -> Ran:
        """Whether the peer executed the call, as reported if the call fails now."""
        return Ran.UNKNOWN if self.sent else Ran.NOT_RUN

    def fail(self, reason: FailureReason, detail: str) -> None:
        """Complete the call with a failure."""
        self.result.set(Failure(reason, self.ran, detail))


class QueuedMessage(msgspec.Struct):
    """An encoded message in the send queue.

    `name` is the message type under which it is counted.
    """

    name: str
    payload: bytes
    call: PendingCall | None = None


class Channel:
    """The link to one peer: sends messages in order and receives frames.

    Both processes may open a connection at the same time. Both then send on the one
    that the process with the lower id opened. The process that opened the other
    connection closes it later, in `close_redundant`.

    `calls` maps call ids to the calls that wait for replies. `connections` maps each
    open connection to whether this process dialled it, and `current` is the one to
    send on.
    """

    def __init__(
        self,
        own_id: EntryId,
        peer: EntryId,
        counters: TrafficCounters,
        on_frame: FrameHandler,
    ) -> None:
        self.own_id = own_id
        self.peer = peer
        self.counters = counters
        self.on_frame = on_frame
        self.queue: deque[QueuedMessage] = deque()
        self.queued_bytes = 0
        self.calls: dict[int, PendingCall] = {}
        self.connections: dict[PeerConnection, bool] = {}
        self.current: PeerConnection | None = None
        self.wake = Event()
        self.used_at = 0.0

    def enqueue(self, message: QueuedMessage) -> bool:
        """Queue a message; return False if it is too large or the queue is full."""
        size = len(message.payload)
        if size > MAX_FRAME_BYTES or len(self.queue) >= MAX_QUEUED_MESSAGES:
            return False
        if self.queued_bytes + size > MAX_QUEUED_BYTES:
            return False
        self.queue.append(message)
        self.queued_bytes += size
        self.wake.set()
        return True

    def run(self, connection: PeerConnection, dialled: bool) -> None:
        """Send and receive on a connection until it closes.

        `dialled` states whether this process opened the connection.
        """
        self.connections[connection] = dialled
        self.choose_current()
        writer = gevent.spawn(self.write, connection)
        try:
            while True:
                self.on_frame(self, connection.recv())
        except OSError:
            pass  # The connection is closed; `detach` fails its calls.
        finally:
            writer.kill(block=False)
            self.detach(connection)

    def choose_current(self) -> None:
        """Select the connection to send on.

        Prefer a connection that the process with the lower id opened.
        """
        prefers_dialled = self.own_id < self.peer
        ranked = sorted(
            self.connections,
            key=lambda item: self.connections[item] == prefers_dialled,
        )
        self.current = ranked[-1] if ranked else None
        self.wake.set()

    def detach(self, connection: PeerConnection) -> None:
        """Remove a connection and fail the calls that were sent on it.

        If no connection is left, drop the queued messages too.
        """
        self.connections.pop(connection, None)
        self.choose_current()
        lost = [
            (call_id, call)
            for call_id, call in self.calls.items()
            if call.connection is connection
        ]
        for call_id, call in lost:
            del self.calls[call_id]
            call.fail(FailureReason.RESET, "the link closed")
        connection.close_socket()
        if self.current is None:
            self.fail_queued(FailureReason.RESET, "the link closed")

    def fail_queued(self, reason: FailureReason, detail: str) -> None:
        """Drop every queued message and fail the queued calls."""
        queued, self.queue = self.queue, deque()
        self.queued_bytes = 0
        for message in queued:
            if message.call:
                message.call.fail(reason, detail)
            else:
                self.counters.count_dropped(reason.value)

    def write(self, connection: PeerConnection) -> None:
        """Send queued messages until this connection closes.

        While another connection is the current one, wait without sending. An unexpected
        error closes the connection, since nothing else would send on it any more.
        """
        try:
            while connection in self.connections:
                if self.current is not connection or not self.queue:
                    self.wake.clear()
                    self.wake.wait()
                    continue
                frame = self.pop_batch(connection)
                if frame and not self.send_frame(connection, frame):
                    return
        except Exception as error:
            log_event("peer_write_failed", peer=self.peer, error=repr(error))
            connection.close_socket()

    def pop_batch(self, connection: PeerConnection) -> bytes:
        """Remove messages from the queue and return them joined into one frame.

        Mark their calls as sent, and skip cancelled calls. The frame is empty if
        only cancelled calls were queued.
        """
        parts: list[bytes] = []
        size = 0
        while self.queue:
            length = len(self.queue[0].payload)
            if parts and size + length > BATCH_BYTES:
                break
            message = self.queue.popleft()
            self.queued_bytes -= length
            if message.call and message.call.cancelled:
                continue
            if message.call:
                message.call.sent = True
                message.call.connection = connection
            self.counters.count_sent(message.name, length)
            parts.append(message.payload)
            size += length
        return b"".join(parts)

    def send_frame(self, connection: PeerConnection, frame: bytes) -> bool:
        """Send one frame and return whether it was sent.

        Close the connection on an error or after `SEND_TIMEOUT_S`.
        """
        try:
            with gevent.Timeout(SEND_TIMEOUT_S):
                connection.send(frame)
        except (gevent.Timeout, OSError):
            connection.close_socket()
            return False
        return True

    def close_redundant(self) -> None:
        """Close the connections that this process dialled but does not send on."""
        for connection, dialled in list(self.connections.items()):
            if dialled and connection is not self.current:
                connection.close_socket()

    def close_dialled(self) -> None:
        """Close every connection that this process dialled."""
        for connection, dialled in list(self.connections.items()):
            if dialled:
                connection.close_socket()

    def close(self) -> None:
        """Close every connection immediately."""
        for connection in list(self.connections):
            connection.close_socket()
