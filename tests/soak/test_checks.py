"""Each check of the soak accepts a correct record and reports each incorrect one."""

import msgspec
import testtools

from . import checks, stop_checks
from .observations import (
    Arrival,
    CallerRequest,
    FaultPeriod,
    ProcessExit,
    PublishedConfig,
    Record,
)

SHARD_BODY = b"3" * 16 + b"1" * 16
SINGLE_BODY = b"9" * 16


def make_caller_request(**changes) -> CallerRequest:
    """Return a plain request with a correct answer."""
    request = CallerRequest(
        id="r1",
        route="plain",
        path="/one/r1",
        front="f1",
        incarnation=1,
        sent_at=100.0,
        deadline_s=1.0,
        idempotent=True,
        ended_at=100.1,
        status=200,
        signatures=("single1-1.r1",),
        body=SINGLE_BODY,
        answer_id="r1",
    )
    return msgspec.structs.replace(request, **changes)


def make_gather_request(**changes) -> CallerRequest:
    """Return a gather request with a correct answer that reports one missing part."""
    names = [f"shard{number}-1" for number in range(3)]
    return make_caller_request(
        **{
            "route": "gather",
            "path": "/all/g1",
            "id": "g1",
            "answer_id": "g1",
            "signatures": tuple(f"{name}.g1" for name in names),
            "missing": 1,
            "body": b"3" * 48 + b"1" * 48,
            **changes,
        }
    )


def make_arrival(**changes) -> Arrival:
    """Return the arrival of the plain request."""
    arrival = Arrival("r1", "single1", "single1-1", "/one/r1", 100.05, True, 950)
    return msgspec.structs.replace(arrival, **changes)


def make_record(**changes) -> Record:
    """Return a record without violations."""
    services = {"single1-1": "single1", "single1-2": "single1", "single2-1": "single2"}
    services |= {
        f"shard{n}-{replica}": f"shard{n}" for n in range(4) for replica in (1, 2)
    }
    bodies = {
        name: SHARD_BODY if service.startswith("shard") else SINGLE_BODY
        for name, service in services.items()
    }
    values = {
        "asked": [make_caller_request(), make_gather_request()],
        "arrivals": [make_arrival()],
        "published": [PublishedConfig(1, 1.0)],
        "bodies": bodies,
        "services": services,
        "recovered": True,
        **changes,
    }
    return Record(**values)


BOOKING = make_caller_request(idempotent=False, route="booking")
LATER = make_caller_request(id="r2", sent_at=101.0, ended_at=101.1)
LOST = make_caller_request(status=0, ended_at=101.0)
SLOW = make_caller_request(status=0, ended_at=103.7, paced_until=103.5)
CUT_AT_ONCE = make_caller_request(status=0)
TRUNCATED = make_caller_request(status=0, is_truncated=True)
STOPPED = [ProcessExit("f1", 103.0, 0, asked_at=99.9, incarnation=1)]
SHORT_PAUSE = [FaultPeriod("pause", "f1", 99.0, 103.1)]
LATER_PAUSE = [FaultPeriod("pause", "f1", 101.1, 104.0)]
LONG_PAUSE = [FaultPeriod("pause", "f1", 100.5, 103.3)]
EXTRA = [make_arrival(at=100.0 + number / 10) for number in range(40)]
# For each check, changes to the correct record that it must report.
BAD_RECORDS = {
    "check_answers": (
        {"asked": [make_caller_request(answer_id="r9")]},
        {"asked": [make_caller_request(extra_bytes=True)]},
        {"asked": [make_caller_request(signatures=())]},
        {"asked": [make_caller_request(signatures=("single1-1.r9",))]},
        {"asked": [make_caller_request(body=b"other")]},
        {"asked": [make_gather_request(missing=0)]},
        {"asked": [make_gather_request(body=b"3" * 48)]},
        {
            "asked": [
                make_gather_request(
                    signatures=("shard0-1.g1", "shard0-2.g1", "shard1-1.g1"),
                )
            ]
        },
    ),
    "check_runs": (
        {"asked": [BOOKING], "arrivals": [make_arrival()] * 2},
        {"asked": [make_caller_request(idempotent=False, status=503)]},
    ),
    "check_asked_for": (
        {"arrivals": [make_arrival(request_id="r9")]},
        {"arrivals": [make_arrival(path="/other")]},
        {
            "asked": [make_caller_request()],
            "arrivals": [make_arrival(service="shard0")],
        },
    ),
    "check_attempts": (
        {"arrivals": [make_arrival(target=f"single1-{n}") for n in range(3)]},
    ),
    "check_refusals": ({"asked": [make_caller_request(status=404)]},),
    "check_versions_rise": (
        {
            "published": [PublishedConfig(1, 1.0), PublishedConfig(2, 2.0)],
            "asked": [
                make_caller_request(signatures=("single2-1.r1",)),
                msgspec.structs.replace(LATER, signatures=("single1-1.r2",)),
            ],
        },
    ),
    "check_processes": (
        {"recovered": False},
        {"log_faults": ["f1: Traceback"]},
    ),
    "check_versions_in_time": (
        {"published": [PublishedConfig(1, 1.0), PublishedConfig(2, 90.0)]},
    ),
    "check_budget": ({"arrivals": EXTRA},),
    "check_deadlines": ({"arrivals": [make_arrival(remaining_ms=2_000)]},),
    "check_left": (
        {
            "asked": [make_caller_request(left_at=100.1)],
            "arrivals": [make_arrival(at=100.7)],
        },
    ),
    "check_answered_in_time": ({"asked": [make_caller_request(ended_at=101.6)]},),
    "check_stops": (
        {"ended": [ProcessExit("f1", 99.0, 1)]},
        {"ended": [ProcessExit("f1", 103.0, 1, asked_at=99.9)]},
        {"ended": [ProcessExit("f1", 109.0, 0, asked_at=99.9)]},
        {
            "asked": [make_caller_request(status=0)],
            "ended": [ProcessExit("f1", 103.0, 0, asked_at=99.9)],
        },
    ),
    "check_requests": (
        {"asked": [LOST], "arrivals": []},
        {"asked": [CUT_AT_ONCE]},
        {"asked": [CUT_AT_ONCE], "arrivals": [], "logged_ids": {"r1"}},
        {"asked": [TRUNCATED], "arrivals": []},
        {"asked": [make_caller_request(status=500)]},
        {"asked": [msgspec.structs.replace(SLOW, paced_until=103.3)], "ended": STOPPED},
        {"asked": [msgspec.structs.replace(SLOW, ended_at=103.3)], "ended": STOPPED},
        {"asked": [LOST], "ended": STOPPED, "troubles": SHORT_PAUSE},
        {"asked": [LOST], "ended": STOPPED, "troubles": LATER_PAUSE},
        {"asked": [LOST], "troubles": LONG_PAUSE},
    ),
    "check_true_refusals": ({"asked": [make_caller_request(status=503)]},),
    "check_exits": (
        {"ended": [ProcessExit("f1", 99.0, 0)]},
        {"ended": [ProcessExit("f1", 103.0, 1, asked_at=99.9)]},
        {"ended": [ProcessExit("f1", 104.0, -9, asked_at=99.9)]},
    ),
}
# Outcomes that explain why a request was not answered, with changes to the record.
EXCUSES = (
    ("LEFT", {"asked": [make_caller_request(status=0, left_at=100.0)]}),
    ("UNREAD", {"asked": [CUT_AT_ONCE], "arrivals": []}),
    ("EXCUSED", {"asked": [SLOW]}),
    ("EXCUSED", {"asked": [LOST], "troubles": LONG_PAUSE}),
)


class CheckTests(testtools.TestCase):
    """Each check accepts the correct record and reports the ones in `BAD_RECORDS`."""

    def test_correct_record_has_no_violations(self):
        self.assertEqual([], checks.find_violations(make_record(), timed=True))

    def test_each_check_reports_each_of_its_bad_records(self):
        every = checks.ALWAYS + checks.TIMED + stop_checks.STOP_CHECKS
        by_name = {check.__name__: check for check in every}
        self.assertEqual(set(by_name), set(BAD_RECORDS))
        for name, records in BAD_RECORDS.items():
            for number, changes in enumerate(records):
                found = list(by_name[name](make_record(**changes)))
                self.assertTrue(found, f"{name} accepts its bad record {number}")

    def test_requests_without_an_answer_are_excused_only_for_their_reasons(self):
        self.assertEqual([], stop_checks.find_stop_violations(make_record()))
        for outcome, changes in EXCUSES:
            record = make_record(ended=STOPPED, **changes)
            found = stop_checks.Outcomes(record).find(record.asked[0])
            self.assertEqual(outcome, found.name)

    def test_fault_excuses_only_the_process_that_it_affects(self):
        late = make_caller_request(ended_at=101.6)
        for subject, expected in (("f1", []), ("f2", ["r1"])):
            record = make_record(
                asked=[late], troubles=[FaultPeriod("pause", subject, 100.0, 101.0)]
            )
            found = checks.check_answered_in_time(record)
            self.assertEqual(expected, [item[:2] for item in found])
