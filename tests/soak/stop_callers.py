"""The callers of the scenario "stops", which use processes until they are gone."""

import contextlib
import itertools
import random
import time
from collections import deque

import gevent
import gevent.socket

from sesameplank.forwarding.http_messages import MessageError, ResponseReader

from ..integration.front_world import make_request
from .callers import CONNECT_TIMEOUT_S, MEAN_THINK_TIME_S, ROUTE_PREFIXES, note_answer
from .checks import GRACE_S, RECORD_BYTES
from .observations import NEVER, CallerRequest
from .stop_world import IDLE_TIMEOUT_S, StopWorld
from .world import RECORDS_PER_TARGET, SoakFront

POLL_INTERVAL_S = 0.05
STOPPING_PROBABILITY = 0.5
LEAVE_PROBABILITY = 0.05
MEAN_FAST_S = 0.02
MAX_PIPELINED = 6
MAX_LARGE = 3
MAX_BODY_BYTES = 15_000
READ_BYTES = 65_536
SLOW_READ_BYTES = 16_384
TARGET_BODY_BYTES = RECORDS_PER_TARGET * RECORD_BYTES
# The kernel's buffers take up to 4 MB, so that only larger ones keep a process writing.
LARGE_ANSWER_BYTES = (300_000, 7_000_000)
MAX_ANSWER_BYTES = 8_000_000
SLOW_READ_S = (0.2, 5.0)
DEADLINES_S = (0.9, 2.0, 3.0, GRACE_S)

Made = tuple[CallerRequest, bytes]


class StopConnection:
    """One connection and its requests that are not answered yet, in order."""

    def __init__(self, world: StopWorld, front: SoakFront) -> None:
        self.world = world
        self.front = front
        self.incarnation = front.incarnation
        address = tuple(front.front_process.caller_address)
        self.sock = gevent.socket.create_connection(address, CONNECT_TIMEOUT_S)
        self.sock.settimeout(None)
        self.reader = ResponseReader(MAX_ANSWER_BYTES, MAX_ANSWER_BYTES)
        self.outstanding: deque[CallerRequest] = deque()
        self.paced_until = 0.0

    def write(self, made: list[Made], cut: int = 0, pause_s: float = 0.0) -> None:
        """Send requests at once, or their first bytes up to `cut` before the others.

        If the connection has ended, the next read notices it.
        """
        requests = [request for request, _ in made]
        data = b"".join(data for _, data in made)
        self.world.record.asked += requests
        self.outstanding += requests
        with contextlib.suppress(OSError):
            self.sock.sendall(data[:cut])
            gevent.sleep(pause_s)
            self.sock.sendall(data[cut:])
            for request in requests:
                request.sent_at = time.monotonic()

    def read(self, read_s: float = 0.0) -> None:
        """Read and record the next answer, a large one slowly in `read_s` seconds.

        Raise OSError if the connection ends first or with this answer.
        """
        size = self.outstanding[0].copies * TARGET_BODY_BYTES
        began_at = received = 0
        while not self.reader.complete:
            data = self.sock.recv(SLOW_READ_BYTES if read_s else READ_BYTES)
            self.reader.feed(data)
            if not data or self.reader.is_corrupt:
                raise ConnectionError("no whole answer")
            if read_s and self.reader.in_message:
                began_at = began_at or time.monotonic()
                received += len(data)
                gevent.sleep(read_s * len(data) / size)
                elapsed_s = time.monotonic() - began_at
                self.paced_until = began_at + elapsed_s * size / received
        self.note_answer()

    def note_answer(self) -> None:
        """Record the answer of the oldest request."""
        answer = self.reader.complete.pop(0)
        request = self.outstanding.popleft()
        note_answer(request, answer)
        body = request.body[: len(request.body) // request.copies]
        if body * request.copies == request.body:
            request.body = body
        has_more = bool(self.reader.complete) or self.reader.in_message
        request.extra_bytes = has_more and not self.outstanding
        if not answer.keep_alive:
            raise ConnectionError("closed after this answer")

    def end(self) -> None:
        """Record that the connection ended without the outstanding answers."""
        for number, request in enumerate(self.outstanding):
            request.ended_at = time.monotonic()
            request.is_truncated = number == 0 and self.reader.in_message
            request.paced_until = self.paced_until


class StopCaller:
    """A caller that connects to processes, often to a stopping one."""

    def __init__(
        self, world: StopWorld, kind: str, number: int, rng: random.Random
    ) -> None:
        self.world = world
        self.kind = kind
        self.name = f"{kind}{number}"
        self.rng = rng
        self.ids = itertools.count(1)

    def run(self) -> None:
        """Open connections and use them until killed."""
        use = CALLER_KINDS[self.kind][1]
        while True:
            try:
                connection = StopConnection(self.world, self.choose_front())
            except OSError:
                gevent.sleep(POLL_INTERVAL_S)
                continue
            try:
                use(self, connection)
            except (OSError, MessageError):
                connection.end()
            finally:
                connection.sock.close()

    def choose_front(self) -> SoakFront:
        """Return a process, in many cases one that was sent SIGTERM."""
        fronts = self.world.fronts
        stopping = [item for item in fronts if item.stop_requested_at is not None]
        is_late = stopping and self.rng.random() < STOPPING_PROBABILITY
        return self.rng.choice(stopping if is_late else fronts)

    def make(
        self, connection: StopConnection, route: str = "", copies=1, body=b"order"
    ) -> Made:
        """Return the record and the bytes of a new request."""
        route = route or self.rng.choice(("gather", "plain", "plain", "booking"))
        is_booking = route == "booking"
        request_id = f"{self.name}-{next(self.ids)}"
        path = f"{ROUTE_PREFIXES[route]}{request_id}"
        deadline_s = self.rng.choice(DEADLINES_S)
        delay_ms = 1_000 * self.draw_delay_s(route, deadline_s)
        data = make_request(
            f"{path}?delay_ms={delay_ms:.0f}&copies={copies}",
            request_id,
            int(deadline_s * 1_000),
            "POST" if is_booking else "GET",
            body if is_booking else b"",
        )
        request = CallerRequest(
            request_id,
            route,
            path,
            connection.front.name,
            connection.incarnation,
            NEVER,
            deadline_s,
            not is_booking,
            caller_kind=self.kind,
            copies=copies,
        )
        return request, data

    def draw_delay_s(self, route: str, deadline_s: float) -> float:
        """Return a service time: short, long, or about the deadline or grace time."""
        delays_s = (
            self.rng.expovariate(1.0 / MEAN_FAST_S),
            self.rng.uniform(0.2, 3.0),
            deadline_s + self.rng.uniform(-0.3, 0.1),
            GRACE_S + self.rng.uniform(-1.0, 1.0),
        )
        weights = (1, 0, 0, 0) if route == "gather" else (7, 8, 3, 2)
        return self.rng.choices(delays_s, weights)[0]

    def idle(self, front: SoakFront) -> None:
        """Wait for a short time, the idle timeout, or until some time in a stop."""
        share = self.rng.random()
        if share < 0.5:
            gevent.sleep(self.rng.expovariate(1.0 / MEAN_THINK_TIME_S))
        elif share < 0.6:
            gevent.sleep(IDLE_TIMEOUT_S + self.rng.uniform(-0.05, 0.05))
        else:
            until = time.monotonic() + GRACE_S
            while front.stop_requested_at is None and time.monotonic() < until:
                gevent.sleep(POLL_INTERVAL_S)
            gevent.sleep(self.rng.uniform(0.0, GRACE_S))


def keep(caller: StopCaller, connection: StopConnection) -> None:
    """Reuse a connection, which idles at times, and leave some of the requests."""
    while True:
        caller.idle(connection.front)
        connection.write([caller.make(connection)])
        if caller.rng.random() < LEAVE_PROBABILITY:
            gevent.sleep(caller.rng.uniform(0.0, 0.5))
            connection.outstanding[0].left_at = time.monotonic()
            return
        connection.read()


def send_one(caller: StopCaller, connection: StopConnection) -> None:
    """Send one request on the connection, at once or a little later."""
    gevent.sleep(max(0.0, caller.rng.uniform(-0.6, 0.3)))
    connection.write([caller.make(connection)])
    connection.read()


def pipeline(caller: StopCaller, connection: StopConnection) -> None:
    """Send several requests at once, and another one while they are answered."""
    while True:
        count = caller.rng.randint(3, MAX_PIPELINED + 1)
        another, *made = [caller.make(connection) for _ in range(count)]
        delay_s = caller.rng.uniform(0.0, 2.0)
        writer = gevent.spawn_later(delay_s, connection.write, [another])
        try:
            connection.write(made)
            while connection.outstanding:
                connection.read()
        finally:
            writer.kill()


def read_slowly(caller: StopCaller, connection: StopConnection) -> None:
    """Read large answers slowly, with a small receive buffer."""
    connection.sock.setsockopt(
        gevent.socket.SOL_SOCKET, gevent.socket.SO_RCVBUF, SLOW_READ_BYTES
    )
    while True:
        copies = caller.rng.randint(*LARGE_ANSWER_BYTES) // TARGET_BODY_BYTES
        read_s = caller.rng.uniform(*SLOW_READ_S)
        count = caller.rng.randint(1, MAX_LARGE)
        made = [caller.make(connection, "plain", copies) for _ in range(count)]
        connection.write(made)
        while connection.outstanding:
            connection.read(read_s)


def send_body(caller: StopCaller, connection: StopConnection) -> None:
    """Send requests with a body in two writes."""
    while True:
        gevent.sleep(caller.rng.expovariate(1.0 / MEAN_THINK_TIME_S))
        body = b"x" * caller.rng.randint(100, MAX_BODY_BYTES)
        made = caller.make(connection, "booking", body=body)
        cut = len(made[1]) - caller.rng.randint(1, len(body))
        connection.write([made], cut, caller.rng.uniform(0.0, 0.4))
        connection.read()


# The number of callers of each kind, and how they use a connection.
CALLER_KINDS = {
    "kept": (14, keep),
    "late": (8, send_one),
    "pipelined": (8, pipeline),
    "slow": (4, read_slowly),
    "body": (6, send_body),
}


def start_callers(world: StopWorld, rng: random.Random) -> list[gevent.Greenlet]:
    """Start the callers of all kinds."""
    return [
        gevent.spawn(StopCaller(world, kind, number, random.Random(rng.random())).run)
        for kind, (count, _) in CALLER_KINDS.items()
        for number in range(count)
    ]
