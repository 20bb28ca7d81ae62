"""Observations of one run, made by callers and by the load tool."""

from enum import Enum

import msgspec

from ..core.search.messages import BookingAnswer, SearchAnswer
from ..ids import Snapshot


class Outcome(Enum):
    """The final outcome of a request, as its caller knows it."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AttemptFailure(msgspec.Struct, frozen=True):
    """One failed attempt of a request, as its caller saw it.

    `address` is that of the called entry, and `at` is a monotonic time in seconds.
    `cause` is the type of the underlying error, or empty if the entry refused the
    request.
    """

    address: str
    at: float
    kind: str
    cause: str = ""


class Observation(msgspec.Struct):
    """The result of one arrival, as its caller observed it.

    `late_ms` is the time from the due time to the sending of the request.
    `latency_ms` is measured from the due time, so that it includes the waiting
    time if the generator is late (coordinated omission). `at_least` is the
    newest snapshot that the caller had seen when it sent the request; the answer
    must not be older.
    """

    index: int
    late_ms: float
    latency_ms: float
    outcome: Outcome
    kind: str = ""
    answered_by: str = ""
    at_least: Snapshot = Snapshot(0)
    answer: SearchAnswer | None = None
    booking: BookingAnswer | None = None
    failures: tuple[AttemptFailure, ...] = ()


class WorkerReport(msgspec.Struct):
    """The observations of one generator process, and its processor time in seconds."""

    observations: list[Observation]
    processor_s: float


class VersionObservation(msgspec.Struct, frozen=True):
    """A configuration version that an entry reported.

    The request was sent at `begun_at` and answered by `ended_at`, both in
    monotonic seconds.
    """

    entry: str
    begun_at: float
    ended_at: float
    version: int
