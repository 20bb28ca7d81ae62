"""Translation between the platform's HTTP headers and the forwarder's types."""

import re
from collections.abc import Iterable
from functools import lru_cache

from ..core.forwarding.placement import LoadReport
from ..core.limits.target_limits import LimitNews, LimitStatement, UnreadableLimit
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
ANSWERING_TARGET = b"X-Instance-Id"
TARGET_LOAD = b"X-Server-Load"
TARGET_LIMIT = b"Server-Limit"
NOT_RUN = b"X-Not-Executed"
RETRY_AFTER = b"Retry-After"
TARGET_LEAVING = b"Server-Leaving"
PART_SIGNATURES = b"X-Part-Stamps"
MISSING_PARTS = b"X-Missing-Parts"
PER_CALL_HEADERS = frozenset({DEADLINE.lower(), EXPECTED_TARGET.lower()})
MISDIRECTED = 421
UNAVAILABLE = 503
SLOWDOWN_SCALE = 100.0  # Targets report the slowdown in hundredths.
MIN_LOAD_FIELDS = 3
PARSE_CACHE_SIZE = 512
MAX_DIGITS = 15
DECIMAL_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?", re.ASCII)


class PlatformDialect(Dialect):
    """The HTTP headers that the platform's callers and targets use."""

    def read_request_metadata(self, request: Request) -> RequestMetadata:
        """Return the request id and the time limit that the caller gave, if any."""
        request_id = request.get(REQUEST_ID.lower())
        deadline = request.get(DEADLINE.lower())
        timeout_ms = parse_non_negative_int(deadline)
        error = None
        if deadline is not None and timeout_ms is None:
            error = f"{DEADLINE.decode()} is not a number of milliseconds; send digits"
        return RequestMetadata(
            RequestId(request_id) if request_id else None,
            None if timeout_ms is None else timeout_ms / 1_000,
            error,
        )

    def get_forwarded_headers(self, request: Request) -> Headers:
        """Return the caller's end-to-end headers except those set for each call."""
        return request.get_end_to_end(PER_CALL_HEADERS)

    def make_call_headers(self, target: TargetId, remaining_s: float) -> Headers:
        """Return the headers that name the expected target and the remaining time."""
        remaining_ms = max(1, int(remaining_s * 1_000))
        return [
            (DEADLINE, b"%d" % remaining_ms),
            (EXPECTED_TARGET, target.encode("latin-1")),
        ]

    def read_response_metadata(self, response: Response) -> ResponseMetadata:
        """Return what the response says besides the target's answer."""
        request_id = response.get(REQUEST_ID.lower())
        return ResponseMetadata(
            RequestId(request_id) if request_id else None,
            parse_idle_timeout_s(response.get(b"keep-alive")),
            read_limit(response),
            is_leaving=is_leaving(response),
            pause_s=read_pause_s(response),
            not_run=is_not_run(response),
        )

    def read_answer(self, response: Response) -> TargetAnswer:
        """Return the target's answer as its status and headers describe it."""
        is_misdirected = response.status == MISDIRECTED
        encoding = response.get(b"content-encoding")
        answered_by = response.get(ANSWERING_TARGET.lower())
        return TargetAnswer(
            status=response.status,
            not_run=is_not_run(response),
            is_other_target=is_misdirected,
            signature=response.get(SIGNATURE.lower()),
            is_usable=encoding in (None, "identity"),
            load=parse_load(response.get(TARGET_LOAD.lower())),
            answered_by=TargetId(answered_by) if answered_by else None,
        )

    def make_merged_headers(
        self, request_id: RequestId, signatures: Iterable[str], missing: int
    ) -> Headers:
        """Return the headers with the signatures and the number of missing shards."""
        return [
            (REQUEST_ID, request_id.encode("latin-1")),
            (PART_SIGNATURES, ", ".join(signatures).encode("latin-1")),
            (MISSING_PARTS, b"%d" % missing),
        ]

    def make_refusal_headers(
        self, request_id: RequestId | None, retry_after_s: float | None
    ) -> Headers:
        """Return the headers with the request id and, if given, `Retry-After`."""
        headers: Headers = []
        if request_id is not None:
            headers.append((REQUEST_ID, request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, b"%.3f" % retry_after_s))
        return headers


def parse_non_negative_int(text: str | None) -> int | None:
    """Return the non-negative integer that the text holds, or None.

    A number of more than MAX_DIGITS digits is not accepted.
    """
    digits = (text or "").strip()
    if len(digits) > MAX_DIGITS or not digits.isdecimal():
        return None
    return int(digits)


@lru_cache(PARSE_CACHE_SIZE)
def parse_idle_timeout_s(text: str | None) -> float | None:
    """Return the seconds N of a `Keep-Alive: timeout=N` header value, or None."""
    for item in (text or "").split(","):
        name, _, value = item.strip().partition("=")
        seconds = parse_non_negative_int(value)
        if name.lower() == "timeout" and seconds is not None:
            return float(seconds)
    return None


@lru_cache(PARSE_CACHE_SIZE)
def parse_load(text: str | None) -> LoadReport | None:
    """Return the load that a target reports, or None if it is missing or malformed.

    The comma-separated fields are the numbers of running calls, waiting calls and
    slots, and optionally the slowdown: the service time in hundredths of the
    usual one.
    """
    fields = [parse_non_negative_int(item) for item in (text or "").split(",")]
    if len(fields) < MIN_LOAD_FIELDS or None in fields:
        return None
    slowdown = fields[3] / SLOWDOWN_SCALE if len(fields) > MIN_LOAD_FIELDS else 1.0
    return LoadReport(fields[0], fields[1], fields[2], slowdown)


def is_not_run(response: Response) -> bool:
    """Return whether a response says that no target ran the request."""
    is_misdirected = response.status == MISDIRECTED
    return is_misdirected or response.get(NOT_RUN.lower()) is not None


def is_leaving(response: Response) -> bool:
    """Return whether a response says that its target leaves, not that another does."""
    if response.status == MISDIRECTED:
        return False
    return (response.get(TARGET_LEAVING.lower()) or "").strip() == "1"


def read_pause_s(response: Response) -> float | None:
    """Return for how many seconds a target wants no requests, or None.

    Only a refusal says so. Anything but one decimal number is ignored, also a date.
    """
    name = RETRY_AFTER.lower()
    if response.status != UNAVAILABLE or name not in response.first_values:
        return None
    values = [value for key, value in response.headers if key.lower() == name]
    text = values[0].decode("latin-1").strip()
    if len(values) > 1 or not DECIMAL_NUMBER.fullmatch(text):
        return None
    return float(text)


def read_limit(response: Response) -> LimitStatement | None:
    """Return what a response says of the target's rate limit.

    Return None for another target's response.
    """
    name = TARGET_LIMIT.lower()
    if response.status == MISDIRECTED:
        return None
    if name not in response.first_values:
        return LimitNews(None)
    values = [value for key, value in response.headers if key.lower() == name]
    if len(values) > 1:
        return UnreadableLimit("stated more than once")
    text = values[0].decode("latin-1").strip()
    if not DECIMAL_NUMBER.fullmatch(text):
        return UnreadableLimit("not a decimal number")
    return LimitNews(float(text))
