"""Connections to targets, and the calls on them.

Each connection carries one call at a time. It is read even while it is idle, so
that it leaves its pool as soon as the target closes it or sends unsolicited bytes.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
import gevent.socket
import msgspec

from ..core.common.outcomes import Failure, FailureReason, Ran
from ..core.forwarding.fanout_calls import Call
from ..core.quarantine.sent_request import SentRequest
from ..ids import RequestId
from ..logs import log_event
from ..net import close_connection, count_unacknowledged_bytes
from .http_messages import Response, ResponseReader

if TYPE_CHECKING:
    from .target_pools import TargetPool

READ_EVENT = 1  # The event mask for "readable" in gevent's event loop.
READ_BYTES = 65_536
MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_MISMATCHED_RESPONSES = 4
ABANDONED_CALL_GRACE_S = 0.25
MAX_REFUSED_IDS = 32
DEFAULT_IDLE_TIMEOUT_S = 20.0
IDLE_TIMEOUT_MARGIN_S = 0.5

OnDone = Callable[["Exchange", Response | Failure], None]


class Exchange:
    """One call: how to encode it, and the callbacks for its progress.

    `encode` is called when a connection is free for the call, and `on_transmit`
    right before the first bytes are written. `on_done` gets the outcome, once; it is
    None afterwards, and also if the call was cancelled. `may_be_repeated` says that the
    target may have got a call of the same request before. `pool` is the pool that the
    call was submitted to, which may no longer be that of its target.
    """

    def __init__(
        self,
        call: Call,
        request: SentRequest,
        encode: Callable[[], bytes],
        on_transmit: Callable[[Call], None],
        on_done: OnDone,
        *,
        is_idempotent: bool,
        is_head: bool = False,
        may_be_repeated: bool = True,
    ) -> None:
        self.call = call
        self.may_be_repeated = may_be_repeated
        self.request = request
        self.encode = encode
        self.on_transmit = on_transmit
        self.on_done: OnDone | None = on_done
        self.pool: TargetPool | None = None
        self.is_idempotent = is_idempotent
        self.is_head = is_head
        self.is_transmitted = False

    def finish(self, outcome: Response | Failure) -> None:
        """Report the outcome, unless the call is finished or cancelled."""
        on_done, self.on_done = self.on_done, None
        if on_done is not None:
            on_done(self, outcome)

    def cancel(self) -> None:
        """Cancel the call without reporting its outcome."""
        self.on_done = None
        if self.pool is not None:
            self.pool.release(self)

    def end_unless_received(self) -> None:
        """Fail the call soon if its target has not received it whole by then."""
        connection = self.pool.find_connection(self) if self.pool else None
        if connection is not None:
            gevent.spawn_later(
                ABANDONED_CALL_GRACE_S, connection.close_unless_received, self
            )

    def fail(self, reason: FailureReason, detail: str = "") -> None:
        """Report a failure; a call that was never transmitted has certainly not run."""
        ran = Ran.UNKNOWN if self.is_transmitted else Ran.NOT_RUN
        self.finish(Failure(reason, ran, detail))


class BrokenCall(msgspec.Struct, frozen=True):
    """A call whose connection the target ended, when it was sent, and how it ended."""

    exchange: Exchange
    sent_at: float
    reason: FailureReason
    detail: str


class TargetConnection:
    """One connection to one target.

    A second copy of a refusal may arrive where the answer to the next call is due. If
    that is a call of the same request, the copy says that it has not run, while it
    does. So no connection carries a request of which it has carried a refusal:
    `refused_ids` holds the ids of such requests, the latest MAX_REFUSED_IDS of them.

    It is read in a callback of the event loop instead of a greenlet, because a
    fan-out over many shards would spend most of its time on switching between
    greenlets. Nothing that the callback calls may block.
    """

    def __init__(self, pool: TargetPool, sock: socket.socket) -> None:
        self.pool = pool
        self.sock = sock
        self.reader = ResponseReader(MAX_HEADER_BYTES, MAX_BODY_BYTES)
        self.exchange: Exchange | None = None
        self.mismatched = 0
        self.refused_ids: dict[RequestId, None] = {}
        self.has_forgotten_refusals = False
        self.served = 0
        self.idle_since = pool.clock.now()
        self.sent_at = self.idle_since
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.is_open = True
        self.sender: gevent.Greenlet | None = None
        self.close_timer: gevent.Greenlet | None = None
        self.read_watcher = gevent.get_hub().loop.io(sock.fileno(), READ_EVENT)
        self.read_watcher.start(self.on_readable)

    def may_carry(self, exchange: Exchange) -> bool:
        """Return whether no refusal of the same request may still arrive here."""
        if exchange.request.request_id in self.refused_ids:
            return False
        return not (self.has_forgotten_refusals and exchange.may_be_repeated)

    def note_refused(self, request_id: RequestId) -> None:
        """Record that a refusal of a request has arrived."""
        self.refused_ids[request_id] = None
        if len(self.refused_ids) > MAX_REFUSED_IDS:
            del self.refused_ids[next(iter(self.refused_ids))]
            self.has_forgotten_refusals = True

    def send(self, exchange: Exchange) -> None:
        """Send a call; its outcome is reported when the connection is read."""
        self.exchange = exchange
        self.sent_at = self.pool.clock.now()
        self.reader.is_head = exchange.is_head
        data = exchange.encode()
        exchange.is_transmitted = True
        exchange.on_transmit(exchange.call)
        unwritten = self.write(data)
        if unwritten:
            self.sender = gevent.spawn(self.write_remaining, unwritten)

    def write(self, data: bytes) -> bytes:
        """Write as many bytes as possible without blocking, and return the rest."""
        try:
            return data[self.sock.send(data) :]
        except BlockingIOError:
            return data
        except OSError as error:
            # Close in a new greenlet: the code that submits the call is still changing
            # the state of its request, which the failure of the call changes too.
            gevent.spawn(self.break_off, FailureReason.RESET, repr(error))
            return b""

    def write_remaining(self, data: bytes) -> None:
        """Write the rest of a call; the target may answer before it is sent."""
        while data and self.is_open:
            gevent.socket.wait_write(self.sock.fileno())
            data = self.write(data)
        self.sender = None

    def on_readable(self) -> None:
        """Read the bytes that have arrived, and close after an unexpected error.

        The event loop would not call this again after one, and the call in progress
        would wait until its deadline.
        """
        try:
            self.read()
        except Exception as error:
            log_event(
                "target_read_failed", target=self.pool.record.id, error=repr(error)
            )
            self.close(FailureReason.BAD_ANSWER, "an answer that cannot be processed")

    def read(self) -> None:
        """Read the bytes that have arrived, without blocking."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.break_off(FailureReason.RESET, repr(error))
            return
        if data:
            self.pool.reach.note_heard(self.pool.clock.now())
            self.reader.feed(data)
            self.process_responses()
        else:
            self.reader.finish()
            self.process_responses()
            self.break_off(FailureReason.TRUNCATED, "closed by the target")

    def process_responses(self) -> None:
        """Process the complete responses; close on any unexpected bytes."""
        complete, self.reader.complete = self.reader.complete, []
        for number, response in enumerate(complete, 1):
            self.process_response(response, has_more=number < len(complete))
        if self.reader.is_corrupt:
            self.close(FailureReason.BAD_ANSWER, "bytes that are not an HTTP response")
        elif self.exchange is None and self.reader.in_message:
            self.close(FailureReason.FOREIGN, "an unsolicited response")

    def process_response(self, response: Response, *, has_more: bool) -> None:
        """Finish the call in progress with a response that belongs to it.

        Ignore a few responses to other requests, but do not reuse the connection
        after one of them. A response without a request id may be a second copy of an
        earlier one, unless it is the first on its connection. `has_more` says that
        another response has arrived behind it.
        """
        exchange = self.exchange
        if exchange is None:
            self.close(FailureReason.FOREIGN, "an unsolicited response")
            return
        metadata = self.pool.dialect.read_response_metadata(response)
        if metadata.request_id is None and self.served:
            self.close(FailureReason.FOREIGN, "a response that names no request")
            return
        if metadata.request_id not in (None, exchange.request.request_id):
            self.mismatched += 1
            if self.mismatched > MAX_MISMATCHED_RESPONSES:
                self.close(FailureReason.FOREIGN, "responses to other requests")
            return
        self.exchange = None
        self.served += 1
        if metadata.not_run:
            self.note_refused(exchange.request.request_id)
        self.pool.note_limit(metadata.limit, self.sent_at)
        self.pool.note_statements(metadata)
        if metadata.idle_timeout_s is not None:
            self.idle_timeout_s = metadata.idle_timeout_s
        is_reusable = response.keep_alive and self.reader.has_length
        is_reusable = is_reusable and not exchange.is_head
        if not is_reusable or self.mismatched or self.sender is not None:
            self.close(FailureReason.RESET, "the connection cannot be reused")
        elif has_more or self.reader.is_corrupt or self.reader.in_message:
            self.close(FailureReason.FOREIGN, "unsolicited bytes after a response")
        else:
            self.release()
        exchange.finish(response)

    def release(self) -> None:
        """Return the connection to its pool."""
        if self.close_timer is not None:
            self.close_timer.kill(block=False)
            self.close_timer = None
        self.idle_since = self.pool.clock.now()
        self.pool.put_back(self)

    def is_fresh(self, idle_limit_s: float) -> bool:
        """Return whether the connection has been idle briefly enough to be reused.

        It must have been idle for less than `idle_limit_s` seconds. It must also
        have been idle for less than the target's idle timeout minus a margin, so
        that the target has not closed it.
        """
        idle_s = self.pool.clock.now() - self.idle_since
        return idle_s < min(idle_limit_s, self.idle_timeout_s - IDLE_TIMEOUT_MARGIN_S)

    def abandon(self) -> None:
        """Close after a grace period, unless the cancelled call is answered by then.

        An answer within the grace period makes the connection reusable.
        """
        if self.exchange is not None and self.close_timer is None:
            self.close_timer = gevent.spawn_later(
                ABANDONED_CALL_GRACE_S,
                self.close,
                FailureReason.CANCELLED,
                "the answer is no longer needed",
            )

    def close_unless_received(self, exchange: Exchange) -> None:
        """Close, so that a call in progress never arrives, unless it has arrived."""
        if not self.is_open or self.exchange is not exchange:
            return
        if self.sender is not None or count_unacknowledged_bytes(self.sock):
            self.close(FailureReason.UNREACHED, "the target has not received it")

    def break_off(self, reason: FailureReason, detail: str) -> None:
        """Close the connection, which the target has ended.

        The call in progress fails once it is known whether the target has crashed.
        """
        exchange, self.exchange = self.exchange, None
        is_open = self.is_open
        self.close(reason, detail)
        if exchange is not None and is_open:
            broken = BrokenCall(exchange, self.sent_at, reason, detail)
            self.pool.fail_broken(broken)

    def close(self, reason: FailureReason, detail: str = "") -> None:
        """Close the connection and fail the call in progress on it, if any."""
        if not self.is_open:
            return
        self.is_open = False
        exchange, self.exchange = self.exchange, None
        self.pool.remove(self)
        for greenlet in (self.close_timer, self.sender):
            if greenlet is not None and greenlet is not gevent.getcurrent():
                greenlet.kill(block=False)
        self.read_watcher.stop()
        self.read_watcher.close()
        close_connection(self.sock)
        if exchange is not None:
            exchange.fail(reason, detail)
