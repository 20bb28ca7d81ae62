"""The WSGI application that answers the HTTP requests of callers."""

import itertools
import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

import msgspec

from ..core.common.clock import Clock
from ..core.common.outcomes import Ran
from ..core.published.versions import AcceptedConfiguration, ConfigurationStore
from ..core.search.messages import (
    BookingAnswer,
    BookingRequest,
    BookingStatus,
    SearchAnswer,
    SearchRequest,
    WriterAnswer,
)
from ..exceptions import CallerLeftError, StopReached
from ..ids import CallerName, EntryId, IdempotencyKey, RequestId
from ..logs import log_event
from ..monitoring import DecisionLog, RequestLedger
from ..monitoring.requests import ANSWERED, CANCELLED
from .bodies import read_body
from .problems import (
    PROBLEM_JSON,
    STATUSES,
    ProblemKind,
    Refusal,
    make_stop_refusal,
)

JSON = "application/json"
MAX_REQUEST_ID_LENGTH = 100
MAX_KEY_LENGTH = 200
BOOKINGS_PATH = "/v1/bookings"
RECEIVE_AGE_KEY = "sesameplank.receive_age_s"
REQUEST_ID_KEY = "sesameplank.request_id"
HAS_LEFT_KEY = "sesameplank.has_left"


class CallerContext(msgspec.Struct, frozen=True):
    """The context of a caller's request: its id, caller, configuration and deadline.

    `pinned` is the configuration that was current when the request was read.
    `deadline_at` is in seconds of the process's clock. `has_left` returns whether the
    caller has closed its connection.
    """

    request_id: RequestId
    caller: CallerName
    pinned: AcceptedConfiguration
    deadline_at: float
    has_left: Callable[[], bool] = lambda: False


SearchHandler = Callable[[CallerContext, SearchRequest], SearchAnswer]
PageHandler = Callable[[dict], object]


class BookingHandler(ABC):
    """Interface for handling bookings.

    Each method returns a typed answer or raises Refusal.
    """

    @abstractmethod
    def issue_writer(self) -> WriterAnswer:
        """Return a new writer id."""

    @abstractmethod
    def book(
        self, call: CallerContext, text: IdempotencyKey, request: BookingRequest
    ) -> BookingAnswer:
        """Return the result of a booking."""

    @abstractmethod
    def look_up(self, call: CallerContext, text: IdempotencyKey) -> BookingStatus:
        """Return the known status of an idempotency key."""

    @abstractmethod
    def close(self, call: CallerContext, text: IdempotencyKey) -> BookingStatus:
        """Close a key and return its status.

        A key that has not run when it is closed never runs.
        """


class CallersApp:
    """Routes the HTTP requests of callers to the handlers passed in.

    `search` and the methods of `bookings` return a typed answer or raise
    Refusal. `pages` maps the paths of GET requests to callables that return a
    typed answer, or a pair of content type and bytes. `get_latest_deadline`
    returns the time by which every request has to end, which a stop sets.
    """

    def __init__(
        self,
        entry_id: EntryId,
        store: ConfigurationStore,
        clock: Clock,
        search: SearchHandler,
        bookings: BookingHandler,
        pages: dict[str, PageHandler],
        ledger: RequestLedger | None = None,
        get_latest_deadline: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.entry_id = entry_id
        self.store = store
        self.clock = clock
        self.search = search
        self.bookings = bookings
        self.pages = pages
        self.ledger = ledger or RequestLedger(clock, DecisionLog(clock), math.inf)
        self.get_latest_deadline = get_latest_deadline
        self.counter = itertools.count(1)

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one HTTP request."""
        arrived_at = self.clock.now() - environ.get(RECEIVE_AGE_KEY, 0.0)
        supplied_id = environ.get("HTTP_X_REQUEST_ID", "")
        is_usable = is_printable_ascii(supplied_id, MAX_REQUEST_ID_LENGTH)
        request_id = RequestId(supplied_id) if is_usable else self.make_request_id()
        environ[REQUEST_ID_KEY] = request_id
        headers = []
        caller = environ.get("HTTP_X_CALLER", "")
        record = self.ledger.begin(request_id, caller, environ["PATH_INFO"])
        outcome, detail = ANSWERED, ""
        try:
            if supplied_id and not is_usable:
                raise make_request_id_refusal(supplied_id)
            status, content_type, body = self.route(environ, request_id, arrived_at)
        except Refusal as refusal:
            status, content_type, body = make_refusal_response(refusal, request_id)
            headers = get_refusal_headers(refusal)
            outcome, detail = refusal.kind.value, refusal.detail
        except CallerLeftError:
            outcome = CANCELLED
            return self.end_without_answer(start_response)
        except StopReached:  # The handlers answer it more exactly.
            refusal = make_stop_refusal(Ran.UNKNOWN)
            status, content_type, body = make_refusal_response(refusal, request_id)
            headers = get_refusal_headers(refusal)
            outcome, detail = refusal.kind.value, refusal.detail
        except Exception as error:  # Answer the caller even after an internal error.
            log_event("internal_error", request_id=request_id, error=repr(error))
            status, content_type, body = make_refusal_response(
                make_internal_refusal(), request_id
            )
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

    def end_without_answer(self, start_response: Callable) -> Iterable[bytes]:
        """End a request whose caller has left; nobody reads the response."""
        start_response(
            STATUSES[ProblemKind.REQUEST_TIMEOUT],
            [("Content-Length", "0"), ("Connection", "close")],
        )
        return [b""]

    def make_request_id(self) -> RequestId:
        """Return a request id that is unique to this process."""
        return RequestId(f"{self.entry_id}-{next(self.counter)}")

    def route(
        self, environ: dict, request_id: RequestId, arrived_at: float
    ) -> tuple[str, str, bytes]:
        """Return the status, content type and body, or raise Refusal."""
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if method == "POST" and path == "/v1/search":
            request = read_body(environ, SearchRequest)
            call = self.make_caller_context(
                environ, request_id, request.deadline_ms, arrived_at
            )
            return make_ok_response(self.search(call, request))
        if path.startswith((BOOKINGS_PATH, "/v1/writers")):
            return make_ok_response(self.route_booking(environ, request_id, arrived_at))
        if method == "GET" and path in self.pages:
            return make_ok_response(self.pages[path](environ))
        raise make_not_found_refusal(method, path)

    def route_booking(
        self, environ: dict, request_id: RequestId, arrived_at: float
    ) -> BookingAnswer | BookingStatus | WriterAnswer:
        """Return the answer of the booking handler, or raise Refusal."""
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if method == "POST" and path == BOOKINGS_PATH:
            key = get_idempotency_key(environ)
            booking = read_body(environ, BookingRequest)
            call = self.make_caller_context(
                environ, request_id, booking.deadline_ms, arrived_at
            )
            return self.bookings.book(call, key, booking)
        if method == "POST" and path == "/v1/writers":
            self.make_caller_context(environ, request_id, None, arrived_at)
            return self.bookings.issue_writer()
        if method in ("GET", "DELETE") and path.startswith(f"{BOOKINGS_PATH}/"):
            key = IdempotencyKey(path.removeprefix(f"{BOOKINGS_PATH}/"))
            call = self.make_caller_context(environ, request_id, None, arrived_at)
            handler = self.bookings
            return (handler.look_up if method == "GET" else handler.close)(call, key)
        raise make_not_found_refusal(method, path)

    def make_caller_context(
        self,
        environ: dict,
        request_id: RequestId,
        deadline_ms: int | None,
        arrived_at: float,
    ) -> CallerContext:
        """Return the context of a request, or raise Refusal.

        The current configuration is pinned. The deadline counts from the arrival
        of the headers, including the time that they waited in the socket buffer
        of a suspended process.
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
                f"the deadline of {budget_ms} ms passed before the request "
                "was read whole",
                "send the whole request at once, or allow a longer deadline_ms",
            )
        deadline_at = min(deadline_at, self.get_latest_deadline())
        has_left = environ.get(HAS_LEFT_KEY, lambda: False)
        return CallerContext(request_id, caller, pinned, deadline_at, has_left)


def is_printable_ascii(text: str, max_length: int) -> bool:
    """Return whether a value has 1 to `max_length` characters of printable ASCII."""
    return 0 < len(text) <= max_length and text.isascii() and text.isprintable()


def make_not_found_refusal(method: str, path: str) -> Refusal:
    """Return the refusal of a request for an unknown path or method."""
    return Refusal(
        ProblemKind.NOT_FOUND,
        f"{method} {path} is not part of the interface",
        "use a path of the reference, such as POST /v1/search",
    )


def make_request_id_refusal(supplied_id: str) -> Refusal:
    """Return the refusal of a request whose X-Request-Id header is unusable."""
    return Refusal(
        ProblemKind.BAD_REQUEST,
        f"the X-Request-Id header has {len(supplied_id)} characters or "
        f"unprintable ones; 1 to {MAX_REQUEST_ID_LENGTH} printable ASCII "
        "characters are allowed",
        "send a shorter plain id, or none",
    )


def get_idempotency_key(environ: dict) -> IdempotencyKey:
    """Return the Idempotency-Key header, or raise Refusal."""
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if not is_printable_ascii(key, MAX_KEY_LENGTH):
        raise Refusal(
            ProblemKind.BAD_REQUEST,
            f"the Idempotency-Key header is not 1 to {MAX_KEY_LENGTH} printable "
            "ASCII characters",
            "send a key that is unique to the booking and the same on its retries",
        )
    return IdempotencyKey(key)


def get_refusal_headers(refusal: Refusal) -> list[tuple[str, str]]:
    """Return the Retry-After and Connection headers that a refusal needs."""
    headers = []
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", str(refusal.retry_after_s)))
    if refusal.ends_connection:
        headers.append(("Connection", "close"))
    return headers


def make_internal_refusal() -> Refusal:
    """Return the refusal of a request whose handling raised an unexpected error."""
    return Refusal(
        ProblemKind.INTERNAL,
        "the entry failed on this request",
        "report the request id to the operators",
        ran=Ran.UNKNOWN,
        ends_connection=True,
    )


def make_refusal_response(
    refusal: Refusal, request_id: RequestId
) -> tuple[str, str, bytes]:
    """Return the status, content type and body of a refusal."""
    body = msgspec.json.encode(refusal.make_problem(request_id))
    return STATUSES[refusal.kind], PROBLEM_JSON, body


def make_ok_response(answer: object) -> tuple[str, str, bytes]:
    """Return the status, content type and body of a 200 response.

    A pair of content type and bytes is returned without encoding; any other
    answer is encoded as JSON.
    """
    if isinstance(answer, tuple):
        return ("200 OK", *answer)
    return "200 OK", JSON, msgspec.json.encode(answer)
