"""Problem details (RFC 9457) that also state whether the request was executed."""

import math
from enum import Enum

import msgspec

from ..core.common.outcomes import Ran

PROBLEM_JSON = "application/problem+json"


class ProblemKind(Enum):
    """The kinds of refusal; the value is the last part of the problem's type URI."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_CALLER = "unknown-caller"
    UNKNOWN_COLLECTION = "unknown-collection"
    NOT_FOUND = "not-found"
    TOO_LARGE = "too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    REQUEST_TIMEOUT = "request-timeout"
    DEADLINE_EXPIRED = "deadline-expired"
    NOT_READY = "not-ready"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    LOW_COVERAGE = "low-coverage"
    SNAPSHOT_UNAVAILABLE = "snapshot-unavailable"
    OUTCOME_UNKNOWN = "outcome-unknown"
    TARGET_UNAVAILABLE = "target-unavailable"
    KEY_CONFLICT = "key-conflict"
    KEY_CLOSED = "key-closed"
    WRITER_REQUIRED = "writer-required"
    WRITER_CLOSED = "writer-closed"
    ISSUER_GONE = "issuer-gone"
    INTERNAL = "internal"


STATUSES = {
    ProblemKind.BAD_REQUEST: "400 Bad Request",
    ProblemKind.UNKNOWN_CALLER: "403 Forbidden",
    ProblemKind.UNKNOWN_COLLECTION: "404 Not Found",
    ProblemKind.NOT_FOUND: "404 Not Found",
    ProblemKind.TOO_LARGE: "413 Content Too Large",
    ProblemKind.HEADERS_TOO_LARGE: "431 Request Header Fields Too Large",
    ProblemKind.REQUEST_TIMEOUT: "408 Request Timeout",
    ProblemKind.DEADLINE_EXPIRED: "504 Gateway Timeout",
    ProblemKind.NOT_READY: "503 Service Unavailable",
    ProblemKind.OVERLOADED: "503 Service Unavailable",
    ProblemKind.LEAVING: "503 Service Unavailable",
    ProblemKind.LOW_COVERAGE: "503 Service Unavailable",
    ProblemKind.SNAPSHOT_UNAVAILABLE: "503 Service Unavailable",
    ProblemKind.OUTCOME_UNKNOWN: "504 Gateway Timeout",
    ProblemKind.TARGET_UNAVAILABLE: "503 Service Unavailable",
    ProblemKind.KEY_CONFLICT: "409 Conflict",
    ProblemKind.KEY_CLOSED: "409 Conflict",
    ProblemKind.WRITER_REQUIRED: "400 Bad Request",
    ProblemKind.WRITER_CLOSED: "409 Conflict",
    ProblemKind.ISSUER_GONE: "504 Gateway Timeout",
    ProblemKind.INTERNAL: "500 Internal Server Error",
}


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """The JSON form of a refusal.

    `retry_after_ms` is the time in milliseconds after which the caller may retry.
    """

    type: str
    title: str
    status: int
    detail: str
    ran: Ran
    remedy: str
    request_id: str = ""
    retry_after_ms: int | None = None


class Refusal(Exception):  # noqa: N818 - it is a response, not an error.
    """Raised to answer a caller with a problem document.

    `ran` is NOT_RUN only if no target can have executed the request. With
    `ends_connection`, the connection is closed after the response, since the
    remaining bytes on it may not be a valid request.
    """

    def __init__(
        self,
        kind: ProblemKind,
        detail: str,
        remedy: str,
        *,
        ran: Ran = Ran.NOT_RUN,
        retry_after_ms: int | None = None,
        ends_connection: bool = False,
    ) -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        self.remedy = remedy
        self.ran = ran
        self.retry_after_ms = retry_after_ms
        self.ends_connection = ends_connection

    @classmethod
    def from_problem(cls, problem: Problem) -> "Refusal":
        """Return the refusal that a problem document of another entry describes."""
        return cls(
            ProblemKind(problem.type.rpartition(":")[2]),
            problem.detail,
            problem.remedy,
            ran=problem.ran,
            retry_after_ms=problem.retry_after_ms,
        )

    @property
    def retry_after_s(self) -> int | None:
        """The time after which to retry in whole seconds, at least 1, or None."""
        if self.retry_after_ms is None:
            return None
        return max(1, math.ceil(self.retry_after_ms / 1_000))

    def make_problem(self, request_id: str) -> Problem:
        """Return the refusal as a problem document."""
        return Problem(
            type=f"urn:sesameplank:problem:{self.kind.value}",
            title=self.kind.value.replace("-", " ").capitalize(),
            status=int(STATUSES[self.kind].split()[0]),
            detail=self.detail,
            ran=self.ran,
            remedy=self.remedy,
            request_id=request_id,
            retry_after_ms=self.retry_after_ms,
        )


def make_stop_refusal(ran: Ran = Ran.NOT_RUN) -> Refusal:
    """Return the refusal of a request that a stop cut off, by default while read."""
    return Refusal(
        ProblemKind.LEAVING,
        "the entry stops and has not finished the request in the time left",
        "ask any other entry of a fresh address list",
        ran=ran,
        retry_after_ms=0,
        ends_connection=True,
    )
