"""Connection pool of one target; no connection is reused with an unread answer."""

import contextlib
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

import gevent
from gevent.lock import BoundedSemaphore

from ..core.common.clock import Clock
from ..core.common.outcomes import Failure, FailureReason, Ran
from ..exceptions import TruncatedAnswerError
from ..net import Address
from .connection import TargetConnection

DRAIN_TIMEOUT_S = 5.0
RECEIPT_TIMEOUT_S = 0.25  # For the target to receive an abandoned call.

Admit = Callable[[str], bool]
Decode = Callable[[bytes], object]
POOL_CLOSED = Failure(FailureReason.CONNECT, Ran.NOT_RUN, "the pool is closed")
LIMITED = Failure(FailureReason.LIMITED, Ran.NOT_RUN, "by the target's rate limit")
DEADLINE_PASSED = Failure(FailureReason.TIMEOUT, Ran.NOT_RUN, "before sending")


def admit_always(path: str) -> bool:
    """Return True: no rate limit is known."""
    return True


class Permit:
    """The right to use one of a pool's connections, which is released only once.

    Leaving the context releases the permit unless it was handed over to `drain`,
    which releases it when the connection is idle again or closed.
    """

    def __init__(self, pool: "TargetPool") -> None:
        self.pool = pool
        self.is_handed_over = False

    def __enter__(self) -> "Permit":
        self.pool.in_flight += 1
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.pool.in_flight -= 1
        if not self.is_handed_over:
            self.pool.permits.release()


class TargetPool:
    """Up to `size` connections to one target, one request on each at a time.

    A connection whose call was abandoned while it awaits the answer counts towards
    `size` until the late answer has been read and discarded, because the target counts
    it towards its own limit until then; after DRAIN_TIMEOUT_S it is closed. So it is
    after RECEIPT_TIMEOUT_S if the target has not received the call. After any other
    failure it is closed at once, unless the target refused the call and keeps the
    connection alive. `admit` returns whether a call to a path may be sent now, and is
    asked right before it is. Use the pool as a context manager, or call `close`.
    """

    def __init__(
        self,
        address: Address,
        size: int,
        clock: Clock,
        admit: Admit = admit_always,
        connect_timeout_s: float = 1.0,
    ) -> None:
        self.address = address
        self.size = size
        self.clock = clock
        self.admit = admit
        self.connect_timeout_s = connect_timeout_s
        self.idle: deque[TargetConnection] = deque()
        self.busy: set[TargetConnection] = set()
        self.permits = BoundedSemaphore(size)
        self.in_flight = 0
        self.waiting = 0
        self.started_at: dict[Permit, float] = {}
        self.closed = False

    def __enter__(self) -> "TargetPool":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Close idle connections; those in use are closed when their call ends."""
        self.closed = True
        while self.idle:
            self.idle.pop().close()

    def end(self) -> None:
        """Close all connections, as the process ends; the calls in progress fail."""
        self.close()
        for connection in self.busy:
            connection.close()

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        deadline_at: float,
        decode: Decode = bytes,
        answer_by: float | None = None,
    ) -> object:
        """Return the decoded body of a 200 answer, or a Failure.

        Times are in seconds of the pool's clock. Nothing is sent after
        `deadline_at`, and the answer is awaited until `answer_by`, which defaults
        to `deadline_at`. No request is sent twice, and a Failure is NOT_RUN exactly
        if no byte of the request has left this process. `decode` returns the answer
        or a Failure; after a Failure the connection is not reused.
        """
        self.waiting += 1
        try:
            admitted = self.permits.acquire(timeout=self.get_remaining(deadline_at))
        finally:
            self.waiting -= 1
        if not admitted:
            return Failure(FailureReason.QUEUE_FULL, Ran.NOT_RUN)
        with Permit(self) as permit:
            connection = self.get_connection(deadline_at)
            if isinstance(connection, Failure):
                return connection
            if self.get_remaining(deadline_at) <= 0:
                self.put_back(connection)
                return DEADLINE_PASSED
            if not self.admit(path):
                self.put_back(connection)
                return LIMITED
            end_at = deadline_at if answer_by is None else answer_by
            self.started_at[permit] = self.clock.now()
            try:
                return self.exchange(
                    permit, connection, method, path, body, end_at, decode
                )
            finally:
                del self.started_at[permit]

    @property
    def is_warm(self) -> bool:
        """Return whether every connection is open or in use."""
        return len(self.idle) + self.in_flight >= self.size

    def warm(self) -> None:
        """Open one connection ahead of its first request, if a permit is free."""
        if not self.permits.acquire(blocking=False):
            return
        with Permit(self), contextlib.suppress(OSError):
            # The next request that hits the same fault reports it.
            if not self.closed:
                connection = TargetConnection(self.address, self.connect_timeout_s)
                self.put_back(connection)

    def get_remaining(self, deadline_at: float) -> float:
        """Return the seconds left until the deadline, at least 0."""
        return max(0.0, deadline_at - self.clock.now())

    def get_connection(self, deadline_at: float) -> TargetConnection | Failure:
        """Return a reusable idle connection or a new one, or a Failure."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable():
                return connection
            connection.close()
        if self.closed:
            return POOL_CLOSED
        timeout_s = min(self.connect_timeout_s, self.get_remaining(deadline_at))
        if timeout_s <= 0:
            return DEADLINE_PASSED
        try:
            return TargetConnection(self.address, timeout_s)
        except OSError as error:
            return Failure(FailureReason.CONNECT, Ran.NOT_RUN, str(error))

    def exchange(
        self,
        permit: Permit,
        connection: TargetConnection,
        method: str,
        path: str,
        body: bytes,
        end_at: float,
        decode: Decode,
    ) -> object:
        """Send one request and return its decoded answer, or a Failure.

        The connection is reused after a complete answer, drained while the answer
        is outstanding, and closed otherwise.
        """
        can_reuse = False
        self.busy.add(connection)
        try:
            with gevent.Timeout(self.get_remaining(end_at)):
                connection.send(method, path, body)
                status, payload, keep_alive = connection.read()
            if status != HTTPStatus.OK:
                can_reuse = keep_alive
                return Failure(FailureReason.REFUSED, Ran.UNKNOWN, f"status {status}")
            answer = decode(payload)
            can_reuse = keep_alive and not isinstance(answer, Failure)
            return answer
        except gevent.Timeout:
            return Failure(FailureReason.TIMEOUT, get_ran(connection))
        except TruncatedAnswerError as error:
            return Failure(FailureReason.TRUNCATED, Ran.UNKNOWN, str(error))
        except OSError as error:
            return Failure(FailureReason.RESET, get_ran(connection), str(error))
        except Exception as error:  # The HTTP library has its own exceptions.
            return Failure(FailureReason.BAD_ANSWER, get_ran(connection), repr(error))
        finally:
            if can_reuse:
                self.put_back(connection)
            elif connection.is_awaiting_answer:
                permit.is_handed_over = True
                gevent.spawn(self.drain, connection)
            else:
                self.discard(connection)

    def discard(self, connection: TargetConnection) -> None:
        """Close a connection that has carried a call."""
        self.busy.discard(connection)
        connection.close()

    def drain(self, connection: TargetConnection) -> None:
        """Read and discard a late answer, and only then release its permit."""
        can_reuse = False
        try:
            with gevent.Timeout(DRAIN_TIMEOUT_S, False):
                if connection.is_received(RECEIPT_TIMEOUT_S):
                    can_reuse = connection.read()[2]
        except Exception:  # After any error the connection is closed.
            can_reuse = False
        finally:
            if can_reuse:
                self.put_back(connection)
            else:
                self.discard(connection)
            self.permits.release()

    def put_back(self, connection: TargetConnection) -> None:
        """Return a connection whose last answer was read completely to the pool."""
        self.busy.discard(connection)
        if self.closed:
            connection.close()
        else:
            self.idle.append(connection)


def get_ran(connection: TargetConnection) -> Ran:
    """Return whether a request without an answer may have been run."""
    return Ran.UNKNOWN if connection.has_sent else Ran.NOT_RUN
