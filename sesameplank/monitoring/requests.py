"""Requests of callers: those in flight, outcomes, latencies and log lines."""

from collections import Counter

import msgspec

from ..core.common.clock import Clock
from ..logs import LogLimiter, log_event
from .decisions import DecisionLog
from .latencies import LatencyWindow

ANSWERED = "answered"
CANCELLED = "cancelled"
OTHER_PATH = "other"
KNOWN_PATHS = frozenset(
    (
        "/v1/search",
        "/v1/bookings",
        "/v1/addresses",
        "/v1/writers",
        "/healthz",
        "/readyz",
        "/state",
        "/metrics",
    )
)
MAX_SHOWN_REQUESTS = 100


class RequestState(msgspec.Struct, frozen=True):
    """One request in flight, as the state dump shows it; its age is in seconds."""

    request_id: str
    caller: str
    path: str
    age_s: float


class RequestsState(msgspec.Struct, frozen=True):
    """The requests of a process.

    `in_flight` is the number in flight, and `oldest` has the oldest of these, at
    most MAX_SHOWN_REQUESTS. `outcomes` counts ended requests by path and outcome.
    """

    in_flight: int
    oldest: tuple[RequestState, ...]
    outcomes: dict[str, int]


class OpenRequest(msgspec.Struct):
    """A request in flight; `started_at` is in seconds of the process's clock."""

    request_id: str
    caller: str
    path: str
    started_at: float


def get_known_path(path: str) -> str:
    """Return the known path that a path starts with, or OTHER_PATH.

    The result has no parts that differ between requests, such as keys.
    """
    known = "/".join(path.split("/", 3)[:3])
    return known if known in KNOWN_PATHS else OTHER_PATH


class RequestLedger:
    """Tracks all requests of callers; the limit on connections bounds its memory."""

    def __init__(
        self, clock: Clock, decisions: DecisionLog, slow_request_s: float
    ) -> None:
        self.clock = clock
        self.decisions = decisions
        self.slow_request_s = slow_request_s
        self.open: dict[int, OpenRequest] = {}
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.latencies: dict[str, LatencyWindow] = {}
        self.limiter = LogLimiter(clock)

    def begin(self, request_id: str, caller: str, path: str) -> OpenRequest:
        """Record a request as in flight, and return its record for `end`."""
        known_path = get_known_path(path)
        request = OpenRequest(request_id, caller[:100], known_path, self.clock.now())
        self.open[id(request)] = request
        return request

    def end(self, request: OpenRequest, outcome: str, detail: str = "") -> None:
        """Record the outcome of a request, and log it if it was refused or slow.

        `detail` is the reason that is logged.
        """
        del self.open[id(request)]
        elapsed_s = self.clock.now() - request.started_at
        self.outcomes[request.path, outcome] += 1
        if outcome == ANSWERED:
            self.record_latency(request.path, elapsed_s)
            if elapsed_s < self.slow_request_s:
                return
        event = "request_slow" if outcome == ANSWERED else "request_refused"
        if outcome != ANSWERED:
            self.decisions.note("refused", outcome, f"{request.request_id}: {detail}")
        suppressed = self.limiter.take()
        if suppressed is not None:
            log_event(
                event,
                request_id=request.request_id,
                caller=request.caller,
                path=request.path,
                outcome=outcome,
                elapsed_ms=elapsed_s * 1_000,
                reason=detail,
                suppressed=suppressed,
            )

    def record_latency(self, path: str, elapsed_s: float) -> None:
        """Record the latency of an answered request."""
        window = self.latencies.get(path)
        if window is None:
            window = self.latencies[path] = LatencyWindow(self.clock)
        window.record(elapsed_s)

    def get_state(self) -> RequestsState:
        """Return how many requests are in flight, and the oldest of them."""
        now = self.clock.now()
        oldest = sorted(self.open.values(), key=lambda item: item.started_at)
        return RequestsState(
            in_flight=len(self.open),
            oldest=tuple(
                RequestState(
                    item.request_id, item.caller, item.path, now - item.started_at
                )
                for item in oldest[:MAX_SHOWN_REQUESTS]
            ),
            outcomes={
                f"{path} {outcome}": count
                for (path, outcome), count in sorted(self.outcomes.items())
            },
        )
