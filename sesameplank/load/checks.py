"""Checks of a run against the stand-ins' ground truth.

Each function returns how often its rule was broken.
"""

from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec

from ..core.ranges import KEY_SPACE, KeyRange, get_position
from ..ids import CollectionName, RequestId
from ..standins.control import Truth
from ..standins.store import ExecutedBooking
from .arrivals import Arrival, BookedStock
from .observations import Observation, Outcome, Sighting
from .replay import Replay

CONFIG_SPREAD_S = 6.0
NO_ANSWER = "no-answer"
TIMEOUT_CAUSE = "Timeout"
REFUSED_CAUSE = "ConnectionRefusedError"


class Violations(msgspec.Struct):
    """How often each rule was broken in a run."""

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


class Evidence(msgspec.Struct):
    """All that the checks of one run look at.

    `harmed` are the addresses of entries that the scenario killed or paused;
    a broken connection to any other entry is a fault of that entry.
    """

    arrivals: Sequence[Arrival]
    observations: Sequence[Observation]
    truth: Truth
    sightings: Sequence[Sighting] = ()
    harmed: frozenset[str] = frozenset()


def check_run(evidence: Evidence) -> Violations:
    """Return the violations of a run."""
    violations = Violations()
    check_answers(evidence, violations)
    violations.false_not_run = count_false_not_run(evidence)
    violations.doubled_booking = count_doubled_bookings(evidence.truth)
    violations.lost_booking = count_lost_bookings(evidence)
    violations.work_after_leaving = sum(
        item.work_after_leaving for item in evidence.truth.targets.values()
    )
    violations.cut_off_in_flight = count_cut_off(evidence)
    violations.config_reverted = count_reverted(evidence.sightings)
    violations.connection_limit = sum(
        item.connections_over_limit for item in evidence.truth.targets.values()
    )
    return violations


def check_answers(evidence: Evidence, violations: Violations) -> None:
    """Count mixed snapshots, false coverage and wrong answers."""
    replays = {name: Replay(item) for name, item in evidence.truth.collections.items()}
    for observation in evidence.observations:
        if observation.answer is None:
            continue
        arrival = evidence.arrivals[observation.index]
        judge = AnswerJudge(arrival, observation, replays)
        violations.mixed_snapshot += judge.is_mixed()
        violations.false_coverage += judge.is_coverage_false()
        violations.wrong_answer += judge.is_wrong()


class AnswerJudge:
    """Compares one answer with what its stated snapshot holds."""

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
        """Tell whether a hit is from another snapshot, or the answer too old."""
        return self.answer.snapshot < self.at_least or any(
            self.replay.was_ever(hit)
            and hit != self.replay.get_value(hit.key, self.answer.snapshot)
            for hit in self.answer.hits
        )

    def is_coverage_false(self) -> bool:
        """Tell whether the stated ranges are not the ones searched."""
        if not is_tiling(
            [*self.covered, *(item.range for item in self.answer.coverage.missing)]
        ):
            return True
        stray = any(
            not any(item.contains(get_position(hit.key)) for item in self.covered)
            for hit in self.answer.hits
        )
        return stray or self.answer.total < self.expected.total

    def is_wrong(self) -> bool:
        """Tell whether the answer is not the right one to this request."""
        if (self.answer.request_id, self.answer.collection) != (
            self.arrival.request_id,
            self.arrival.collection,
        ):
            return True
        if self.answer.total > self.expected.total:
            return True
        if self.is_coverage_false() or self.is_mixed():
            return any(not self.replay.was_ever(hit) for hit in self.answer.hits)
        return self.answer.hits != self.expected.hits


def is_tiling(ranges: Iterable[KeyRange]) -> bool:
    """Tell whether the ranges fill the key space without gap or overlap."""
    end = 0
    for item in sorted(ranges):
        if item.start != end:
            return False
        end = item.end
    return end == KEY_SPACE


def count_false_not_run(evidence: Evidence) -> int:
    """Count refusals that say "not run" of requests that a target ran."""
    searched = get_searched_ids(evidence.truth)
    booked = count_runs(evidence.truth)
    return sum(
        arrival.request_id in searched if arrival.search else arrival.stock in booked
        for observation in evidence.observations
        if observation.outcome is Outcome.NOT_RUN
        for arrival in [evidence.arrivals[observation.index]]
    )


def get_searched_ids(truth: Truth) -> set[RequestId]:
    """Return the callers' ids of the searches that targets ran.

    A call to a target carries the caller's id, a full stop and a number.
    """
    return {
        RequestId(item.partition(".")[0])
        for target in truth.targets.values()
        for item in target.searched
    }


def get_stock(run: ExecutedBooking) -> BookedStock:
    """Return what a run booked."""
    return BookedStock(run.collection, run.record, run.quantity)


def count_runs(truth: Truth) -> Counter[BookedStock]:
    """Return how often each booking was run, under whatever keys."""
    return Counter(
        get_stock(run) for item in truth.collections.values() for run in item.ledger
    )


def count_doubled_bookings(truth: Truth) -> int:
    """Count runs of bookings beyond the first of each."""
    return sum(count - 1 for count in count_runs(truth).values())


def count_lost_bookings(evidence: Evidence) -> int:
    """Count bookings whose caller was told a result that the ledger lacks."""
    ledger = {
        (get_stock(run), run.idempotency_key, run.result)
        for item in evidence.truth.collections.values()
        for run in item.ledger
    }
    return sum(
        (
            evidence.arrivals[observation.index].stock,
            observation.booking.idempotency_key,
            observation.booking.result,
        )
        not in ledger
        for observation in evidence.observations
        if observation.booking is not None
    )


def count_cut_off(evidence: Evidence) -> int:
    """Count requests whose connection broke without harm by the scenario."""
    return sum(
        failure.kind == NO_ANSWER
        and failure.cause not in (TIMEOUT_CAUSE, REFUSED_CAUSE)
        and failure.address not in evidence.harmed
        for observation in evidence.observations
        for failure in observation.failures
    )


def count_reverted(sightings: Iterable[Sighting]) -> int:
    """Count sightings of a version older than one that must be in force.

    A version must be in force at an entry once that entry has shown it, and
    everywhere `CONFIG_SPREAD_S` after any entry has shown it.
    """
    by_start = sorted(sightings, key=lambda item: item.begun_at)
    by_end = sorted(by_start, key=lambda item: item.ended_at)
    shown = Floor(by_end, 0.0)
    spread = Floor(by_end, CONFIG_SPREAD_S)
    reverted = 0
    for sighting in by_start:
        shown.advance(sighting.begun_at)
        spread.advance(sighting.begun_at)
        floor = max(shown.by_entry.get(sighting.entry, 0), spread.highest)
        reverted += sighting.version < floor
    return reverted


class Floor:
    """The versions seen by a moment, less a delay in seconds."""

    def __init__(self, by_end: Sequence[Sighting], delay_s: float) -> None:
        self.by_end = by_end
        self.delay_s = delay_s
        self.index = 0
        self.highest = 0
        self.by_entry: dict[str, int] = {}

    def advance(self, now: float) -> None:
        """Take in what was seen up to a moment."""
        while (
            self.index < len(self.by_end)
            and self.by_end[self.index].ended_at + self.delay_s < now
        ):
            item = self.by_end[self.index]
            self.highest = max(self.highest, item.version)
            known = self.by_entry.get(item.entry, 0)
            self.by_entry[item.entry] = max(known, item.version)
            self.index += 1
