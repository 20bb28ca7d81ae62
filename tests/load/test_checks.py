"""Tests that each check counts the fault that it exists for, and no other."""

import msgspec
import testtools

from sesameplank.core.search.coverage import Coverage, MissingRange, MissingReason
from sesameplank.core.search.messages import (
    BookingAnswer,
    BookingResult,
    Record,
    SearchAnswer,
)
from sesameplank.core.search.ranges import KEY_SPACE, KeyRange, get_position
from sesameplank.load.arrivals import Phase, make_arrivals
from sesameplank.load.checks import RunData, Violations, check_run
from sesameplank.load.observations import (
    AttemptFailure,
    Observation,
    Outcome,
    VersionObservation,
)
from sesameplank.load.replay import Replay
from sesameplank.standins.control import CollectionTruth, Truth
from sesameplank.standins.deployments import VATUWAQA
from sesameplank.standins.records import make_records
from sesameplank.standins.store import Change, ExecutedBooking
from sesameplank.standins.targets import TargetTruth

SNAPSHOT = 5
FULL_RANGE = (KeyRange(0, KEY_SPACE),)
FIRST_COLLECTION = VATUWAQA.services[0].collection
ADDRESS = "127.20.1.1:8080"


def make_truth() -> Truth:
    """Return the ground truth of records that change in snapshots 1, 5 and 6."""
    collections = {}
    for service in VATUWAQA.services:
        changes = []
        for record in make_records(60, seed=4):
            for snapshot in (1, SNAPSHOT, SNAPSHOT + 1):
                stock = {**record.fields, "stock": 1_000 + snapshot}
                changes.append(Change(snapshot, Record(record.key, stock)))
        collections[service.collection] = CollectionTruth(tuple(changes), ())
    return Truth(collections, {"t1": TargetTruth()}, 0, 0, (1,))


class SampleRun:
    """A correct run of 40 arrivals, with methods to introduce faults."""

    def __init__(self) -> None:
        self.truth = make_truth()
        self.arrivals = make_arrivals(VATUWAQA, [Phase(0, 0.3, 0.5)], 1, 0.5)
        self.replays = {
            name: Replay(item) for name, item in self.truth.collections.items()
        }
        self.observations = [self.answer(arrival) for arrival in self.arrivals]
        self.version_observations = [
            VersionObservation("a", 1.0, 1.1, 3),
            VersionObservation("b", 20.0, 20.1, 3),
        ]

    def answer(self, arrival) -> Observation:
        """Return a correct observation of an arrival."""
        observation = Observation(arrival.index, 0.0, 1.0, Outcome.ANSWERED)
        if arrival.search is None:
            self.add_execution(arrival)
            observation.booking = BookingAnswer(
                arrival.request_id, f"key-{arrival.index}", BookingResult.ACCEPTED, 6, 3
            )
            return observation
        expected = self.replays[arrival.collection].get_expected(
            arrival.search, SNAPSHOT, FULL_RANGE
        )
        observation.answer = SearchAnswer(
            arrival.request_id,
            arrival.collection,
            SNAPSHOT,
            3,
            "ordinary",
            expected.total,
            expected.hits,
            Coverage(FULL_RANGE),
        )
        return observation

    def add_execution(self, arrival, key: str = "") -> None:
        """Add an execution of a booking to the ledger."""
        stock = arrival.stock
        execution = ExecutedBooking(
            key or f"key-{arrival.index}",
            stock.collection,
            stock.record,
            stock.quantity,
            BookingResult.ACCEPTED,
            6,
        )
        self.set_ledger((*self.ledger, execution))

    @property
    def ledger(self) -> tuple[ExecutedBooking, ...]:
        """The ledger of the first service."""
        return self.truth.collections[FIRST_COLLECTION].ledger

    def set_ledger(self, ledger: tuple[ExecutedBooking, ...]) -> None:
        """Replace the ledger of the first service."""
        changed = msgspec.structs.replace(
            self.truth.collections[FIRST_COLLECTION], ledger=ledger
        )
        self.truth.collections[FIRST_COLLECTION] = changed

    @property
    def query(self) -> Observation:
        """An answered query with at least three hits."""
        return next(
            item for item in self.observations if item.answer and item.answer.total > 2
        )

    @property
    def booking(self) -> Observation:
        """An answered booking."""
        return next(item for item in self.observations if item.booking)

    def change_answer(self, **changes) -> None:
        """Change fields of one query's answer."""
        self.query.answer = msgspec.structs.replace(self.query.answer, **changes)

    def check(self) -> Violations:
        """Return the violations of the run."""
        return check_run(
            RunData(
                self.arrivals, self.observations, self.truth, self.version_observations
            )
        )


def answer_with_hit_of_older_snapshot(sample: SampleRun) -> None:
    """Replace one hit by the value of its record in an older snapshot."""
    first, *others = sample.query.answer.hits
    older = Record(first.key, {**first.fields, "stock": 1_001})
    sample.change_answer(hits=(older, *others))


def answer_from_older_snapshot_than_seen(sample: SampleRun) -> None:
    """Answer from a snapshot older than one that the caller has seen."""
    sample.query.at_least = SNAPSHOT + 1


def drop_hits_and_claim_complete(sample: SampleRun) -> None:
    """Leave out a record and claim full coverage."""
    answer = sample.query.answer
    sample.change_answer(total=answer.total - 1, hits=answer.hits[1:])


def claim_overlapping_ranges(sample: SampleRun) -> None:
    """Report a range as both covered and missing."""
    missing = MissingRange(0, 10, MissingReason.DEADLINE)
    sample.change_answer(coverage=Coverage(FULL_RANGE, (missing,)))


def return_hit_outside_coverage(sample: SampleRun) -> None:
    """Return a hit whose position is reported as missing."""
    answer = sample.query.answer
    at = get_position(answer.hits[0].key)
    covered = tuple(
        item for item in (KeyRange(0, at), KeyRange(at + 1, KEY_SPACE)) if item.size
    )
    missing = MissingRange(at, at + 1, MissingReason.DEADLINE)
    sample.change_answer(coverage=Coverage(covered, (missing,)), total=answer.total - 1)


def count_one_record_twice(sample: SampleRun) -> None:
    """Return a total greater than the number of matching records."""
    sample.change_answer(total=sample.query.answer.total + 1)


def return_hits_out_of_order(sample: SampleRun) -> None:
    """Return the hits in another order."""
    sample.change_answer(hits=sample.query.answer.hits[::-1])


def return_answer_of_another_request(sample: SampleRun) -> None:
    """Return the answer of another request to a caller."""
    sample.change_answer(request_id="load-9999")


def return_invented_record(sample: SampleRun) -> None:
    """Return a record with a value that no snapshot held."""
    first, *others = sample.query.answer.hits
    invented = Record(first.key, {**first.fields, "stock": 7})
    sample.change_answer(hits=(invented, *others))


def refuse_query_that_ran(sample: SampleRun) -> None:
    """Report "not run" for a query of which a target ran a part."""
    sample.query.outcome = Outcome.NOT_RUN
    request_id = sample.arrivals[sample.query.index].request_id
    sample.truth.targets["t1"].searched.append(f"{request_id}.0")
    sample.query.answer = None


def refuse_booking_that_ran(sample: SampleRun) -> None:
    """Report "not run" for a booking that is in the ledger."""
    booking = sample.booking
    booking.outcome = Outcome.NOT_RUN
    booking.booking = None


def run_booking_twice(sample: SampleRun) -> None:
    """Run one booking again."""
    sample.add_execution(sample.arrivals[sample.booking.index])


def lose_booking(sample: SampleRun) -> None:
    """Remove a booking from the ledger after its result was reported."""
    key = sample.booking.booking.idempotency_key
    sample.set_ledger(
        tuple(
            execution for execution in sample.ledger if execution.idempotency_key != key
        )
    )


def report_wrong_result(sample: SampleRun) -> None:
    """Report an accepted booking as declined to its caller."""
    sample.booking.booking = msgspec.structs.replace(
        sample.booking.booking, result=BookingResult.DECLINED
    )


def run_booking_again_under_another_key(sample: SampleRun) -> None:
    """Run one booking again, as if its caller used a new idempotency key too early.

    A caller must not retry with a new key while the first execution may have
    succeeded.
    """
    sample.add_execution(sample.arrivals[sample.booking.index], "another-key")


def run_work_after_leaving(sample: SampleRun) -> None:
    """Run a call at a target after its grace period for leaving has passed."""
    sample.truth.targets["t1"].work_after_leaving = 1


def break_connection_in_flight(sample: SampleRun) -> None:
    """Break the connection of a request in flight."""
    sample.query.failures = (
        AttemptFailure(ADDRESS, 1.0, "no-answer", "ConnectionResetError"),
    )


def report_older_version(sample: SampleRun) -> None:
    """Report an older configuration at an entry that reported a newer one."""
    sample.version_observations.append(VersionObservation("b", 21.0, 21.1, 2))


def report_older_version_after_propagation(sample: SampleRun) -> None:
    """Report an older configuration after a newer one must have reached all entries."""
    sample.version_observations.append(VersionObservation("c", 8.0, 8.1, 2))


def exceed_connection_limit(sample: SampleRun) -> None:
    """Exceed the connection limit of a target by one."""
    sample.truth.targets["t1"].connections_over_limit = 1


MUTANTS = [
    ("mixed_snapshot", answer_with_hit_of_older_snapshot),
    ("mixed_snapshot", answer_from_older_snapshot_than_seen),
    ("false_coverage", drop_hits_and_claim_complete),
    ("false_coverage", claim_overlapping_ranges),
    ("false_coverage", return_hit_outside_coverage),
    ("wrong_answer", count_one_record_twice),
    ("wrong_answer", return_hits_out_of_order),
    ("wrong_answer", return_answer_of_another_request),
    ("wrong_answer", return_invented_record),
    ("false_not_run", refuse_query_that_ran),
    ("false_not_run", refuse_booking_that_ran),
    ("doubled_booking", run_booking_twice),
    ("doubled_booking", run_booking_again_under_another_key),
    ("lost_booking", lose_booking),
    ("lost_booking", report_wrong_result),
    ("work_after_leaving", run_work_after_leaving),
    ("cut_off_in_flight", break_connection_in_flight),
    ("config_reverted", report_older_version),
    ("config_reverted", report_older_version_after_propagation),
    ("connection_limit", exceed_connection_limit),
]

NON_VIOLATIONS = [
    (Outcome.NOT_RUN, ("overloaded", "")),
    (Outcome.UNKNOWN, ("no-answer", "Timeout")),
    (Outcome.UNKNOWN, ("no-answer", "ConnectionRefusedError")),
]


class ChecksTests(testtools.TestCase):
    """Each check counts its own kind of fault and ignores all others."""

    def test_correct_run_has_no_violation(self):
        self.assertEqual(Violations(), SampleRun().check())

    def test_every_mutant_is_counted_by_its_check_alone(self):
        for name, mutate in MUTANTS:
            sample = SampleRun()
            mutate(sample)
            expected = Violations(**{name: 1})
            self.assertEqual(expected, sample.check(), mutate.__name__)

    def test_every_check_has_a_mutant(self):
        self.assertEqual(
            set(msgspec.structs.asdict(Violations())), {name for name, _ in MUTANTS}
        )

    def test_refusals_and_timeouts_are_not_violations(self):
        for outcome, failure in NON_VIOLATIONS:
            sample = SampleRun()
            query = sample.query
            query.answer, query.outcome = None, outcome
            query.failures = (AttemptFailure(ADDRESS, 1.0, *failure),)
            self.assertEqual(Violations(), sample.check(), failure)

    def test_broken_connection_to_killed_entry_is_not_a_violation(self):
        sample = SampleRun()
        break_connection_in_flight(sample)
        violations = check_run(
            RunData(
                sample.arrivals,
                sample.observations,
                sample.truth,
                faulted_addresses=frozenset([ADDRESS]),
            )
        )
        self.assertEqual(0, violations.cut_off_in_flight)
