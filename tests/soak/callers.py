"""The callers of a soak, which cache addresses and reuse connections."""

import itertools
import random
import time

import gevent
import gevent.socket
import msgspec

from sesameplank.forwarding.http_messages import MessageError, Response, ResponseReader
from sesameplank.net import Address
from sesameplank.platform.headers import (
    MISSING_PARTS,
    PART_SIGNATURES,
    REQUEST_ID,
    SIGNATURE,
)

from ..integration.front_world import RawConnection, make_request
from .observations import CallerRequest
from .world import SoakFront, SoakWorld

CALLERS = 12
MEAN_THINK_TIME_S = 0.12
ABANDON_PROBABILITY = 0.05
ABANDON_AFTER_S = 0.15
CONNECT_TIMEOUT_S = 1.0
DIRECTORY_TIMEOUT_S = 1.0
WAIT_BEYOND_DEADLINE_S = 3.0
MAX_BYTES = 1_000_000
ROUTE_PREFIXES = {"gather": "/all/", "plain": "/one/", "booking": "/book/"}
DEADLINES_MS = (400, 900, 2_000)


class Caller:
    """A caller with at most one connection and one request at a time."""

    def __init__(self, world: SoakWorld, number: int, rng: random.Random) -> None:
        self.world = world
        self.number = number
        self.rng = rng
        self.ids = itertools.count(1)
        self.addresses: list[str] = []
        self.addresses_expire_at = 0.0
        self.sock: gevent.socket.socket | None = None
        self.reader = ResponseReader(MAX_BYTES, MAX_BYTES)
        self.front: SoakFront | None = None

    def run(self) -> None:
        """Send requests until killed."""
        while True:
            gevent.sleep(self.rng.expovariate(1.0 / MEAN_THINK_TIME_S))
            if self.connect():
                self.send_request()

    def connect(self) -> bool:
        """Connect unless connected; return False if no process accepts a connection."""
        if self.sock is not None:
            return True
        if time.monotonic() >= self.addresses_expire_at:
            self.fetch_addresses()
        for address in self.rng.sample(self.addresses, len(self.addresses)):
            front_address = Address.parse(address)
            try:
                self.sock = gevent.socket.create_connection(
                    tuple(front_address), CONNECT_TIMEOUT_S
                )
            except OSError:
                continue
            self.sock.settimeout(None)
            self.reader = ResponseReader(MAX_BYTES, MAX_BYTES)
            self.front = self.find_front(front_address.host)
            return True
        self.addresses_expire_at = 0.0
        return False

    def find_front(self, host: str) -> SoakFront:
        """Return the process on a host."""
        return next(item for item in self.world.fronts if item.name == host)

    def fetch_addresses(self) -> None:
        """Fetch the addresses that callers use from the directory of a random process.

        The current addresses stay if the process does not answer with status 200.
        """
        front = self.rng.choice(self.world.fronts)
        try:
            with (
                gevent.Timeout(DIRECTORY_TIMEOUT_S),
                RawConnection(front.front_process.directory_address) as client,
            ):
                answer = client.request(
                    b"GET /resolve?name=x HTTP/1.1\r\nHost: x\r\n\r\n"
                )
        except (OSError, gevent.Timeout):
            return
        if answer.status == 200:
            directory = msgspec.json.decode(bytes(answer.body))
            self.addresses = directory["addrs"]
            self.addresses_expire_at = time.monotonic() + directory["ttl_s"]

    def send_request(self) -> None:
        """Send one request and record its outcome."""
        request = self.make_caller_request()
        self.world.record.asked.append(request)
        waits_for_answer = self.rng.random() >= ABANDON_PROBABILITY
        wait_s = (
            request.deadline_s + WAIT_BEYOND_DEADLINE_S
            if waits_for_answer
            else ABANDON_AFTER_S
        )
        data = make_request(
            request.path,
            request.id,
            int(request.deadline_s * 1_000),
            "GET" if request.idempotent else "POST",
            b"" if request.idempotent else b"order",
        )
        try:
            with gevent.Timeout(wait_s):
                self.sock.sendall(data)
                answer = self.read()
        except gevent.Timeout:
            request.left_at = time.monotonic()
            self.close()
            return
        except (OSError, MessageError):
            request.ended_at = time.monotonic()
            self.close()
            return
        self.handle_answer(request, answer)

    def make_caller_request(self) -> CallerRequest:
        """Return the record of a new request."""
        route = self.rng.choice(("gather", "gather", "plain", "booking"))
        request_id = f"c{self.number}-{next(self.ids)}"
        return CallerRequest(
            id=request_id,
            route=route,
            path=f"{ROUTE_PREFIXES[route]}{request_id}",
            front=self.front.name,
            incarnation=self.front.incarnation,
            sent_at=time.monotonic(),
            deadline_s=self.rng.choice(DEADLINES_MS) / 1_000,
            idempotent=route != "booking",
        )

    def read(self) -> Response:
        """Return the next answer.

        Raise ConnectionError if the connection ends first, or MessageError if the
        answer is malformed.
        """
        while not self.reader.complete:
            data = self.sock.recv(65_536)
            if not data:
                raise ConnectionError("closed without an answer")
            self.reader.feed(data)
        return self.reader.complete.pop(0)

    def handle_answer(self, request: CallerRequest, answer: Response) -> None:
        """Record an answer, and close the connection if it cannot be reused."""
        note_answer(request, answer)
        request.extra_bytes = bool(self.reader.complete) or self.reader.in_message
        if not answer.keep_alive or request.extra_bytes:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


def note_answer(request: CallerRequest, answer: Response) -> None:
    """Record an answer to a request."""
    request.ended_at = time.monotonic()
    request.status = answer.status
    request.body = bytes(answer.body)
    request.answer_id = answer.get(REQUEST_ID.lower()) or ""
    request.missing = int(answer.get(MISSING_PARTS.lower()) or 0)
    signed_by = PART_SIGNATURES if request.route == "gather" else SIGNATURE
    names = answer.get(signed_by.lower()) or ""
    request.signatures = tuple(name.strip() for name in names.split(",") if name)
