"""HTTP/1.1 server for callers: its listener and the set of its connections."""

from collections.abc import Callable

import gevent
import gevent.socket
from gevent.server import StreamServer

from ..core.published.routes import RequestLimits
from ..logs import log_event
from ..net import Address, count_unaccepted
from .answer_accounts import AnswerAccounts, CloseCause
from .caller_connections import CallerConnection
from .http_messages import MessageError
from .request_handling import Handler

LISTEN_BACKLOG = 1_024
STOPPING = "the process is stopping; send the request to another one"


def assume_lookup(caller_host: str) -> bool:
    """Return True: any request may follow a look-up."""
    return True


class CallerServer:
    """An HTTP server on one address, and a context manager that starts and stops it.

    `get_limits` returns the request limits currently in force, and
    `may_have_looked_up` whether the next request of a caller may follow a look-up of
    addresses. While `is_stopping` is true, the server closes each connection after
    the response to the last request that has arrived on it. `accounts` counts the
    requests and reports those that end without an answer; by default, they are not
    reported.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        get_limits: Callable[[], RequestLimits],
        now: Callable[[], float],
        may_have_looked_up: Callable[[str], bool] = assume_lookup,
        accounts: AnswerAccounts | None = None,
    ) -> None:
        self.accounts = accounts or AnswerAccounts()
        self.may_have_looked_up = may_have_looked_up
        self.address = address
        self.handler = handler
        self.get_limits = get_limits
        self.now = now
        self.is_stopping = False
        self.is_accepting = True
        self.lingering = 0
        self.connections: set[CallerConnection] = set()
        self.stream_server = StreamServer(
            tuple(address), self.accept, backlog=LISTEN_BACKLOG
        )

    def __enter__(self) -> "CallerServer":
        self.stream_server.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stream_server.stop(timeout=0)
        for connection in list(self.connections):
            connection.close(CloseCause.PROCESS_ENDED)

    @property
    def in_flight(self) -> int:
        """The number of requests that have been read but not answered yet."""
        return sum(connection.in_flight for connection in self.connections)

    @property
    def pending(self) -> int:
        """The number of requests read that are neither answered nor reported."""
        return sum(len(connection.get_pending()) for connection in self.connections)

    def count_unaccepted(self) -> int:
        """Return how many connections of callers wait to be accepted."""
        return count_unaccepted(self.stream_server.socket)

    def accept(self, sock: gevent.socket.socket, source: tuple) -> None:
        """Serve one connection until it is closed."""
        connection = CallerConnection(self, sock, source[0])
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)

    def stop_accepting(self) -> None:
        """Stop accepting connections; open ones are still served.

        Those in the listener's queue are accepted first: the kernel would reset them,
        and their callers may have sent requests.
        """
        self.is_accepting = False
        listener = self.stream_server
        listener.stop_accepting()
        try:
            while (accepted := listener.do_read()) is not None:
                listener.do_handle(*accepted)
        except OSError as error:
            log_event("accept_failed", listener=self.address, error=repr(error))
        finally:
            listener.close()

    def close_idle(self) -> None:
        """End the connections on which no request is being read or served.

        A request that arrives while its connection is being closed is not
        forwarded, so its caller can safely send it to another address.
        """
        for connection in list(self.connections):
            if connection.is_open and connection.is_idle:
                connection.finish()

    def refuse_incomplete(self) -> None:
        """Refuse the requests that have arrived only in part, and end connections."""
        for connection in list(self.connections):
            if connection.is_receiving and not connection.in_flight:
                gevent.spawn(connection.refuse, MessageError(STOPPING, 503))
