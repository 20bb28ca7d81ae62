"""Base class and helpers of tests that run a server of callers in their own process."""

import socket

import gevent
import gevent.socket
import testtools
from gevent import monkey

from sesameplank.core.published.routes import RequestLimits
from sesameplank.forwarding.caller_server import CallerServer
from sesameplank.forwarding.http_messages import Request, ResponseReader
from sesameplank.forwarding.request_handling import Reply, RequestContext
from sesameplank.net import Address
from sesameplank.standins.fleet import reserve_block

from ..integration.front_world import RawConnection, make_request

# Both block the event loop.
BlockingSocket = monkey.get_original("socket", "socket")
block_loop = monkey.get_original("time", "sleep")

TIMEOUT_S = 10.0
MAX_BYTES = 64 * 1024 * 1024


class KernelConnection(RawConnection):
    """A connection that is opened without running the event loop.

    It therefore waits in the queue of the listener afterwards. A small
    `receive_buffer_bytes` leaves large answers in the send buffer of the server.
    """

    def __init__(self, address: Address, receive_buffer_bytes: int = 0) -> None:
        sock = BlockingSocket()
        sock.settimeout(TIMEOUT_S)
        if receive_buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        sock.connect(tuple(address))
        self.sock = gevent.socket.socket(fileno=sock.detach())
        self.sock.settimeout(TIMEOUT_S)
        self.reader = ResponseReader(MAX_BYTES, MAX_BYTES)


class CallerServerTestCase(testtools.TestCase):
    """Starts a server that answers each request with its path as the body."""

    def setUp(self):
        super().setUp()
        block = self.enterContext(reserve_block())
        self.address = Address(f"{block}.1.1", 8104)
        self.limits = RequestLimits()
        self.time_s = 0.0
        self.server = CallerServer(
            self.address, self.handle, lambda: self.limits, lambda: self.time_s
        )
        self.enterContext(self.server)

    def handle(self, request: Request, context: RequestContext) -> Reply:
        """Answer a request with its path as the body."""
        return Reply(200, body=request.path.encode())

    def connect(self, receive_buffer_bytes: int = 0) -> RawConnection:
        """Return a connection on which the server has answered a request."""
        client = self.enterContext(KernelConnection(self.address, receive_buffer_bytes))
        self.assertEqual(200, client.request(make_request("/first")).status)
        return client

    def wait_until_accepted(self) -> None:
        """Run the event loop until the server has accepted a connection."""
        with gevent.Timeout(TIMEOUT_S):
            while not self.server.connections:
                gevent.sleep(0.01)

    def read_paths(self, client: RawConnection, count: int) -> list[bytes]:
        """Return the bodies of the next answers, up to `count`, until the end."""
        paths = []
        try:
            while len(paths) < count:
                paths.append(bytes(client.read().body))
        except OSError:
            pass  # The connection ended: the answers so far show what was lost.
        return paths
