"""Connections to one target; a connection never outlives an unread answer."""

import errno
from collections import deque
from http import HTTPStatus

import gevent
from gevent.lock import BoundedSemaphore
from geventhttpclient import HTTPClient

from ..core.clock import Clock
from ..core.outcomes import Failure, FailureReason, Ran
from ..net import Address

JSON_HEADERS = {"Content-Type": "application/json"}
NOT_SENT_ERRNOS = {errno.ECONNREFUSED, errno.ENETUNREACH, errno.EHOSTUNREACH}


class TargetPool:
    """Up to `size` connections to one target, one request on each at a time.

    A connection whose request did not end with a whole answer is closed and
    never used again. Use it as a context manager, or call `close`.
    """

    def __init__(
        self, address: Address, size: int, clock: Clock, connect_timeout_s: float = 1.0
    ) -> None:
        self.address = address
        self.size = size
        self.clock = clock
        self.connect_timeout_s = connect_timeout_s
        self.idle: deque[HTTPClient] = deque()
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
        self, method: str, path: str, body: bytes, deadline_at: float
    ) -> bytes | Failure:
        """Return the body of a 200 answer, or a Failure that says what is known.

        `deadline_at` is in seconds of the pool's clock. A request is never sent
        twice by this method.
        """
        self.waiting += 1
        try:
            admitted = self.permits.acquire(timeout=self.get_remaining(deadline_at))
        finally:
            self.waiting -= 1
        if not admitted:
            return Failure(FailureReason.QUEUE_FULL, Ran.NOT_RUN)
        self.in_flight += 1
        try:
            return self.call_on_connection(method, path, body, deadline_at)
        finally:
            self.in_flight -= 1
            self.permits.release()

    def get_remaining(self, deadline_at: float) -> float:
        """Return the seconds left until the deadline, at least 0."""
        return max(0.0, deadline_at - self.clock.now())

    def call_on_connection(
        self, method: str, path: str, body: bytes, deadline_at: float
    ) -> bytes | Failure:
        """Send one request on one connection and keep it only if all is read."""
        remaining = self.get_remaining(deadline_at)
        if remaining <= 0:
            return Failure(FailureReason.TIMEOUT, Ran.NOT_RUN)
        connection = self.idle.pop() if self.idle else self.make_connection()
        reusable = False
        try:
            with gevent.Timeout(remaining):
                response = connection.request(method, path, body, JSON_HEADERS)
                payload = bytes(response.read())
            reusable = is_whole(response, payload)
        except gevent.Timeout:
            return Failure(FailureReason.TIMEOUT, Ran.UNKNOWN)
        except OSError as error:
            return explain_os_error(error)
        except Exception as error:  # The HTTP library raises kinds of its own.
            return Failure(FailureReason.BAD_ANSWER, Ran.UNKNOWN, repr(error))
        finally:
            if reusable and not self.closed:
                self.idle.append(connection)
            else:
                connection.close()
        if not reusable:
            return Failure(FailureReason.TRUNCATED, Ran.UNKNOWN)
        if response.status_code != HTTPStatus.OK:
            detail = f"status {response.status_code}"
            return Failure(FailureReason.REFUSED, Ran.UNKNOWN, detail)
        return payload

    def make_connection(self) -> HTTPClient:
        """Return a client of one connection, which opens on its first request."""
        return HTTPClient(
            self.address.host,
            self.address.port,
            concurrency=1,
            connection_timeout=self.connect_timeout_s,
            network_timeout=None,
        )


def is_whole(response, payload: bytes) -> bool:
    """Tell whether the answer has its stated length."""
    length = response.get("content-length")
    return length is not None and int(length) == len(payload)


def explain_os_error(error: OSError) -> Failure:
    """Return the failure that a socket error stands for."""
    if error.errno in NOT_SENT_ERRNOS:
        return Failure(FailureReason.CONNECT, Ran.NOT_RUN, str(error))
    return Failure(FailureReason.RESET, Ran.UNKNOWN, str(error))
