"""Connections to targets, kept by the target's id.

Each connection carries one call at a time and is read all the while, so that
bytes that nobody asked for, or a close, make it unusable at once.
"""

import socket
from collections import deque
from collections.abc import Callable

import gevent
import gevent.socket

from ..core.clock import Clock
from ..core.fanout import Call
from ..core.outcomes import Failure, FailureReason, Ran
from ..core.target_table import TargetRecord
from ..ids import RequestId, TargetId
from ..net import Address, set_no_delay
from .dialect import Dialect
from .http_messages import Response, ResponseReader

CONNECT_TIMEOUT_S = 1.0
READ_EVENT = 1  # As the event loop numbers it.
USER_TIMEOUT_MS = 4_000
READ_BYTES = 65_536
MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_FOREIGN_ANSWERS = 4
LINGER_S = 0.25
IDLE_FRESH_S = 1.0
DEFAULT_IDLE_S = 20.0
IDLE_MARGIN_S = 0.5
WARM_RETRY_S = 5.0


OnDone = Callable[["Exchange", Response | Failure], None]


class Exchange:
    """One call on its way: what to send and who is told of the outcome."""

    def __init__(
        self,
        call: Call,
        request_id: RequestId,
        encode: Callable[[], bytes],
        on_sent: Callable[[Call], None],
        on_done: OnDone,
        *,
        is_repeatable: bool,
        is_head: bool = False,
    ) -> None:
        self.call = call
        self.request_id = request_id
        self.encode = encode
        self.on_sent = on_sent
        self.on_done: OnDone | None = on_done
        self.is_repeatable = is_repeatable
        self.is_head = is_head
        self.sent = False

    def finish(self, outcome: Response | Failure) -> None:
        """Tell the outcome once."""
        on_done, self.on_done = self.on_done, None
        if on_done is not None:
            on_done(self, outcome)

    def fail(self, reason: FailureReason, detail: str = "") -> None:
        """Tell that the call brought no answer."""
        ran = Ran.UNKNOWN if self.sent else Ran.NOT_RUN
        self.finish(Failure(reason, ran, detail))


class TargetConnection:
    """One connection to one target.

    It is read in the event loop's own callback, not by a greenlet: a fan-out
    over many shards would spend most of its time on switching between them.
    Nothing that the callback calls may wait.
    """

    def __init__(self, pool: "TargetPool", sock: socket.socket) -> None:
        self.pool = pool
        self.sock = sock
        self.reader = ResponseReader(MAX_HEADER_BYTES, MAX_BODY_BYTES)
        self.exchange: Exchange | None = None
        self.foreign = 0
        self.served = 0
        self.idle_since = pool.clock.now()
        self.idle_s = DEFAULT_IDLE_S
        self.is_open = True
        self.sender: gevent.Greenlet | None = None
        self.linger: gevent.Greenlet | None = None
        self.readable = gevent.get_hub().loop.io(sock.fileno(), READ_EVENT)
        self.readable.start(self.read)

    def send(self, exchange: Exchange) -> None:
        """Send a call; its outcome is told by the reading greenlet."""
        self.exchange = exchange
        self.reader.is_head = exchange.is_head
        data = exchange.encode()
        exchange.sent = True
        exchange.on_sent(exchange.call)
        rest = self.write(data)
        if rest:
            self.sender = gevent.spawn(self.write_on, rest)

    def write(self, data: bytes) -> bytes:
        """Write what the connection takes at once and return the rest."""
        try:
            return data[self.sock.send(data) :]
        except BlockingIOError:
            return data
        except OSError as error:
            # Not at once: whoever sends the call still works on the request.
            gevent.spawn(self.close, FailureReason.RESET, repr(error))
            return b""

    def write_on(self, data: bytes) -> None:
        """Write the rest; a target may answer before it has read it all."""
        while data and self.is_open:
            gevent.socket.wait_write(self.sock.fileno())
            data = self.write(data)
        self.sender = None

    def read(self) -> None:
        """Take in what has arrived."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(FailureReason.RESET, repr(error))
            return
        if data:
            self.reader.feed(data)
            self.take_responses()
        else:
            self.reader.finish()
            self.take_responses()
            self.close(FailureReason.TRUNCATED, "closed by the target")

    def take_responses(self) -> None:
        """Hand the awaited response over; anything else spoils the connection."""
        complete, self.reader.complete = self.reader.complete, []
        for response in complete:
            self.take_response(response)
        if self.reader.is_corrupt:
            self.close(FailureReason.BAD_ANSWER, "bytes that are no response")
        elif self.exchange is None and self.reader.in_message:
            self.close(FailureReason.FOREIGN, "a response that nobody asked for")

    def take_response(self, response: Response) -> None:
        """Give a response to the call that it belongs to."""
        exchange = self.exchange
        if exchange is None:
            self.close(FailureReason.FOREIGN, "a response that nobody asked for")
            return
        metadata = self.pool.dialect.read_response_metadata(response)
        if metadata.request_id not in (None, exchange.request_id):
            self.foreign += 1
            if self.foreign > MAX_FOREIGN_ANSWERS:
                self.close(FailureReason.FOREIGN, "responses to other requests")
            return
        self.exchange = None
        self.served += 1
        if metadata.idle_timeout_s is not None:
            self.idle_s = metadata.idle_timeout_s
        reusable = response.keep_alive and self.reader.has_length
        reusable = reusable and not exchange.is_head
        if not reusable or self.foreign or self.sender is not None:
            self.close(FailureReason.RESET, "not to be used again")
        elif self.reader.is_corrupt or self.reader.in_message:
            self.close(FailureReason.FOREIGN, "bytes behind a response")
        else:
            self.release()
        exchange.finish(response)

    def release(self) -> None:
        """Give the connection back to its pool."""
        if self.linger is not None:
            self.linger.kill(block=False)
            self.linger = None
        self.idle_since = self.pool.clock.now()
        self.pool.put_back(self)

    def is_fresh(self, idle_limit_s: float) -> bool:
        """Tell whether the target surely still keeps the idle connection."""
        idle_s = self.pool.clock.now() - self.idle_since
        return idle_s < min(idle_limit_s, self.idle_s - IDLE_MARGIN_S)

    def abandon(self) -> None:
        """Wait a moment for the answer of a call that nobody needs, then close."""
        if self.exchange is not None and self.linger is None:
            self.linger = gevent.spawn_later(
                LINGER_S, self.close, FailureReason.CANCELLED, "not needed any more"
            )

    def close(self, reason: FailureReason, detail: str = "") -> None:
        """Close the connection and fail the call on it."""
        if not self.is_open:
            return
        self.is_open = False
        exchange, self.exchange = self.exchange, None
        self.pool.remove(self)
        for greenlet in (self.linger, self.sender):
            if greenlet is not None and greenlet is not gevent.getcurrent():
                greenlet.kill(block=False)
        self.readable.stop()
        self.readable.close()
        self.sock.close()
        if exchange is not None:
            exchange.fail(reason, detail)


class TargetPool:
    """The connections to one target, and the calls that wait for one."""

    def __init__(
        self,
        record: TargetRecord,
        limit: int,
        clock: Clock,
        dialect: Dialect,
        source_host: str,
    ) -> None:
        self.record = record
        self.limit = limit
        self.clock = clock
        self.dialect = dialect
        self.source_host = source_host
        self.idle: list[TargetConnection] = []
        self.connections: set[TargetConnection] = set()
        self.dialling = 0
        self.waiting: deque[Exchange] = deque()
        self.opened = 0
        self.warm_at = float("-inf")

    @property
    def size(self) -> int:
        """Connections that are open or being opened."""
        return len(self.connections) + self.dialling

    def submit(self, exchange: Exchange) -> None:
        """Send a call on a free connection, a new one, or the next free one."""
        connection = self.take_idle(exchange)
        if connection is not None:
            connection.send(exchange)
            return
        self.waiting.append(exchange)
        if self.size < self.limit:
            self.dialling += 1
            gevent.spawn(self.dial)

    @property
    def needs_warm_up(self) -> bool:
        """Tell whether there is no connection, and none was tried of late."""
        return not self.size and self.clock.now() >= self.warm_at

    def warm_up(self) -> None:
        """Open a first connection before a call needs it."""
        self.warm_at = self.clock.now() + WARM_RETRY_S
        self.dialling += 1
        gevent.spawn(self.dial)

    def take_idle(self, exchange: Exchange) -> TargetConnection | None:
        """Return an idle connection that fits the call, or None."""
        idle_limit_s = DEFAULT_IDLE_S if exchange.is_repeatable else IDLE_FRESH_S
        while self.idle:
            connection = self.idle[-1]
            if connection.is_fresh(idle_limit_s):
                return self.idle.pop()
            if exchange.is_repeatable or self.size >= self.limit:
                connection.close(FailureReason.CANCELLED, "idle for too long")
            else:
                return None
        return None

    def dial(self) -> None:
        """Open a connection for a call that waits."""
        try:
            sock = self.connect()
        except OSError as error:
            self.dialling -= 1
            if self.waiting:
                self.waiting.popleft().fail(FailureReason.CONNECT, repr(error))
            return
        self.dialling -= 1
        self.opened += 1
        connection = TargetConnection(self, sock)
        self.connections.add(connection)
        self.put_back(connection)

    def connect(self) -> socket.socket:
        """Return a new socket to the target that never blocks, or raise OSError."""
        sock = gevent.socket.create_connection(
            Address.parse(self.record.address),
            CONNECT_TIMEOUT_S,
            source_address=(self.source_host, 0),
        )
        set_no_delay(sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        plain = socket.socket(fileno=sock.detach())
        plain.setblocking(False)
        return plain

    def put_back(self, connection: TargetConnection) -> None:
        """Use a free connection for the next call, or keep it."""
        while self.waiting:
            exchange = self.waiting.popleft()
            if exchange.on_done is not None:
                connection.send(exchange)
                return
        self.idle.append(connection)

    def remove(self, connection: TargetConnection) -> None:
        """Forget a connection that closes; calls that wait get a new one."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        if len(self.waiting) > self.dialling and self.size < self.limit:
            self.dialling += 1
            gevent.spawn(self.dial)

    def cancel(self, exchange: Exchange) -> None:
        """Drop a call; one that was sent may still be answered for a moment."""
        exchange.on_done = None
        if not exchange.sent:
            if exchange in self.waiting:
                self.waiting.remove(exchange)
            return
        for connection in self.connections:
            if connection.exchange is exchange:
                connection.abandon()
                return

    def close(self) -> None:
        """Close every connection that is idle; busy ones end with their call."""
        for connection in list(self.idle):
            connection.close(FailureReason.CANCELLED, "the target is gone")


class TargetPools:
    """The pools of all targets; each is shared by every request."""

    def __init__(self, clock: Clock, dialect: Dialect, source_host: str) -> None:
        self.clock = clock
        self.dialect = dialect
        self.source_host = source_host
        self.pools: dict[TargetId, TargetPool] = {}

    def get(self, record: TargetRecord, limit: int) -> TargetPool:
        """Return the pool of a target, with the limit that holds now."""
        pool = self.pools.get(record.id)
        if pool is None or pool.record.address != record.address:
            if pool is not None:
                pool.close()
            pool = TargetPool(record, limit, self.clock, self.dialect, self.source_host)
            self.pools[record.id] = pool
        pool.limit = limit
        return pool

    def keep_only(self, is_listed: Callable[[TargetId], bool]) -> None:
        """Close the idle connections of targets that are no longer listed."""
        for target in [item for item in self.pools if not is_listed(item)]:
            pool = self.pools[target]
            pool.close()
            if not pool.connections and not pool.waiting:
                del self.pools[target]

    @property
    def opened(self) -> int:
        """Connections opened by the pools that are kept."""
        return sum(pool.opened for pool in self.pools.values())
