"""Tests that each check counts the fault that it is there for, and no other."""

import msgspec
import testtools

from sesameplank.core.coverage import Coverage, MissingRange, MissingReason
from sesameplank.core.messages import (
    BookingAnswer,
    BookingResult,
    Record,
    SearchAnswer,
)
from sesameplank.core.ranges import KEY_SPACE, KeyRange, get_position
from sesameplank.load.arrivals import Phase, make_arrivals
from sesameplank.load.checks import Evidence, Violations, check_run
from sesameplank.load.observations import (
    AttemptFailure,
    Observation,
    Outcome,
    Sighting,
)
from sesameplank.load.replay import Replay
from sesameplank.standins.control import CollectionTruth, Truth
from sesameplank.standins.deployments import VATUWAQA
from sesameplank.standins.records import make_records
from sesameplank.standins.store import Change, ExecutedBooking
from sesameplank.standins.targets import TargetTruth

SNAPSHOT = 5
WHOLE = (KeyRange(0, KEY_SPACE),)
FIRST = VATUWAQA.services[0].collection
ADDRESS = "127.20.1.1:8080"


def make_truth() -> Truth:
    """Return records that all change once, before snapshot 5 and after it."""
    collections = {}
    for service in VATUWAQA.services:
        changes = []
        for record in make_records(60, seed=4):
            for snapshot in (1, SNAPSHOT, SNAPSHOT + 1):
                stock = {**record.fields, "stock": 1_000 + snapshot}
                changes.append(Change(snapshot, Record(record.key, stock)))
        collections[service.collection] = CollectionTruth(tuple(changes), ())
    return Truth(collections, {"t1": TargetTruth()}, 0, 0, (1,))


class Case:
    """A truthful run of 40 arrivals, and the means to falsify it."""

    def __init__(self) -> None:
        self.truth = make_truth()
        self.arrivals = make_arrivals(VATUWAQA, [Phase(0, 0.3, 0.5)], 1, 0.5)
        self.replays = {
            name: Replay(item) for name, item in self.truth.collections.items()
        }
        self.observations = [self.answer(arrival) for arrival in self.arrivals]
        self.sightings = [Sighting("a", 1.0, 1.1, 3), Sighting("b", 20.0, 20.1, 3)]

    def answer(self, arrival) -> Observation:
        """Return a truthful observation of an arrival."""
        observation = Observation(arrival.index, 0.0, 1.0, Outcome.ANSWERED)
        if arrival.search is None:
            self.run(arrival)
            observation.booking = BookingAnswer(
                arrival.request_id, f"key-{arrival.index}", BookingResult.ACCEPTED, 6, 3
            )
            return observation
        expected = self.replays[arrival.collection].get_expected(
            arrival.search, SNAPSHOT, WHOLE
        )
        observation.answer = SearchAnswer(
            arrival.request_id,
            arrival.collection,
            SNAPSHOT,
            3,
            "ordinary",
            expected.total,
            expected.hits,
            Coverage(WHOLE),
        )
        return observation

    def run(self, arrival, key: str = "") -> None:
        """Write a booking to the ledger."""
        stock = arrival.stock
        run = ExecutedBooking(
            key or f"key-{arrival.index}",
            stock.collection,
            stock.record,
            stock.quantity,
            BookingResult.ACCEPTED,
            6,
        )
        self.set_ledger((*self.ledger, run))

    @property
    def ledger(self) -> tuple[ExecutedBooking, ...]:
        """The ledger of the first service."""
        return self.truth.collections[FIRST].ledger

    def set_ledger(self, ledger: tuple[ExecutedBooking, ...]) -> None:
        """Replace the ledger of the first service."""
        changed = msgspec.structs.replace(self.truth.collections[FIRST], ledger=ledger)
        self.truth.collections[FIRST] = changed

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
            Evidence(self.arrivals, self.observations, self.truth, self.sightings)
        )


def answer_with_hit_of_older_snapshot(case: Case) -> None:
    """Replace one hit by its value of another snapshot."""
    first, *others = case.query.answer.hits
    older = Record(first.key, {**first.fields, "stock": 1_001})
    case.change_answer(hits=(older, *others))


def answer_older_than_seen(case: Case) -> None:
    """Answer from a snapshot older than one the caller has seen."""
    case.query.at_least = SNAPSHOT + 1


def drop_hits_and_claim_whole(case: Case) -> None:
    """Leave a record out and claim to cover everything."""
    answer = case.query.answer
    case.change_answer(total=answer.total - 1, hits=answer.hits[1:])


def claim_overlapping_ranges(case: Case) -> None:
    """Name a range as both covered and missing."""
    missing = MissingRange(0, 10, MissingReason.DEADLINE)
    case.change_answer(coverage=Coverage(WHOLE, (missing,)))


def return_hit_outside_coverage(case: Case) -> None:
    """Return a hit whose position is said to be missing."""
    answer = case.query.answer
    at = get_position(answer.hits[0].key)
    covered = tuple(
        item for item in (KeyRange(0, at), KeyRange(at + 1, KEY_SPACE)) if item.size
    )
    missing = MissingRange(at, at + 1, MissingReason.DEADLINE)
    case.change_answer(coverage=Coverage(covered, (missing,)), total=answer.total - 1)


def count_a_shard_twice(case: Case) -> None:
    """Return a greater total than there are records."""
    case.change_answer(total=case.query.answer.total + 1)


def return_hits_out_of_order(case: Case) -> None:
    """Return the hits in another order."""
    case.change_answer(hits=case.query.answer.hits[::-1])


def return_answer_of_another_request(case: Case) -> None:
    """Give a caller the answer of another."""
    case.change_answer(request_id="load-9999")


def return_invented_record(case: Case) -> None:
    """Return a record that never was."""
    first, *others = case.query.answer.hits
    invented = Record(first.key, {**first.fields, "stock": 7})
    case.change_answer(hits=(invented, *others))


def refuse_query_that_ran(case: Case) -> None:
    """Say "not run" of a query of which a target ran a part."""
    case.query.outcome = Outcome.NOT_RUN
    request_id = case.arrivals[case.query.index].request_id
    case.truth.targets["t1"].searched.append(f"{request_id}.0")
    case.query.answer = None


def refuse_booking_that_ran(case: Case) -> None:
    """Say "not run" of a booking that the ledger holds."""
    booking = case.booking
    booking.outcome = Outcome.NOT_RUN
    booking.booking = None


def run_booking_twice(case: Case) -> None:
    """Run one booking again."""
    case.run(case.arrivals[case.booking.index])


def lose_booking(case: Case) -> None:
    """Drop a booking from the ledger that its caller was told of."""
    key = case.booking.booking.idempotency_key
    case.set_ledger(tuple(run for run in case.ledger if run.idempotency_key != key))


def tell_wrong_result(case: Case) -> None:
    """Tell a caller that its accepted booking was declined."""
    case.booking.booking = msgspec.structs.replace(
        case.booking.booking, result=BookingResult.DECLINED
    )


def run_booking_again_under_another_key(case: Case) -> None:
    """Run one booking again, as a caller does that took a new key too early."""
    case.run(case.arrivals[case.booking.index], "another-key")


def run_work_after_leaving(case: Case) -> None:
    """Run a call at a target that has been leaving for long."""
    case.truth.targets["t1"].work_after_leaving = 1


def cut_a_request_off(case: Case) -> None:
    """Break the connection of a request in flight."""
    case.query.failures = (
        AttemptFailure(ADDRESS, 1.0, "no-answer", "ConnectionResetError"),
    )


def show_older_version(case: Case) -> None:
    """Show an older configuration at an entry that showed a newer one."""
    case.sightings.append(Sighting("b", 21.0, 21.1, 2))


def show_older_version_late(case: Case) -> None:
    """Show an older configuration than another entry did long ago."""
    case.sightings.append(Sighting("c", 8.0, 8.1, 2))


def pass_connection_limit(case: Case) -> None:
    """Open one connection too many at a target."""
    case.truth.targets["t1"].connections_over_limit = 1


MUTANTS = [
    ("mixed_snapshot", answer_with_hit_of_older_snapshot),
    ("mixed_snapshot", answer_older_than_seen),
    ("false_coverage", drop_hits_and_claim_whole),
    ("false_coverage", claim_overlapping_ranges),
    ("false_coverage", return_hit_outside_coverage),
    ("wrong_answer", count_a_shard_twice),
    ("wrong_answer", return_hits_out_of_order),
    ("wrong_answer", return_answer_of_another_request),
    ("wrong_answer", return_invented_record),
    ("false_not_run", refuse_query_that_ran),
    ("false_not_run", refuse_booking_that_ran),
    ("doubled_booking", run_booking_twice),
    ("doubled_booking", run_booking_again_under_another_key),
    ("lost_booking", lose_booking),
    ("lost_booking", tell_wrong_result),
    ("work_after_leaving", run_work_after_leaving),
    ("cut_off_in_flight", cut_a_request_off),
    ("config_reverted", show_older_version),
    ("config_reverted", show_older_version_late),
    ("connection_limit", pass_connection_limit),
]

INNOCENT = [
    (Outcome.NOT_RUN, ("overloaded", "")),
    (Outcome.UNKNOWN, ("no-answer", "Timeout")),
    (Outcome.UNKNOWN, ("no-answer", "ConnectionRefusedError")),
]


class ChecksTests(testtools.TestCase):
    """Checks count faults, and nothing else."""

    def test_truthful_run_has_no_violation(self):
        self.assertEqual(Violations(), Case().check())

    def test_every_mutant_is_counted_by_its_check_alone(self):
        for name, mutate in MUTANTS:
            case = Case()
            mutate(case)
            expected = Violations(**{name: 1})
            self.assertEqual(expected, case.check(), mutate.__name__)

    def test_every_check_has_a_mutant(self):
        self.assertEqual(
            set(msgspec.structs.asdict(Violations())), {name for name, _ in MUTANTS}
        )

    def test_refusals_and_timeouts_are_no_violations(self):
        for outcome, failure in INNOCENT:
            case = Case()
            query = case.query
            query.answer, query.outcome = None, outcome
            query.failures = (AttemptFailure(ADDRESS, 1.0, *failure),)
            self.assertEqual(Violations(), case.check(), failure)

    def test_broken_connection_to_a_killed_entry_is_no_violation(self):
        case = Case()
        cut_a_request_off(case)
        violations = check_run(
            Evidence(
                case.arrivals,
                case.observations,
                case.truth,
                harmed=frozenset([ADDRESS]),
            )
        )
        self.assertEqual(0, violations.cut_off_in_flight)
