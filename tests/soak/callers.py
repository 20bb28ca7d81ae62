"""Callers of a soak: they keep addresses and use connections until they end."""

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

from ..integration.front_world import Client, make_request
from .observations import Asked
from .world import SoakFront, World

CALLERS = 12
THINK_S = 0.12
GIVE_UP_SHARE = 0.05
GIVE_UP_S = 0.15
CONNECT_TIMEOUT_S = 1.0
DIRECTORY_TIMEOUT_S = 1.0
OVERTIME_S = 3.0
MAX_BYTES = 1_000_000
ROUTES = {"gather": "/all/", "plain": "/one/", "booking": "/book/"}
DEADLINES_MS = (400, 900, 2_000)


class Caller:
    """One caller with a connection of its own."""

    def __init__(self, world: World, number: int, rng: random.Random) -> None:
        self.world = world
        self.number = number
        self.rng = rng
        self.ids = itertools.count(1)
        self.addresses: list[str] = []
        self.expires_at = 0.0
        self.sock: gevent.socket.socket | None = None
        self.reader = ResponseReader(MAX_BYTES, MAX_BYTES)
        self.front: SoakFront | None = None

    def run(self) -> None:
        """Ask until killed."""
        while True:
            gevent.sleep(self.rng.expovariate(1.0 / THINK_S))
            if self.connect():
                self.ask()

    def connect(self) -> bool:
        """Make sure of a connection; False if no process takes one."""
        if self.sock is not None:
            return True
        if time.monotonic() >= self.expires_at:
            self.learn_addresses()
        for address in self.rng.sample(self.addresses, len(self.addresses)):
            target = Address.parse(address)
            try:
                self.sock = gevent.socket.create_connection(
                    tuple(target), CONNECT_TIMEOUT_S
                )
            except OSError:
                continue
            self.sock.settimeout(None)
            self.reader = ResponseReader(MAX_BYTES, MAX_BYTES)
            self.front = self.find_front(target.host)
            return True
        self.expires_at = 0.0
        return False

    def find_front(self, host: str) -> SoakFront:
        """Return the process on a host."""
        return next(item for item in self.world.fronts if item.name == host)

    def learn_addresses(self) -> None:
        """Ask some process where to connect."""
        front = self.rng.choice(self.world.fronts)
        try:
            with (
                gevent.Timeout(DIRECTORY_TIMEOUT_S),
                Client(front.process.directory) as client,
            ):
                answer = client.request(
                    b"GET /resolve?name=x HTTP/1.1\r\nHost: x\r\n\r\n"
                )
        except (OSError, gevent.Timeout):
            return
        if answer.status == 200:
            known = msgspec.json.decode(bytes(answer.body))
            self.addresses = known["addrs"]
            self.expires_at = time.monotonic() + known["ttl_s"]

    def ask(self) -> None:
        """Send one request and record what becomes of it."""
        asked = self.make_asked()
        self.world.record.asked.append(asked)
        is_patient = self.rng.random() >= GIVE_UP_SHARE
        wait_s = asked.deadline_s + OVERTIME_S if is_patient else GIVE_UP_S
        data = make_request(
            asked.path,
            asked.id,
            int(asked.deadline_s * 1_000),
            "GET" if asked.idempotent else "POST",
            b"" if asked.idempotent else b"order",
        )
        try:
            with gevent.Timeout(wait_s):
                self.sock.sendall(data)
                answer = self.read()
        except gevent.Timeout:
            asked.left_at = time.monotonic()
            self.close()
            return
        except (OSError, MessageError):
            asked.ended_at = time.monotonic()
            self.close()
            return
        self.take(asked, answer)

    def make_asked(self) -> Asked:
        """Return the record of a new request."""
        route = self.rng.choice(("gather", "gather", "plain", "booking"))
        request_id = f"c{self.number}-{next(self.ids)}"
        return Asked(
            id=request_id,
            route=route,
            path=f"{ROUTES[route]}{request_id}",
            front=self.front.name,
            incarnation=self.front.incarnation,
            sent_at=time.monotonic(),
            deadline_s=self.rng.choice(DEADLINES_MS) / 1_000,
            idempotent=route != "booking",
        )

    def read(self) -> Response:
        """Return the next answer, or raise ConnectionError at the end."""
        while not self.reader.complete:
            data = self.sock.recv(65_536)
            if not data:
                raise ConnectionError("closed without an answer")
            self.reader.feed(data)
        return self.reader.complete.pop(0)

    def take(self, asked: Asked, answer: Response) -> None:
        """Record an answer."""
        note_answer(asked, answer)
        asked.extra_bytes = bool(self.reader.complete) or self.reader.in_message
        if not answer.keep_alive or asked.extra_bytes:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


def note_answer(asked: Asked, answer: Response) -> None:
    """Record an answer to a request."""
    asked.ended_at = time.monotonic()
    asked.status = answer.status
    asked.body = bytes(answer.body)
    asked.answer_id = answer.get(REQUEST_ID.lower()) or ""
    asked.missing = int(answer.get(MISSING_PARTS.lower()) or 0)
    signed_by = PART_SIGNATURES if asked.route == "gather" else SIGNATURE
    names = answer.get(signed_by.lower()) or ""
    asked.signatures = tuple(name.strip() for name in names.split(",") if name)
