"""The platform's headers, translated from and to the forwarder's types."""

from collections.abc import Iterable
from functools import lru_cache

from ..core.placement import LoadReport
from ..forwarding.dialect import (
    Dialect,
    RequestMetadata,
    ResponseMetadata,
    TargetAnswer,
)
from ..forwarding.http_messages import Headers, Request, Response
from ..ids import RequestId, TargetId

REQUEST_ID = b"X-Request-Id"
DEADLINE = b"X-Deadline-Ms"
SIGNATURE = b"X-Server-Stamp"
EXPECTED_TARGET = b"X-Expect-Instance"
TARGET_LOAD = b"X-Server-Load"
NOT_RUN = b"X-Not-Executed"
RETRY_AFTER = b"Retry-After"
PART_SIGNATURES = b"X-Part-Stamps"
MISSING_PARTS = b"X-Missing-Parts"
OWN_HEADERS = frozenset({DEADLINE.lower(), EXPECTED_TARGET.lower()})
MISDIRECTED = 421
USUAL_STRETCH = 100.0
LOAD_FIGURES = 3
CACHED_VALUES = 512


class PlatformDialect(Dialect):
    """The headers by which the platform's callers and targets speak."""

    def read_request_metadata(self, request: Request) -> RequestMetadata:
        """Return the caller's request id and time limit."""
        request_id = request.get(REQUEST_ID.lower())
        wait_ms = parse_whole(request.get(DEADLINE.lower()))
        return RequestMetadata(
            RequestId(request_id) if request_id else None,
            None if wait_ms is None else wait_ms / 1_000,
        )

    def get_forwarded_headers(self, request: Request) -> Headers:
        """Return the caller's headers, but for those that each call sets anew."""
        return request.get_end_to_end(OWN_HEADERS)

    def make_call_headers(self, target: TargetId, remaining_s: float) -> Headers:
        """Return the target that is meant and the time left."""
        remaining_ms = max(1, int(remaining_s * 1_000))
        return [
            (DEADLINE, b"%d" % remaining_ms),
            (EXPECTED_TARGET, target.encode("latin-1")),
        ]

    def read_response_metadata(self, response: Response) -> ResponseMetadata:
        """Return the id of the request, and the idle time of `Keep-Alive`."""
        request_id = response.get(REQUEST_ID.lower())
        return ResponseMetadata(
            RequestId(request_id) if request_id else None,
            parse_idle_s(response.get(b"keep-alive")),
        )

    def read_answer(self, response: Response) -> TargetAnswer:
        """Return what a target's response says."""
        is_other = response.status == MISDIRECTED
        encoding = response.get(b"content-encoding")
        return TargetAnswer(
            status=response.status,
            not_run=is_other or response.get(NOT_RUN.lower()) is not None,
            is_other_target=is_other,
            signature=response.get(SIGNATURE.lower()),
            is_usable=encoding in (None, "identity"),
            load=parse_load(response.get(TARGET_LOAD.lower())),
        )

    def make_merged_headers(
        self, request_id: RequestId, signatures: Iterable[str], missing: int
    ) -> Headers:
        """Return the signatures of the parts and the number that is missing."""
        return [
            (REQUEST_ID, request_id.encode("latin-1")),
            (PART_SIGNATURES, ", ".join(signatures).encode("latin-1")),
            (MISSING_PARTS, b"%d" % missing),
        ]

    def make_refusal_headers(
        self, request_id: RequestId | None, retry_after_s: float | None
    ) -> Headers:
        """Return the request's id and the seconds until it may come back."""
        headers: Headers = []
        if request_id is not None:
            headers.append((REQUEST_ID, request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, b"%.3f" % retry_after_s))
        return headers


def parse_whole(text: str | None) -> int | None:
    """Return a whole number that is not negative, or None."""
    if text is None or not text.strip().isdecimal():
        return None
    return int(text)


@lru_cache(CACHED_VALUES)
def parse_idle_s(text: str | None) -> float | None:
    """Return the seconds of `Keep-Alive: timeout=N`, or None."""
    for item in (text or "").split(","):
        name, _, value = item.strip().partition("=")
        seconds = parse_whole(value)
        if name.lower() == "timeout" and seconds is not None:
            return float(seconds)
    return None


@lru_cache(CACHED_VALUES)
def parse_load(text: str | None) -> LoadReport | None:
    """Return the load that a target reports, or None if it is unreadable.

    The figures are running and waiting requests, slots, and, if there is a
    fourth, how long work takes in hundredths of the usual.
    """
    figures = [parse_whole(item) for item in (text or "").split(",")]
    if len(figures) < LOAD_FIGURES or None in figures:
        return None
    stretch = figures[3] / USUAL_STRETCH if len(figures) > LOAD_FIGURES else 1.0
    return LoadReport(figures[0], figures[1], figures[2], stretch)
