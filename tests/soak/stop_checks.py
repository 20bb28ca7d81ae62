"""The checks of the scenario "stops".

Each request that a process has read gets a whole answer, a true refusal or a failure
answer, and the process exits with code 0 within the grace time. This is not checked
if the caller left or read too slowly, or if the process was suspended until less than
WAKE_SHARE of the grace time was left.
"""

from collections import Counter
from collections.abc import Iterator
from enum import Enum

from . import checks
from .checks import GRACE_S, NOT_RUN_STATUSES
from .observations import CallerRequest, FaultPeriod, ProcessExit, Record

WAKE_SHARE = 1 / 6
# A process must stop waiting for a slow reader in time to exit.
SLOW_READER_ALLOWANCE_S = 0.5


class Outcome(Enum):
    """What a request got; UNREAD ended before the process had read all of it."""

    WHOLE = "whole"
    REFUSED = "refused"
    FAILED = "failed"
    UNEXPECTED = "unexpected status"
    UNANSWERED = "unanswered"
    TRUNCATED = "truncated"
    EXCUSED = "excused"
    LEFT = "left"
    UNREAD = "unread"


VIOLATIONS = (Outcome.UNEXPECTED, Outcome.UNANSWERED, Outcome.TRUNCATED)
STATUS_OUTCOMES = {
    200: Outcome.WHOLE,
    502: Outcome.FAILED,
    504: Outcome.FAILED,
    **dict.fromkeys(NOT_RUN_STATUSES, Outcome.REFUSED),
}


class Outcomes:
    """Finds the outcomes of the requests in a record."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.reached = {arrival.request_id for arrival in record.arrivals}
        stops = [item for item in record.ended if item.asked_at is not None]
        self.stops = {(item.front, item.incarnation): item for item in stops}

    def get_stop(self, request: CallerRequest) -> ProcessExit | None:
        """Return the stop of the process that got the request, or None."""
        return self.stops.get((request.front, request.incarnation))

    def find(self, request: CallerRequest) -> Outcome:
        """Return the outcome of a request."""
        if request.status:
            return STATUS_OUTCOMES.get(request.status, Outcome.UNEXPECTED)
        if request.left_at < request.ended_at:
            return Outcome.LEFT
        if not request.is_truncated and not self.was_read(request):
            return Outcome.UNREAD
        if self.is_excused(request):
            return Outcome.EXCUSED
        return Outcome.TRUNCATED if request.is_truncated else Outcome.UNANSWERED

    def was_read(self, request: CallerRequest) -> bool:
        """Return whether the process had read the request before the connection ended.

        If no target and no log knows it, this is assumed after UNREAD_REQUEST_S, unless
        the soak itself was late.
        """
        if request.id in self.reached or request.id in self.record.logged_ids:
            return True
        times = request.sent_at, request.ended_at
        return times[1] - times[0] > checks.UNREAD_REQUEST_S and checks.is_fault_free(
            self.record, (request.front,), *times, {"stall"}
        )

    def is_excused(self, request: CallerRequest) -> bool:
        """Return whether the caller was too slow or the process suspended too long."""
        stop = self.get_stop(request)
        if stop is None:
            return False
        last_read_at = stop.asked_at + GRACE_S - SLOW_READER_ALLOWANCE_S
        return min(request.paced_until, request.ended_at) > last_read_at or any(
            period.began_at <= request.ended_at
            for period in find_long_suspensions(self.record, stop)
        )


def find_long_suspensions(record: Record, stop: ProcessExit) -> list[FaultPeriod]:
    """Return the suspensions that left less than WAKE_SHARE of the grace time."""
    ends_at = stop.asked_at + GRACE_S
    return [
        period
        for period in record.troubles
        if (period.kind, period.subject) == ("pause", stop.front)
        and period.began_at < min(ends_at, stop.at)
        and period.ended_at > ends_at - WAKE_SHARE * GRACE_S
    ]


def check_requests(record: Record) -> Iterator[str]:
    """Check that each request that a process had read was answered."""
    outcomes = Outcomes(record)
    for request in record.asked:
        outcome = outcomes.find(request)
        if outcome not in VIOLATIONS:
            continue
        stop = outcomes.get_stop(request)
        since = stop.asked_at if stop else request.sent_at
        reached = "reached" if request.id in outcomes.reached else "did not reach"
        yield (
            f"{request.id}: {outcome.value}, {request.route} at {request.front}, "
            f"{reached} a target, sent at {request.sent_at - since:.2f} s and ended "
            f"at {request.ended_at - since:.2f} s of {'a stop' if stop else 'itself'}"
        )


def check_true_refusals(record: Record) -> Iterator[str]:
    """Check that no request, idempotent or not, ran and was refused as not run."""
    ran = {arrival.request_id for arrival in record.arrivals if arrival.ran}
    for request in record.asked:
        if request.status in NOT_RUN_STATUSES and request.id in ran:
            yield f"{request.id}: refused with {request.status}, but ran"


def check_exits(record: Record) -> Iterator[str]:
    """Check that processes exit only if asked, with code 0 within the grace time.

    The soak kills them after the grace time, so that their code is not 0.
    """
    for stop in record.ended:
        if stop.asked_at is None:
            yield f"{stop.front}: exited without a stop request, code {stop.code}"
        elif stop.code and not find_long_suspensions(record, stop):
            took_s = stop.at - stop.asked_at
            yield f"{stop.front}: stop took {took_s:.2f} s, code {stop.code}"


STOP_CHECKS: tuple[checks.Check, ...] = (
    check_requests,
    check_true_refusals,
    check_exits,
)


def find_stop_violations(record: Record) -> list[str]:
    """Return the violations in a record of the scenario "stops"."""
    return [
        f"{check.__name__}: {violation}"
        for check in checks.ALWAYS + STOP_CHECKS
        for violation in check(record)
    ]


def count_outcomes(record: Record) -> Counter[tuple[str, str]]:
    """Return the number of requests by caller kind and outcome that ended in a stop."""
    outcomes = Outcomes(record)
    counts: Counter[tuple[str, str]] = Counter()
    for request in record.asked:
        stop = outcomes.get_stop(request)
        if stop and request.ended_at > stop.asked_at:
            counts[request.caller_kind, outcomes.find(request).value] += 1
    return counts
