"""A stand-in for a target of forwarded requests, which can inject faults."""

import contextlib
import socket
import time
from collections.abc import Callable
from enum import Enum

import gevent
import gevent.socket
from gevent.server import StreamServer

from ..forwarding.http_messages import (
    Headers,
    MessageError,
    Request,
    RequestReader,
    encode_response,
)
from ..net import LINGER_RESET, Address
from ..platform.headers import (
    ANSWERING_TARGET,
    EXPECTED_TARGET,
    MISDIRECTED,
    NOT_RUN,
    REQUEST_ID,
    RETRY_AFTER,
    SIGNATURE,
    TARGET_LEAVING,
    TARGET_LIMIT,
)
from .packet_loss import lose_packets

READ_BYTES = 65_536
MAX_BYTES = 1_048_576
LATE_S = 0.3
COPY_DELAY_S = 1.0
RESTART_S = 0.6
CRASH_DELAY_S = 0.02
UPGRADE_RESPONSE = (
    b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"
)
HEAD_END = b"\r\n\r\n"
CUT_STEP_BYTES = 7


class TargetFaultMode(Enum):
    """The fault that a target injects into each request.

    SHED            refuse the request without executing it
    SHED_ONCE       refuse the first call of each request, again after COPY_DELAY_S
    FAIL            answer with status 500
    SILENT          send no answer
    LATE            send the answer after LATE_S
    CUT             close the connection before the end of the answer
    CUT_HEAD        close the connection in the answer's head, each time further on
    CUT_HEAD_RESET  the same, but reset the connection
    CUT_NEXT_HEAD   send the answer and part of another head, then close
    RESET           reset the connection instead of answering
    GARBAGE         send bytes that are not HTTP
    UPGRADE         answer that the connection speaks another protocol from now on
    TWICE           send two answers at once
    UNFRAMED        end the body by closing the connection
    UNFRAMED_RESET  end the body by resetting the connection
    CHUNKED         send the body in chunked encoding, with a trailer
    ENCODED         declare a content encoding that the body does not have
    UNSIGNED        leave out the signature
    LATE_EXTRA      send the answer again after LATE_S
    COPIED          send the answer again at once, without a request id
    LATE_COPY       send the answer again after LATE_S, without a request id
    ENDLESS_HEAD    send a header that doesn't end until the client closes
    ENDLESS_BODY    send a body that doesn't end until the client closes
    """

    NONE = "none"
    SHED = "shed"
    SHED_ONCE = "shed_once"
    FAIL = "fail"
    SILENT = "silent"
    LATE = "late"
    CUT = "cut"
    CUT_HEAD = "cut_head"
    CUT_HEAD_RESET = "cut_head_reset"
    CUT_NEXT_HEAD = "cut_next_head"
    RESET = "reset"
    GARBAGE = "garbage"
    UPGRADE = "upgrade"
    TWICE = "twice"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed_reset"
    CHUNKED = "chunked"
    ENCODED = "encoded"
    UNSIGNED = "unsigned"
    LATE_EXTRA = "late_extra"
    COPIED = "copied"
    LATE_COPY = "late_copy"
    ENDLESS_HEAD = "endless_head"
    ENDLESS_BODY = "endless_body"


CUT_HEAD_MODES = frozenset(
    {
        TargetFaultMode.CUT_HEAD,
        TargetFaultMode.CUT_HEAD_RESET,
        TargetFaultMode.CUT_NEXT_HEAD,
    }
)
ENDLESS_BEGINNINGS = {
    TargetFaultMode.ENDLESS_HEAD: b"X: ",
    TargetFaultMode.ENDLESS_BODY: b"\r\n",
}


class LinkFault(Enum):
    """What happens to the link between a target and one host.

    HANG          all packets are lost: open connections fall silent, new ones hang
    ANSWERS_LOST  packets to the host are lost: requests run, new connections hang
    RESET         open connections are reset, and new ones too
    REFUSE        open connections live on, and new ones are reset
    """

    HANG = "hang"
    ANSWERS_LOST = "answers_lost"
    RESET = "reset"
    REFUSE = "refuse"


class FrontTarget:
    """A target that answers every request with its signature and the same body.

    `fault_mode` changes this. As a context manager, the target accepts connections
    on its address.

    `link_faults` holds the faults of its links by the other host, and `sockets` the
    open connections with theirs.

    `crashing_paths` holds the request targets that crash this target when it begins to
    run them. Its `crashes` are counted; it listens again after RESTART_S, once
    `on_restart` has been called.

    `stated_limit` is the rate limit that its answers name, None for none. With
    `is_leaving` they say that it leaves. `retry_after` is when requests that it refuses
    may come again, in seconds. `arrived_at` holds the time of arrival of every request,
    `arrived_ids` its id, and `callers` the host that it came from.

    `executed_ids` holds the IDs of the executed requests in order, and
    `misdirected_ids` those of requests that were meant for another target.
    """

    def __init__(self, name: str, address: Address, body: bytes) -> None:
        self.name = name
        self.address = address
        self.body = body
        self.fault_mode = TargetFaultMode.NONE
        self.delay_s = 0.0
        self.stated_limit: bytes | None = None
        self.is_leaving = False
        self.retry_after: bytes | None = None
        self.cut_at = 0
        self.arrived_at: list[float] = []
        self.arrived_ids: list[str] = []
        self.callers: list[str] = []
        self.executed_ids: list[str] = []
        self.misdirected_ids: list[str] = []
        self.requests: list[Request] = []
        self.link_faults: dict[str, LinkFault] = {}
        self.sockets: dict[gevent.socket.socket, str] = {}
        self.open_connections = 0
        self.peak_connections = 0
        self.crashing_paths: set[bytes] = set()
        self.crashing_arrivals: list[float] = []
        self.crashes = 0
        self.on_restart: Callable[[FrontTarget], None] = lambda target: None
        self.restart: gevent.Greenlet | None = None
        self.server = StreamServer(tuple(address), self.handle)

    def __enter__(self) -> "FrontTarget":
        self.server.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self.restart is not None:
            self.restart.kill()
        self.server.stop(timeout=0)

    def crash(self) -> None:
        """Stop listening and end all connections, as a process that is killed."""
        if not self.server.started:
            return
        self.crashes += 1
        self.server.stop(timeout=0)
        for sock in list(self.sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.restart = gevent.spawn_later(RESTART_S, self.start_again)

    def start_again(self) -> None:
        """Listen again, as a new incarnation."""
        self.server = StreamServer(tuple(self.address), self.handle)
        self.server.start()
        self.on_restart(self)

    def lose_link(self, host: str, fault: LinkFault) -> None:
        """Inject a fault into the link to a host."""
        self.link_faults[host] = fault
        self.apply_link_faults()

    def restore_link(self, host: str) -> None:
        """Remove the fault of the link to a host."""
        self.link_faults.pop(host, None)
        self.apply_link_faults()

    def apply_link_faults(self) -> None:
        """Lose the packets, and reset the connections, that the faults affect."""
        faults = self.link_faults.items()
        hanging = [host for host, fault in faults if fault is LinkFault.HANG]
        one_way = [host for host, fault in faults if fault is LinkFault.ANSWERS_LOST]
        lose_packets(self.server.socket, hanging + one_way)
        for sock, host in list(self.sockets.items()):
            lose_packets(sock, hanging)
            if self.link_faults.get(host) is LinkFault.RESET:
                reset_socket(sock)

    def handle(self, sock: gevent.socket.socket, source: tuple) -> None:
        """Serve one connection."""
        host = source[0]
        if self.link_faults.get(host) in (LinkFault.RESET, LinkFault.REFUSE):
            reset_socket(sock)
            return
        self.sockets[sock] = host
        self.open_connections += 1
        self.peak_connections = max(self.peak_connections, self.open_connections)
        reader = RequestReader(MAX_BYTES, MAX_BYTES)
        try:
            while data := sock.recv(READ_BYTES):
                reader.feed(data)
                while reader.complete:
                    if not self.answer(sock, reader.complete.pop(0)):
                        return
        except (OSError, MessageError):
            return
        finally:
            self.open_connections -= 1
            del self.sockets[sock]
            with contextlib.suppress(OSError):
                sock.close()

    def answer(self, sock: gevent.socket.socket, request: Request) -> bool:
        """Answer a request; return whether to keep the connection open."""
        request_id = request.get(REQUEST_ID.lower()) or ""
        is_shed = self.will_shed(request_id)
        self.arrived_at.append(time.monotonic())
        self.arrived_ids.append(request_id)
        self.callers.append(self.sockets[sock])
        expected = request.get(EXPECTED_TARGET.lower())
        if expected not in (None, self.name):
            self.misdirected_ids.append(request_id)
            headers = [
                (ANSWERING_TARGET, self.name.encode()),
                (REQUEST_ID, request_id.encode()),
            ]
            sock.sendall(self.encode(MISDIRECTED, headers, b""))
            return True
        if is_shed:
            headers = [(NOT_RUN, b"1"), (REQUEST_ID, request_id.encode())]
            if self.retry_after is not None:
                headers.append((RETRY_AFTER, self.retry_after))
            refusal = self.encode(503, headers, b"")
            sock.sendall(refusal)
            if self.fault_mode is TargetFaultMode.SHED_ONCE:
                gevent.spawn_later(COPY_DELAY_S, self.send_extra, sock, refusal)
            return True
        if bytes(request.target) in self.crashing_paths:
            self.crashing_arrivals.append(time.monotonic())
            gevent.sleep(CRASH_DELAY_S)
            self.crash()
            return False
        self.executed_ids.append(request_id)
        self.requests.append(request)
        if request.method == b"HEAD":
            answer = self.make_answer(request_id)
            sock.sendall(answer.removesuffix(self.body))
            return True
        return self.send(sock, request_id)

    def will_shed(self, request_id: str) -> bool:
        """Return whether a call that arrives now is refused without being run."""
        if self.fault_mode is TargetFaultMode.SHED_ONCE:
            return request_id not in self.arrived_ids
        return self.fault_mode is TargetFaultMode.SHED

    def send(self, sock: gevent.socket.socket, request_id: str) -> bool:
        """Send the answer of an executed request, with the fault in force.

        Return whether to keep the connection open.
        """
        fault_mode = self.fault_mode
        gevent.sleep(self.delay_s)
        if self.link_faults.get(self.sockets[sock]) is LinkFault.ANSWERS_LOST:
            return True
        answer = self.make_answer(request_id)
        if fault_mode is TargetFaultMode.SILENT:
            while sock.recv(READ_BYTES):  # Ends when the client closes.
                pass
            return False
        if fault_mode is TargetFaultMode.LATE:
            gevent.sleep(LATE_S)
            sock.sendall(answer)
        elif fault_mode is TargetFaultMode.CUT:
            sock.sendall(answer[:-3])
            return False
        elif fault_mode is TargetFaultMode.RESET:
            reset_socket(sock)
            return False
        elif fault_mode is TargetFaultMode.GARBAGE:
            sock.sendall(b"\x00\x01 no response\r\n\r\n")
        elif fault_mode is TargetFaultMode.UPGRADE:
            sock.sendall(UPGRADE_RESPONSE)
        elif fault_mode in (TargetFaultMode.UNFRAMED, TargetFaultMode.UNFRAMED_RESET):
            return self.send_unframed(sock, request_id)
        elif fault_mode in CUT_HEAD_MODES:
            return self.send_cut_head(sock, answer)
        elif fault_mode in ENDLESS_BEGINNINGS:
            return self.send_endless(sock, request_id, ENDLESS_BEGINNINGS[fault_mode])
        elif fault_mode is TargetFaultMode.TWICE:
            sock.sendall(answer + self.make_answer("another"))
        elif fault_mode is TargetFaultMode.COPIED:
            sock.sendall(answer + self.make_answer(request_id, has_id=False))
        elif fault_mode is TargetFaultMode.LATE_COPY:
            sock.sendall(answer)
            copy = self.make_answer(request_id, has_id=False)
            gevent.spawn_later(LATE_S, self.send_extra, sock, copy)
        elif fault_mode is TargetFaultMode.LATE_EXTRA:
            sock.sendall(answer)
            gevent.spawn_later(LATE_S, self.send_extra, sock, answer)
        else:
            sock.sendall(answer)
        return True

    def send_cut_head(self, sock: gevent.socket.socket, answer: bytes) -> bool:
        """Send a head in part, and end the connection; always return False.

        Each head is cut CUT_STEP_BYTES behind the end of the one before.
        """
        if self.fault_mode is TargetFaultMode.CUT_NEXT_HEAD:
            sock.sendall(answer)
        head_bytes = answer.index(HEAD_END) + len(HEAD_END)
        self.cut_at = self.cut_at % (head_bytes - 1) + 1
        sock.sendall(answer[: self.cut_at])
        self.cut_at += CUT_STEP_BYTES - 1
        if self.fault_mode is TargetFaultMode.CUT_HEAD_RESET:
            gevent.sleep(LATE_S / 10)
            reset_socket(sock)
        return False

    def send_extra(self, sock: gevent.socket.socket, data: bytes) -> None:
        """Send an answer again."""
        with contextlib.suppress(OSError):
            sock.sendall(data)

    def send_unframed(self, sock: gevent.socket.socket, request_id: str) -> bool:
        """Send an answer whose body ends with the connection; always return False."""
        head = b"HTTP/1.1 200 OK\r\n"
        for item in self.make_headers(request_id):
            head += b"%b: %b\r\n" % item
        sock.sendall(head + b"\r\n" + self.body)
        if self.fault_mode is TargetFaultMode.UNFRAMED_RESET:
            gevent.sleep(LATE_S / 10)
            reset_socket(sock)
        return False

    def send_endless(
        self, sock: gevent.socket.socket, request_id: str, beginning: bytes
    ) -> bool:
        """Send an answer until the client closes or the fault ends; return False.

        The connection is then reset, since the answer must not look complete.
        """
        sock.sendall(b"HTTP/1.1 200 OK\r\n")
        for item in self.make_headers(request_id):
            sock.sendall(b"%b: %b\r\n" % item)
        sock.sendall(beginning)
        while self.fault_mode in ENDLESS_BEGINNINGS:
            sock.sendall(b"a" * READ_BYTES)
        reset_socket(sock)
        return False

    def make_headers(self, request_id: str, *, has_id: bool = True) -> Headers:
        """Return the headers of an answer, with the fault in force."""
        headers: Headers = [(REQUEST_ID, request_id.encode())] if has_id else []
        if self.fault_mode is not TargetFaultMode.UNSIGNED:
            signature = f"{self.name}.{request_id}"
            headers.append((SIGNATURE, signature.encode()))
        if self.fault_mode is TargetFaultMode.ENCODED:
            headers.append((b"Content-Encoding", b"gzip"))
        if self.is_leaving:
            headers.append((TARGET_LEAVING, b"1"))
        if self.stated_limit is not None:
            headers.append((TARGET_LIMIT, self.stated_limit))
        return headers

    def make_answer(self, request_id: str, *, has_id: bool = True) -> bytes:
        """Return the bytes of an answer, with the fault in force."""
        headers = self.make_headers(request_id, has_id=has_id)
        if self.fault_mode is TargetFaultMode.FAIL:
            return self.encode(500, headers, b"failed")
        if self.fault_mode is not TargetFaultMode.CHUNKED:
            return self.encode(200, headers, self.body)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        for item in headers:
            head += b"%b: %b\r\n" % item
        body = self.body
        return head + b"\r\n%x\r\n%b\r\n0\r\nX-Trailer: 1\r\n\r\n" % (len(body), body)

    def encode(self, status: int, headers: Headers, body: bytes) -> bytes:
        """Return the bytes of a response."""
        return encode_response(status, "Status", headers, body, close=False)


def reset_socket(sock: gevent.socket.socket) -> None:
    """Close a connection with a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    sock.close()
