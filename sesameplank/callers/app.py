"""The WSGI application that callers talk to."""

import itertools
import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

import msgspec

from ..core.clock import Clock
from ..core.messages import (
    BookingAnswer,
    BookingRequest,
    BookingStatus,
    SearchAnswer,
    SearchRequest,
    WriterAnswer,
)
from ..core.outcomes import Ran
from ..core.versions import AcceptedConfiguration, ConfigurationStore
from ..ids import CallerName, EntryId, IdempotencyKey, RequestId
from ..logs import log_event
from ..monitoring import DecisionLog, RequestLedger
from ..monitoring.requests import ANSWERED, CANCELLED
from .bodies import read_body
from .problems import PROBLEM_JSON, STATUSES, ProblemKind, Refusal

JSON = "application/json"
MAX_REQUEST_ID_LENGTH = 100
MAX_KEY_LENGTH = 200
BOOKINGS_PATH = "/v1/bookings"
RECEIVE_AGE = "sesameplank.receive_age_s"


class CallerRequest(msgspec.Struct, frozen=True):
    """What every call carries: its id, caller, configuration and deadline."""

    request_id: RequestId
    caller: CallerName
    pinned: AcceptedConfiguration
    deadline_at: float


Searcher = Callable[[CallerRequest, SearchRequest], SearchAnswer]
Page = Callable[[dict], object]


class BookingHandler(ABC):
    """Handles bookings; each method returns a typed answer or raises Refusal."""

    @abstractmethod
    def issue_writer(self) -> WriterAnswer:
        """Return a new writer id."""

    @abstractmethod
    def book(
        self, call: CallerRequest, text: IdempotencyKey, request: BookingRequest
    ) -> BookingAnswer:
        """Return the result of a booking."""

    @abstractmethod
    def look_up(self, call: CallerRequest, text: IdempotencyKey) -> BookingStatus:
        """Return what is known of a key."""

    @abstractmethod
    def close(self, call: CallerRequest, text: IdempotencyKey) -> BookingStatus:
        """Close a key that has not run, so that it never will."""


class CallersApp:
    """Routes HTTP requests; handlers are passed in.

    `search` and the desk return a typed answer or raise Refusal. `pages` maps
    the paths of GET requests to callables that return a typed answer, or bytes
    with their content type.
    """

    def __init__(
        self,
        entry_id: EntryId,
        store: ConfigurationStore,
        clock: Clock,
        search: Searcher,
        bookings: BookingHandler,
        pages: dict[str, Page],
        ledger: RequestLedger | None = None,
    ) -> None:
        self.entry_id = entry_id
        self.store = store
        self.clock = clock
        self.search = search
        self.bookings = bookings
        self.pages = pages
        self.ledger = ledger or RequestLedger(clock, DecisionLog(clock), math.inf)
        self.counter = itertools.count(1)

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one HTTP request."""
        arrived_at = self.clock.now() - environ.get(RECEIVE_AGE, 0.0)
        given = environ.get("HTTP_X_REQUEST_ID", "")
        usable = is_token(given, MAX_REQUEST_ID_LENGTH)
        request_id = RequestId(given) if usable else self.make_request_id()
        headers = []
        caller = environ.get("HTTP_X_CALLER", "")
        record = self.ledger.begin(request_id, caller, environ["PATH_INFO"])
        outcome, detail = ANSWERED, ""
        try:
            if given and not usable:
                raise make_request_id_refusal(given)
            status, content_type, body = self.route(environ, request_id, arrived_at)
        except Refusal as refusal:
            status, content_type, body = make_refused(refusal, request_id)
            headers = get_refusal_headers(refusal)
            outcome, detail = refusal.kind.value, refusal.detail
        except Exception as error:  # A fault of ours must still be answered.
            log_event("internal_error", request_id=request_id, error=repr(error))
            status, content_type, body = make_refused(make_internal(), request_id)
            outcome, detail = ProblemKind.INTERNAL.value, repr(error)
        except BaseException:
            outcome = CANCELLED
            raise
        finally:
            self.ledger.end(record, outcome, detail)
        headers += [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            ("X-Request-Id", request_id),
        ]
        start_response(status, headers)
        return [body]

    def make_request_id(self) -> RequestId:
        """Return a request id that is unique to this process."""
        return RequestId(f"{self.entry_id}-{next(self.counter)}")

    def route(
        self, environ: dict, request_id: RequestId, arrived_at: float
    ) -> tuple[str, str, bytes]:
        """Return status, content type and body, or raise Refusal."""
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if method == "POST" and path == "/v1/search":
            request = read_body(environ, SearchRequest)
            call = self.make_call(environ, request_id, request.deadline_ms, arrived_at)
            return make_ok(self.search(call, request))
        if path.startswith((BOOKINGS_PATH, "/v1/writers")):
            return make_ok(self.route_booking(environ, request_id, arrived_at))
        if method == "GET" and path in self.pages:
            return make_ok(self.pages[path](environ))
        raise make_not_found(method, path)

    def route_booking(
        self, environ: dict, request_id: RequestId, arrived_at: float
    ) -> BookingAnswer | BookingStatus | WriterAnswer:
        """Return the answer of the booking desk, or raise Refusal."""
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if method == "POST" and path == BOOKINGS_PATH:
            key = get_idempotency_key(environ)
            booking = read_body(environ, BookingRequest)
            call = self.make_call(environ, request_id, booking.deadline_ms, arrived_at)
            return self.bookings.book(call, key, booking)
        if method == "POST" and path == "/v1/writers":
            self.make_call(environ, request_id, None, arrived_at)
            return self.bookings.issue_writer()
        if method in ("GET", "DELETE") and path.startswith(f"{BOOKINGS_PATH}/"):
            key = IdempotencyKey(path.removeprefix(f"{BOOKINGS_PATH}/"))
            call = self.make_call(environ, request_id, None, arrived_at)
            desk = self.bookings
            return (desk.look_up if method == "GET" else desk.close)(call, key)
        raise make_not_found(method, path)

    def make_call(
        self,
        environ: dict,
        request_id: RequestId,
        deadline_ms: int | None,
        arrived_at: float,
    ) -> CallerRequest:
        """Pin the configuration, name the caller and fix the deadline.

        The deadline counts from the arrival of the headers, also when they
        waited in the buffers of a process that was stopped.
        """
        pinned = self.store.current
        if pinned is None:
            raise Refusal(
                ProblemKind.NOT_READY,
                "the entry has no configuration yet",
                "use another entry of the address list",
                retry_after_ms=1_000,
            )
        caller = CallerName(environ.get("HTTP_X_CALLER", ""))
        if caller not in pinned.configuration.callers:
            raise Refusal(
                ProblemKind.UNKNOWN_CALLER,
                f"the caller {caller!r} is not in the configuration",
                "send a published caller's name in the X-Caller header",
            )
        policy = pinned.configuration.policy
        budget_ms = min(
            deadline_ms or policy.default_deadline_ms, policy.max_deadline_ms
        )
        deadline_at = arrived_at + budget_ms / 1_000
        if self.clock.now() >= deadline_at:
            raise Refusal(
                ProblemKind.DEADLINE_EXPIRED,
                f"the deadline of {budget_ms} ms passed before the request was read "
                "whole",
                "send the whole request at once, or allow a longer deadline_ms",
            )
        return CallerRequest(request_id, caller, pinned, deadline_at)


def is_token(text: str, max_length: int) -> bool:
    """Tell whether a header's value is printable ASCII of 1 to `max_length`."""
    return 0 < len(text) <= max_length and text.isascii() and text.isprintable()


def make_not_found(method: str, path: str) -> Refusal:
    """Return the refusal of a path that does not exist."""
    return Refusal(
        ProblemKind.NOT_FOUND,
        f"{method} {path} is not part of the interface",
        "use a path of the reference, such as POST /v1/search",
    )


def make_request_id_refusal(given: str) -> Refusal:
    """Return the refusal of an unusable X-Request-Id header."""
    return Refusal(
        ProblemKind.BAD_REQUEST,
        f"the X-Request-Id header has {len(given)} characters or unprintable ones; "
        f"1 to {MAX_REQUEST_ID_LENGTH} printable ASCII characters are allowed",
        "send a shorter plain id, or none",
    )


def get_idempotency_key(environ: dict) -> IdempotencyKey:
    """Return the Idempotency-Key header, or raise Refusal."""
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if not is_token(key, MAX_KEY_LENGTH):
        raise Refusal(
            ProblemKind.BAD_REQUEST,
            f"the Idempotency-Key header is not 1 to {MAX_KEY_LENGTH} printable "
            "ASCII characters",
            "send a key that is unique to the booking and the same on its retries",
        )
    return IdempotencyKey(key)


def get_refusal_headers(refusal: Refusal) -> list[tuple[str, str]]:
    """Return the headers that tell a caller when and where to come back."""
    headers = []
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", str(refusal.retry_after_s)))
    if refusal.ends_connection:
        headers.append(("Connection", "close"))
    return headers


def make_internal() -> Refusal:
    """Return the refusal of a request on which this process failed."""
    return Refusal(
        ProblemKind.INTERNAL,
        "the entry failed on this request",
        "report the request id to the operators",
        ran=Ran.UNKNOWN,
        ends_connection=True,
    )


def make_refused(refusal: Refusal, request_id: RequestId) -> tuple[str, str, bytes]:
    """Return status, content type and body of a refusal."""
    body = msgspec.json.encode(refusal.make_problem(request_id))
    return STATUSES[refusal.kind], PROBLEM_JSON, body


def make_ok(answer: object) -> tuple[str, str, bytes]:
    """Return a 200 with the answer; a (type, bytes) pair passes unchanged."""
    if isinstance(answer, tuple):
        return ("200 OK", *answer)
    return "200 OK", JSON, msgspec.json.encode(answer)
