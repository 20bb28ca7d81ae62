"""Connections to one target; a connection never outlives an unread answer."""

import contextlib
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

import gevent
from gevent.lock import BoundedSemaphore

from ..core.clock import Clock
from ..core.outcomes import Failure, FailureReason, Ran
from ..exceptions import TruncatedAnswerError
from ..net import Address
from .connection import TargetConnection

DRAIN_TIMEOUT_S = 5.0

Decode = Callable[[bytes], object]
CLOSED = Failure(FailureReason.CONNECT, Ran.NOT_RUN, "the pool is closed")
OUT_OF_TIME = Failure(FailureReason.TIMEOUT, Ran.NOT_RUN, "before sending")


class Permit:
    """The right to hold one of a pool's connections, given back just once.

    A permit that was handed over outlives the call that took it.
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

    A connection whose request was given up keeps its place until the late
    answer is read and dropped, because the target counts it until then; after
    DRAIN_TIMEOUT_S it is closed. After any other failure it is closed at once.
    Use the pool as a context manager, or call `close`.
    """

    def __init__(
        self, address: Address, size: int, clock: Clock, connect_timeout_s: float = 1.0
    ) -> None:
        self.address = address
        self.size = size
        self.clock = clock
        self.connect_timeout_s = connect_timeout_s
        self.idle: deque[TargetConnection] = deque()
        self.permits = BoundedSemaphore(size)
        self.in_flight = 0
        self.waiting = 0
        self.closed = False

    def __enter__(self) -> "TargetPool":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Close idle connections; those in use close when their call ends."""
        self.closed = True
        while self.idle:
            self.idle.pop().close()

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

        Times are in seconds of the pool's clock: nothing is sent after
        `deadline_at`, and the answer is awaited until `answer_by`, which is the
        same if not given. No request is sent
        twice; a Failure is NOT_RUN exactly when no byte of it left this
        process. `decode` returns the answer, or a Failure, after which the
        connection is not used again.
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
                return OUT_OF_TIME
            end_at = deadline_at if answer_by is None else answer_by
            return self.exchange(permit, connection, method, path, body, end_at, decode)

    @property
    def is_warm(self) -> bool:
        """Tell whether every connection is open or in use."""
        return len(self.idle) + self.in_flight >= self.size

    def warm(self) -> None:
        """Open one connection ahead of its first request, if it may be opened."""
        if not self.permits.acquire(blocking=False):
            return
        with Permit(self), contextlib.suppress(OSError):
            # The next request meets a fault again and reports it.
            if not self.closed:
                connection = TargetConnection(self.address, self.connect_timeout_s)
                self.put_back(connection)

    def get_remaining(self, deadline_at: float) -> float:
        """Return the seconds left until the deadline, at least 0."""
        return max(0.0, deadline_at - self.clock.now())

    def get_connection(self, deadline_at: float) -> TargetConnection | Failure:
        """Return an idle connection that is still good, or open one."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_fresh():
                return connection
            connection.close()
        if self.closed:
            return CLOSED
        timeout_s = min(self.connect_timeout_s, self.get_remaining(deadline_at))
        if timeout_s <= 0:
            return OUT_OF_TIME
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
        """Send one request and read its answer; keep the connection if all is well."""
        reusable = False
        try:
            with gevent.Timeout(self.get_remaining(end_at)):
                connection.send(method, path, body)
                status, payload, keep = connection.read()
            if status != HTTPStatus.OK:
                reusable = keep
                return Failure(FailureReason.REFUSED, Ran.UNKNOWN, f"status {status}")
            answer = decode(payload)
            reusable = keep and not isinstance(answer, Failure)
            return answer
        except gevent.Timeout:
            return Failure(FailureReason.TIMEOUT, get_ran(connection))
        except TruncatedAnswerError as error:
            return Failure(FailureReason.TRUNCATED, Ran.UNKNOWN, str(error))
        except OSError as error:
            return Failure(FailureReason.RESET, get_ran(connection), str(error))
        except Exception as error:  # The HTTP library raises kinds of its own.
            return Failure(FailureReason.BAD_ANSWER, get_ran(connection), repr(error))
        finally:
            if reusable:
                self.put_back(connection)
            elif connection.is_awaiting_answer:
                permit.is_handed_over = True
                gevent.spawn(self.drain, connection)
            else:
                connection.close()

    def drain(self, connection: TargetConnection) -> None:
        """Read and drop a late answer, and only then free the connection's place."""
        is_clean = False
        try:
            with gevent.Timeout(DRAIN_TIMEOUT_S, False):
                is_clean = connection.read()[2]
        except Exception:  # Whatever ends the connection ends the draining.
            is_clean = False
        finally:
            if is_clean:
                self.put_back(connection)
            else:
                connection.close()
            self.permits.release()

    def put_back(self, connection: TargetConnection) -> None:
        """Keep a connection whose last answer was read whole."""
        if self.closed:
            connection.close()
        else:
            self.idle.append(connection)


def get_ran(connection: TargetConnection) -> Ran:
    """Return what is known of a request that brought no answer."""
    return Ran.UNKNOWN if connection.sent else Ran.NOT_RUN
