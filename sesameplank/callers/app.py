"""The WSGI application that callers talk to."""

import itertools
import math
from collections.abc import Callable, Iterable

import msgspec

from ..core.clock import Clock
from ..core.messages import BookingAnswer, BookingRequest, SearchAnswer, SearchRequest
from ..core.outcomes import Ran
from ..core.versions import AcceptedConfiguration, ConfigurationStore
from ..ids import CallerName, EntryId, IdempotencyKey, RequestId
from ..logs import log_event
from .bodies import read_body
from .problems import STATUSES, ProblemKind, Refusal

JSON = "application/json"
PROBLEM_JSON = "application/problem+json"
MAX_REQUEST_ID_LENGTH = 100
MAX_KEY_LENGTH = 200


class CallerRequest(msgspec.Struct, frozen=True):
    """What every call carries: its id, caller, configuration and deadline."""

    request_id: RequestId
    caller: CallerName
    pinned: AcceptedConfiguration
    deadline_at: float


Searcher = Callable[[CallerRequest, SearchRequest], SearchAnswer]
Booker = Callable[[CallerRequest, IdempotencyKey, BookingRequest], BookingAnswer]
Page = Callable[[dict], object]


class CallersApp:
    """Routes HTTP requests; handlers are passed in.

    `search` and `book` return a typed answer or raise Refusal. `pages` maps
    the paths of GET requests to callables that return a typed answer, or bytes
    with their content type.
    """

    def __init__(
        self,
        entry_id: EntryId,
        store: ConfigurationStore,
        clock: Clock,
        search: Searcher,
        book: Booker,
        pages: dict[str, Page],
    ) -> None:
        self.entry_id = entry_id
        self.store = store
        self.clock = clock
        self.search = search
        self.book = book
        self.pages = pages
        self.counter = itertools.count(1)

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one HTTP request."""
        request_id = self.get_request_id(environ)
        try:
            status, content_type, body = self.route(environ, request_id)
            headers = []
        except Refusal as refusal:
            status = STATUSES[refusal.kind]
            content_type = PROBLEM_JSON
            body = msgspec.json.encode(refusal.make_problem(request_id))
            headers = get_retry_header(refusal)
            if environ.get("wsgi.input") is not None and refusal.kind in (
                ProblemKind.TOO_LARGE,
                ProblemKind.BAD_REQUEST,
            ):
                headers.append(("Connection", "close"))
        except Exception as error:  # A fault of ours must still be answered.
            log_event("internal_error", request_id=request_id, error=repr(error))
            refusal = Refusal(
                ProblemKind.INTERNAL,
                "the entry failed on this request",
                "report the request id to the operators",
                ran=Ran.UNKNOWN,
            )
            status = STATUSES[refusal.kind]
            content_type = PROBLEM_JSON
            body = msgspec.json.encode(refusal.make_problem(request_id))
            headers = []
        headers += [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            ("X-Request-Id", request_id),
        ]
        start_response(status, headers)
        return [body]

    def get_request_id(self, environ: dict) -> RequestId:
        """Return the caller's request id, or a new one."""
        given = environ.get("HTTP_X_REQUEST_ID", "")
        if given and len(given) <= MAX_REQUEST_ID_LENGTH and given.isprintable():
            return RequestId(given)
        return RequestId(f"{self.entry_id}-{next(self.counter)}")

    def route(self, environ: dict, request_id: RequestId) -> tuple[str, str, bytes]:
        """Return status, content type and body, or raise Refusal."""
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if method == "POST" and path == "/v1/search":
            request = read_body(environ, SearchRequest)
            call = self.make_call(environ, request_id, request.deadline_ms)
            return make_ok(self.search(call, request))
        if method == "POST" and path == "/v1/bookings":
            key = get_idempotency_key(environ)
            booking = read_body(environ, BookingRequest)
            call = self.make_call(environ, request_id, booking.deadline_ms)
            return make_ok(self.book(call, key, booking))
        if method == "GET" and path in self.pages:
            return make_ok(self.pages[path](environ))
        raise Refusal(
            ProblemKind.NOT_FOUND,
            f"{method} {path} is not part of the interface",
            "use a path of the reference, such as POST /v1/search",
        )

    def make_call(
        self, environ: dict, request_id: RequestId, deadline_ms: int | None
    ) -> CallerRequest:
        """Pin the configuration, name the caller and fix the deadline."""
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
        deadline_at = self.clock.now() + budget_ms / 1_000
        return CallerRequest(request_id, caller, pinned, deadline_at)


def get_idempotency_key(environ: dict) -> IdempotencyKey:
    """Return the Idempotency-Key header, or raise Refusal."""
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if not key or len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise Refusal(
            ProblemKind.BAD_REQUEST,
            f"the Idempotency-Key header has {len(key)} usable characters, "
            f"not 1 to {MAX_KEY_LENGTH}",
            "send a key that is unique to the booking and the same on its retries",
        )
    return IdempotencyKey(key)


def get_retry_header(refusal: Refusal) -> list[tuple[str, str]]:
    """Return a Retry-After header in whole seconds where it helps."""
    if refusal.retry_after_ms is None:
        return []
    return [("Retry-After", str(max(1, math.ceil(refusal.retry_after_ms / 1_000))))]


def make_ok(answer: object) -> tuple[str, str, bytes]:
    """Return a 200 with the answer; a (type, bytes) pair passes unchanged."""
    if isinstance(answer, tuple):
        return ("200 OK", *answer)
    return "200 OK", JSON, msgspec.json.encode(answer)
