"""Pools of connections to targets, by target id."""

import socket
from collections import deque
from collections.abc import Callable

import gevent
import gevent.socket
import msgspec

from ..core.common.clock import Clock
from ..core.common.outcomes import FailureReason
from ..core.forwarding.down_targets import DownTargets
from ..core.forwarding.target_reach import SILENCE_S, TargetReach
from ..core.limits.target_limits import LimitStatement, TargetLimits
from ..core.published.target_table import TargetRecord
from ..crash_guard import CrashGuard
from ..ids import Fingerprint, TargetId
from ..net import Address, set_no_delay
from .dialect import Dialect, ResponseMetadata
from .target_availability import TargetAvailability
from .target_connections import (
    DEFAULT_IDLE_TIMEOUT_S,
    BrokenCall,
    Exchange,
    TargetConnection,
)

CONNECT_TIMEOUT_S = 1.0
TCP_USER_TIMEOUT_MS = 4_000
NON_IDEMPOTENT_MAX_IDLE_S = 1.0
WARM_UP_RETRY_S = 5.0
# A target that has crashed refuses connections at once; its calls wait for no longer.
CRASH_CHECK_TIMEOUT_S = 0.1


class PoolContext(msgspec.Struct, frozen=True):
    """What the pools of all targets use; connections are opened from `source_host`."""

    clock: Clock
    dialect: Dialect
    source_host: str
    limits: TargetLimits
    reach: TargetReach
    crash_guard: CrashGuard
    down_targets: DownTargets
    availability: TargetAvailability


class TargetPool:
    """The connections to one target, and the calls that wait for a connection.

    `dialling` is the number of connections that are being opened, the first of them
    since `dialled_at`.
    """

    def __init__(self, record: TargetRecord, limit: int, context: PoolContext) -> None:
        self.record = record
        self.limit = limit
        self.context = context
        self.clock = context.clock
        self.dialect = context.dialect
        self.reach = context.reach
        self.broken: list[BrokenCall] = []
        self.idle: list[TargetConnection] = []
        self.connections: set[TargetConnection] = set()
        self.dialling = 0
        self.dialled_at = self.clock.now()
        self.waiting: deque[Exchange] = deque()
        self.opened = 0
        self.next_warm_up_at = float("-inf")

    @property
    def size(self) -> int:
        """The number of connections that are open or being opened."""
        return len(self.connections) + self.dialling

    def submit(self, exchange: Exchange) -> None:
        """Send a call on an idle connection, or queue it for the next free one.

        Open a new connection for a queued call if the limit allows it.
        """
        exchange.pool = self
        connection = self.take_idle(exchange)
        if connection is not None:
            if not self.transmit(connection, exchange):
                self.idle.append(connection)
            return
        self.waiting.append(exchange)
        if self.size < self.limit:
            self.start_dial()

    def transmit(self, connection: TargetConnection, exchange: Exchange) -> bool:
        """Send a call on a free connection, or fail it if it must not be sent.

        Return whether it was sent.
        """
        reason = self.find_reason_to_hold(exchange)
        if reason is not None:
            # Fail in a new greenlet: the code that submits the call is still changing
            # the state of its request, which the failure of the call changes too.
            gevent.spawn(exchange.fail, reason)
            return False
        connection.send(exchange)
        return True

    def find_reason_to_hold(self, exchange: Exchange) -> FailureReason | None:
        """Return why a call must not be sent now, or None if it may be."""
        if not self.context.crash_guard.may_send(exchange.request):
            return FailureReason.QUARANTINED
        if not self.context.availability.may_send(self.record):
            return FailureReason.LIMITED
        if not self.context.limits.take(self.record.id, self.clock.now()):
            return FailureReason.LIMITED
        return None

    @property
    def needs_warm_up(self) -> bool:
        """Return whether no connection is open and no warm-up was tried recently."""
        return not self.size and self.clock.now() >= self.next_warm_up_at

    def warm_up(self) -> None:
        """Open the first connection before a call needs it."""
        self.next_warm_up_at = self.clock.now() + WARM_UP_RETRY_S
        self.start_dial()

    def take_idle(self, exchange: Exchange) -> TargetConnection | None:
        """Return an idle connection that may be reused for the call, or None.

        Close those that have been idle for too long. A call that is not idempotent
        has a shorter limit, and leaves the connections that exceed it open for
        other calls unless the pool is full. If no connection may carry the call and the
        pool is full, close one.
        """
        idle_limit_s = (
            DEFAULT_IDLE_TIMEOUT_S
            if exchange.is_idempotent
            else NON_IDEMPOTENT_MAX_IDLE_S
        )
        for connection in reversed(list(self.idle)):
            if connection.is_fresh(idle_limit_s):
                if connection.may_carry(exchange):
                    self.idle.remove(connection)
                    return connection
            elif exchange.is_idempotent or self.size >= self.limit:
                connection.close(FailureReason.CANCELLED, "idle for too long")
            else:
                return None
        if self.idle and self.size >= self.limit:
            self.idle[0].close(FailureReason.CANCELLED, "a new one is needed")
        return None

    def start_dial(self) -> None:
        """Open a connection in the background."""
        self.note_dial()
        gevent.spawn(self.dial)

    def note_dial(self) -> None:
        """Record that a connection is being opened."""
        if not self.dialling:
            self.dialled_at = self.clock.now()
        self.dialling += 1

    def get_longest_wait_s(self, now: float) -> float:
        """Return for how long a call or a new connection has waited, in seconds."""
        waits = [
            now - connection.sent_at
            for connection in self.connections
            if connection.exchange is not None
        ]
        if self.dialling:
            waits.append(now - self.dialled_at)
        return max(waits, default=0.0)

    def dial(self) -> None:
        """Open a connection; if that fails, fail the call that waited longest."""
        try:
            sock = self.connect()
        except Exception as error:  # Peers may list an address that can't be used.
            self.dialling -= 1
            if isinstance(error, ConnectionRefusedError):
                self.note_refused()
            self.reach.note_suspicion()
            longest_waiting = self.waiting.popleft() if self.waiting else None
            self.dial_for_waiting()
            if longest_waiting is not None:
                longest_waiting.fail(FailureReason.CONNECT, repr(error))
            return
        self.dialling -= 1
        self.adopt(sock)

    def dial_for_waiting(self) -> None:
        """Open a connection if more calls wait than connections are being opened."""
        if len(self.waiting) > self.dialling and self.size < self.limit:
            self.start_dial()

    def note_refused(self) -> None:
        """Record that nothing listens at the target's address."""
        self.reach.note_suspicion()
        if not self.reach.is_lost:
            self.context.down_targets.note_down(self.record, self.clock.now())

    def adopt(self, sock: socket.socket) -> None:
        """Add a new connection to the pool."""
        self.opened += 1
        self.context.down_targets.release(self.record.id)
        self.reach.note_heard(self.clock.now())
        connection = TargetConnection(self, sock)
        self.connections.add(connection)
        self.put_back(connection)

    def fail_broken(self, broken: BrokenCall) -> None:
        """Fail a call whose connection the target ended, after a crash check."""
        self.broken.append(broken)
        if len(self.broken) == 1:
            self.note_dial()
            gevent.spawn(self.check_crash)

    def check_crash(self) -> None:
        """Fail the calls of ended connections with the reason for their end.

        The target has ended if it refuses a new connection. One that it accepts stays
        open.
        """
        sock = None
        has_ended = False
        try:
            sock = self.connect(CRASH_CHECK_TIMEOUT_S)
        except ConnectionRefusedError:
            has_ended = True
            self.note_refused()
        except Exception:  # The calls fail all the same, with the reason known.
            self.reach.note_suspicion()
        self.dialling -= 1
        broken, self.broken = self.broken, []
        for call in broken:
            reason = self.find_reason(call) if has_ended else call.reason
            call.exchange.fail(reason, call.detail)
        if sock is not None:
            self.adopt(sock)

    def find_reason(self, call: BrokenCall) -> FailureReason:
        """Return why the call of a target that has ended failed."""
        is_crash = self.context.crash_guard.note_ended(
            self.record.id, call.exchange.request, call.sent_at
        )
        return FailureReason.CRASHED if is_crash else call.reason

    def connect(self, timeout_s: float = CONNECT_TIMEOUT_S) -> socket.socket:
        """Return a new non-blocking socket to the target, or raise OSError."""
        sock = gevent.socket.create_connection(
            Address.parse(self.record.address),
            timeout_s,
            source_address=(self.context.source_host, 0),
        )
        set_no_delay(sock)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        plain = socket.socket(fileno=sock.detach())
        plain.setblocking(False)
        return plain

    def put_back(self, connection: TargetConnection) -> None:
        """Use a free connection for the next waiting call, or mark it as idle.

        Calls that it must not carry wait for a new one, which replaces it if the pool
        is full.
        """
        while (exchange := self.pop_waiting(connection)) is not None:
            if self.transmit(connection, exchange):
                return
        self.idle.append(connection)
        if len(self.waiting) <= self.dialling:
            return
        if self.size < self.limit:
            self.start_dial()
        else:
            connection.close(FailureReason.CANCELLED, "a new one is needed")

    def pop_waiting(self, connection: TargetConnection) -> Exchange | None:
        """Remove and return the next waiting call that a connection may carry.

        Also remove the calls before it that have been cancelled.
        """
        for exchange in list(self.waiting):
            if exchange.on_done is None:
                self.waiting.remove(exchange)
            elif connection.may_carry(exchange):
                self.waiting.remove(exchange)
                return exchange
        return None

    def note_limit(self, statement: LimitStatement | None, sent_at: float) -> None:
        """Record what the answer to a call sent at `sent_at` says of the rate limit."""
        if statement is not None:
            now = self.clock.now()
            self.context.limits.note_answer(self.record.id, statement, sent_at, now)

    def note_statements(self, metadata: ResponseMetadata) -> None:
        """Record that the target has said that it leaves, or wants no requests."""
        if metadata.is_leaving:
            self.context.availability.note_leaving(self.record)
        if metadata.pause_s is not None:
            self.context.availability.note_pause(self.record, metadata.pause_s)

    def remove(self, connection: TargetConnection) -> None:
        """Remove a closed connection; open a new one if a waiting call needs one."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.dial_for_waiting()

    def release(self, exchange: Exchange) -> None:
        """Give up a call that has been cancelled.

        If it was transmitted and is not answered within a grace period, its
        connection is closed.
        """
        if not exchange.is_transmitted:
            if exchange in self.waiting:
                self.waiting.remove(exchange)
            return
        connection = self.find_connection(exchange)
        if connection is not None:
            connection.abandon()

    def find_connection(self, exchange: Exchange) -> TargetConnection | None:
        """Return the connection of a transmitted call without an answer, or None."""
        for connection in self.connections:
            if connection.exchange is exchange:
                return connection
        return None

    def give_up(self, *, is_silent: bool) -> None:
        """Fail the calls that wait in vain, since the links to targets are lost.

        Those are the calls that wait for a connection and, unless they may run only
        once, those without an answer for long. If `is_silent`, open connections are
        lost too, and the idle ones are closed.
        """
        waiting, self.waiting = self.waiting, deque()
        for exchange in waiting:
            gevent.spawn(exchange.fail, FailureReason.UNREACHED)
        now = self.clock.now()
        for connection in list(self.connections):
            exchange = connection.exchange
            if exchange is None:
                if is_silent:
                    connection.close(FailureReason.CANCELLED)
            elif exchange.is_idempotent and now - connection.sent_at >= SILENCE_S:
                connection.close(FailureReason.UNREACHED)

    def stop_calls(self, fingerprint: Fingerprint) -> None:
        """Fail the calls of a quarantined request, and close their connections."""
        for exchange in list(self.waiting):
            if exchange.request.fingerprint == fingerprint:
                self.waiting.remove(exchange)
                gevent.spawn(exchange.fail, FailureReason.QUARANTINED)
        for connection in list(self.connections):
            exchange = connection.exchange
            if exchange and exchange.request.fingerprint == fingerprint:
                gevent.spawn(connection.close, FailureReason.QUARANTINED)

    def close(self) -> None:
        """Close the idle connections; calls in progress are not interrupted."""
        for connection in list(self.idle):
            connection.close(FailureReason.CANCELLED, "the target is gone")

    def end(self) -> None:
        """Cancel all calls and close all connections, as the process ends."""
        self.waiting.clear()
        for connection in list(self.connections):
            if connection.exchange is not None:
                connection.exchange.cancel()
            connection.close(FailureReason.CANCELLED, "the process ends")


class TargetPools:
    """The connection pools of all targets, shared by all requests.

    Leaving the context cancels all calls and closes all connections.
    """

    def __init__(self, context: PoolContext) -> None:
        self.context = context
        self.pools: dict[TargetId, TargetPool] = {}

    def __enter__(self) -> "TargetPools":
        return self

    def __exit__(self, *exc_info: object) -> None:
        for pool in self.pools.values():
            pool.end()

    def get(self, record: TargetRecord, limit: int) -> TargetPool:
        """Return the pool of a target, with its limit set to `limit` connections.

        A target with a new address gets a new pool.
        """
        pool = self.pools.get(record.id)
        if pool is None or pool.record.address != record.address:
            if pool is not None:
                pool.close()
            pool = TargetPool(record, limit, self.context)
            self.pools[record.id] = pool
        pool.record = record
        pool.limit = limit
        return pool

    def close_idle(self, target: TargetId) -> None:
        """Close the idle connections to a target."""
        pool = self.pools.get(target)
        if pool is not None:
            pool.close()

    def keep_only(self, is_listed: Callable[[TargetId], bool]) -> None:
        """Remove the pools of targets that are no longer listed.

        Close their idle connections. A pool that still has calls is removed by a
        later call of this method.
        """
        for target in [item for item in self.pools if not is_listed(item)]:
            pool = self.pools[target]
            pool.close()
            if not pool.connections and not pool.waiting and not pool.broken:
                del self.pools[target]

    def give_up(self, *, is_silent: bool) -> None:
        """Fail the calls that wait in vain, since the links to targets are lost."""
        for pool in list(self.pools.values()):
            pool.give_up(is_silent=is_silent)

    def stop_calls(self, fingerprint: Fingerprint) -> None:
        """Fail the calls of a quarantined request that are waiting or in flight."""
        for pool in list(self.pools.values()):
            pool.stop_calls(fingerprint)

    def get_longest_wait_s(self, now: float) -> float:
        """Return for how long a call or a new connection has waited, in seconds."""
        waits = (pool.get_longest_wait_s(now) for pool in self.pools.values())
        return max(waits, default=0.0)

    @property
    def opened(self) -> int:
        """The number of connections opened so far by the current pools."""
        return sum(pool.opened for pool in self.pools.values())
