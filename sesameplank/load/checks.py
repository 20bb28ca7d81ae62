"""Checks of a run against the stand-ins' ground truth.

Each `count_...` function returns how often a run of the load tool broke one rule.
An execution is one run of a booking, as a ledger of the stand-ins records it.
"""

from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec

from ..core.search.ranges import KEY_SPACE, KeyRange, get_position
from ..ids import CollectionName, RequestId
from ..standins.control import Truth
from ..standins.store import ExecutedBooking
from .arrivals import Arrival, BookedStock
from .observations import Observation, Outcome, VersionObservation
from .replay import Replay

CONFIG_PROPAGATION_LIMIT_S = 6.0
NO_ANSWER = "no-answer"
TIMEOUT_CAUSE = "Timeout"
REFUSED_CAUSE = "ConnectionRefusedError"


class Violations(msgspec.Struct):
    """The number of times that a run broke each rule."""

    mixed_snapshot: int = 0
    false_coverage: int = 0
    wrong_answer: int = 0
    false_not_run: int = 0
    doubled_booking: int = 0
    lost_booking: int = 0
    work_after_leaving: int = 0
    cut_off_in_flight: int = 0
    config_reverted: int = 0
    connection_limit: int = 0

    @property
    def total(self) -> int:
        """The sum of all counts."""
        return sum(msgspec.structs.astuple(self))


class RunData(msgspec.Struct):
    """The input of the checks of one run.

    `faulted_addresses` holds the addresses of entries that the scenario killed or
    paused; a broken connection to any other entry is a fault of that entry.
    """

    arrivals: Sequence[Arrival]
    observations: Sequence[Observation]
    truth: Truth
    version_observations: Sequence[VersionObservation] = ()
    faulted_addresses: frozenset[str] = frozenset()


def check_run(run_data: RunData) -> Violations:
    """Return the rules that a run broke, and how often."""
    violations = Violations()
    check_answers(run_data, violations)
    violations.false_not_run = count_false_not_run(run_data)
    violations.doubled_booking = count_doubled_bookings(run_data.truth)
    violations.lost_booking = count_lost_bookings(run_data)
    violations.work_after_leaving = sum(
        item.work_after_leaving for item in run_data.truth.targets.values()
    )
    violations.cut_off_in_flight = count_cut_off_attempts(run_data)
    violations.config_reverted = count_reverted_versions(run_data.version_observations)
    violations.connection_limit = sum(
        item.connections_over_limit for item in run_data.truth.targets.values()
    )
    return violations


def check_answers(run_data: RunData, violations: Violations) -> None:
    """Add mixed snapshots, false coverage and wrong answers to the violations."""
    replays = {name: Replay(item) for name, item in run_data.truth.collections.items()}
    for observation in run_data.observations:
        if observation.answer is None:
            continue
        arrival = run_data.arrivals[observation.index]
        checker = AnswerChecker(arrival, observation, replays)
        violations.mixed_snapshot += checker.is_mixed()
        violations.false_coverage += checker.is_coverage_false()
        violations.wrong_answer += checker.is_wrong()


class AnswerChecker:
    """Compares one answer with the records of the snapshot that it names."""

    def __init__(
        self,
        arrival: Arrival,
        observation: Observation,
        replays: dict[CollectionName, Replay],
    ) -> None:
        self.arrival = arrival
        self.at_least = observation.at_least
        self.answer = observation.answer
        self.covered = observation.answer.coverage.covered
        self.replay = replays[arrival.collection]
        self.expected = self.replay.get_expected(
            arrival.search, self.answer.snapshot, self.covered
        )

    def is_mixed(self) -> bool:
        """Return whether a hit is from another snapshot or the answer is too old.

        An answer is too old if its snapshot precedes one that the caller had
        already seen when it sent the request.
        """
        return self.answer.snapshot < self.at_least or any(
            self.replay.was_ever_stored(hit)
            and hit != self.replay.get_value(hit.key, self.answer.snapshot)
            for hit in self.answer.hits
        )

    def is_coverage_false(self) -> bool:
        """Return whether the answer misstates which key ranges were searched.

        A total that is lower than expected also counts as misstated coverage.
        """
        if not is_tiling(
            [*self.covered, *(item.range for item in self.answer.coverage.missing)]
        ):
            return True
        has_hit_outside = any(
            not any(item.contains(get_position(hit.key)) for item in self.covered)
            for hit in self.answer.hits
        )
        return has_hit_outside or self.answer.total < self.expected.total

    def is_wrong(self) -> bool:
        """Return whether the answer does not match this request.

        If the snapshot or the coverage is already wrong, the exact hits cannot be
        compared, and only hits that no snapshot ever held count as wrong.
        """
        if (self.answer.request_id, self.answer.collection) != (
            self.arrival.request_id,
            self.arrival.collection,
        ):
            return True
        if self.answer.total > self.expected.total:
            return True
        if self.is_coverage_false() or self.is_mixed():
            return any(not self.replay.was_ever_stored(hit) for hit in self.answer.hits)
        return self.answer.hits != self.expected.hits


def is_tiling(ranges: Iterable[KeyRange]) -> bool:
    """Return whether the ranges cover the key space without gaps or overlaps."""
    end = 0
    for item in sorted(ranges):
        if item.start != end:
            return False
        end = item.end
    return end == KEY_SPACE


def count_false_not_run(run_data: RunData) -> int:
    """Count requests that a target ran although their outcome is "not run"."""
    searched = get_searched_ids(run_data.truth)
    booked = get_execution_counts(run_data.truth)
    return sum(
        arrival.request_id in searched if arrival.search else arrival.stock in booked
        for observation in run_data.observations
        if observation.outcome is Outcome.NOT_RUN
        for arrival in [run_data.arrivals[observation.index]]
    )


def get_searched_ids(truth: Truth) -> set[RequestId]:
    """Return the callers' request ids of the searches that targets ran.

    The id of a call to a target is the caller's request id, a full stop and a
    number.
    """
    return {
        RequestId(item.partition(".")[0])
        for target in truth.targets.values()
        for item in target.searched
    }


def get_stock(execution: ExecutedBooking) -> BookedStock:
    """Return the stock that an executed booking requested."""
    return BookedStock(execution.collection, execution.record, execution.quantity)


def get_execution_counts(truth: Truth) -> Counter[BookedStock]:
    """Return how often each booking was executed, under any idempotency key."""
    return Counter(
        get_stock(execution)
        for item in truth.collections.values()
        for execution in item.ledger
    )


def count_doubled_bookings(truth: Truth) -> int:
    """Count the executions of each booking after its first."""
    return sum(count - 1 for count in get_execution_counts(truth).values())


def count_lost_bookings(run_data: RunData) -> int:
    """Count bookings whose reported result is not in the ledger."""
    ledger = {
        (get_stock(execution), execution.idempotency_key, execution.result)
        for item in run_data.truth.collections.values()
        for execution in item.ledger
    }
    return sum(
        (
            run_data.arrivals[observation.index].stock,
            observation.booking.idempotency_key,
            observation.booking.result,
        )
        not in ledger
        for observation in run_data.observations
        if observation.booking is not None
    )


def count_cut_off_attempts(run_data: RunData) -> int:
    """Count attempts whose connection broke at an entry without an injected fault.

    Timeouts and refused connections do not count.
    """
    return sum(
        failure.kind == NO_ANSWER
        and failure.cause not in (TIMEOUT_CAUSE, REFUSED_CAUSE)
        and failure.address not in run_data.faulted_addresses
        for observation in run_data.observations
        for failure in observation.failures
    )


def count_reverted_versions(version_observations: Iterable[VersionObservation]) -> int:
    """Count observations of a version older than the one that must be in force.

    A version, or a newer one, must be in force at an entry once that entry has
    reported it, and at every entry `CONFIG_PROPAGATION_LIMIT_S` after any entry has
    reported it.
    """
    by_start = sorted(version_observations, key=lambda item: item.begun_at)
    by_end = sorted(by_start, key=lambda item: item.ended_at)
    reported = VersionFloor(by_end, 0.0)
    propagated = VersionFloor(by_end, CONFIG_PROPAGATION_LIMIT_S)
    reverted = 0
    for observation in by_start:
        reported.advance(observation.begun_at)
        propagated.advance(observation.begun_at)
        floor = max(
            reported.highest_by_entry.get(observation.entry, 0),
            propagated.highest_version,
        )
        reverted += observation.version < floor
    return reverted


class VersionFloor:
    """The highest versions that were reported more than `delay_s` seconds ago.

    `by_end` is sorted by `ended_at`. The current time is that of the last call of
    `advance`.
    """

    def __init__(self, by_end: Sequence[VersionObservation], delay_s: float) -> None:
        self.by_end = by_end
        self.delay_s = delay_s
        self.index = 0
        self.highest_version = 0
        self.highest_by_entry: dict[str, int] = {}

    def advance(self, now: float) -> None:
        """Apply the observations that ended more than `delay_s` before `now`."""
        while (
            self.index < len(self.by_end)
            and self.by_end[self.index].ended_at + self.delay_s < now
        ):
            item = self.by_end[self.index]
            self.highest_version = max(self.highest_version, item.version)
            known = self.highest_by_entry.get(item.entry, 0)
            self.highest_by_entry[item.entry] = max(known, item.version)
            self.index += 1
