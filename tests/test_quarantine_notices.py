"""Tests of the notices between processes about requests that crash targets."""

import random

import gevent
import msgspec
import testtools

from sesameplank.core.common.clock import ManualClock
from sesameplank.core.membership.peer_messages import (
    RequestCrashes,
    RequestCrashNotice,
)
from sesameplank.core.quarantine.request_quarantine import (
    FIRST_HOLD_S,
    MAX_HOLD_S,
    MAX_RECORDS,
    Crash,
    RequestQuarantine,
    Standing,
)
from sesameplank.peers import PeerContext
from sesameplank.peers.collected_notices import COLLECT_S
from sesameplank.quarantine_notices import (
    MAX_NOTICE_AGE_S,
    MAX_TOLD,
    REPEAT_INTERVAL_S,
    REPEATED_SUSPICION_S,
    REPEATED_TO,
    QuarantineNotices,
)

REQUEST = "0" * 32
OTHERS = [f"vm{number}" for number in range(1, 9)]


class Links:
    """Links that record what is sent."""

    entry_id = "vm0"

    def __init__(self) -> None:
        self.sent: list[tuple[str, RequestCrashNotice]] = []

    def register(self, message_type, handler) -> None:
        """Ignore the handler, which the test calls itself."""

    def send(self, peer, message) -> None:
        """Record a message as its receiver decodes it."""
        encoded = msgspec.json.encode(message)
        self.sent.append((peer, msgspec.json.decode(encoded, type=type(message))))


class Process:
    """A process with its quarantine and notices."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.links = Links()
        self.quarantine = RequestQuarantine()
        self.notices = QuarantineNotices(
            self.links,
            clock,
            random.Random(1),
            self.quarantine,
            lambda: OTHERS,
            lambda: ["vm0", *OTHERS],
        )

    def crash(self, *numbers: int, request: str = REQUEST) -> None:
        """Record crashes under calls that follow each other, and send the notices."""
        for number in numbers:
            now = self.clock.now()
            crash = Crash(f"t{number}", now - 0.1, now)
            self.quarantine.note_crash(request, crash, now)
            self.quarantine.judge(request, now)
            self.clock.advance(0.2)
        gevent.sleep(2 * COLLECT_S)

    def get(self, message: RequestCrashNotice, age_s: float = 0.0) -> None:
        """Process a notice of another process."""
        self.notices.on_notice(message, PeerContext("vm1", 1, age_s, float("inf")))
        for item in message.requests:
            self.quarantine.judge(item.fingerprint, self.clock.now())

    def get_standing(self, request: str = REQUEST) -> Standing:
        """Return the standing of a request here."""
        return self.quarantine.get_standing(request, self.clock.now())


class NoticeTestCase(testtools.TestCase):
    """Makes two processes with the same clock."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.first, self.second = Process(self.clock), Process(self.clock)

    def tell(self, age_s: float = 0.0) -> None:
        """Pass the latest notice of the first process to the second one."""
        self.second.get(self.first.links.sent[-1][1], age_s)


class SharingTests(NoticeTestCase):
    """What several processes observe is added up, and known to all."""

    def test_crashes_seen_by_two_processes_add_up(self):
        self.second.crash(1, 2)
        self.first.crash(3)
        self.tell()
        self.assertIs(Standing.QUARANTINED, self.second.get_standing())

    def test_the_same_crash_told_by_many_counts_once(self):
        self.first.crash(1)
        for age_s in (0.0, 0.01, 0.05, 0.1):
            self.tell(age_s)
        self.second.crash(2)
        self.assertIs(Standing.SUSPECT, self.second.get_standing())

    def test_quarantine_is_told_to_all_and_not_told_on(self):
        self.first.crash(1, 2, 3)
        self.assertEqual(set(OTHERS), {peer for peer, _ in self.first.links.sent})
        self.tell()
        self.assertIs(Standing.QUARANTINED, self.second.get_standing())
        gevent.sleep(2 * COLLECT_S)
        self.assertEqual([], self.second.links.sent)

    def test_answer_is_told(self):
        self.first.crash(1)
        self.tell()
        self.first.quarantine.note_answer(REQUEST, self.clock.now())
        gevent.sleep(2 * COLLECT_S)
        self.tell()
        self.assertIs(Standing.CLEAR, self.second.get_standing())

    def test_process_that_starts_learns_from_repetitions(self):
        self.first.crash(1, 2, 3)
        self.first.links.sent.clear()
        self.clock.advance(REPEAT_INTERVAL_S)
        self.first.notices.repeat()
        self.assertEqual(REPEATED_TO, len(self.first.links.sent))
        self.tell()
        self.assertIs(Standing.QUARANTINED, self.second.get_standing())
        self.clock.advance(FIRST_HOLD_S)
        self.assertIs(Standing.SUSPECT, self.second.get_standing())

    def test_suspects_are_repeated_for_a_moment_only(self):
        self.first.crash(1)
        repetitions = 0
        for _ in range(20):
            self.first.links.sent.clear()
            self.clock.advance(REPEAT_INTERVAL_S)
            self.first.notices.repeat()
            repetitions += bool(self.first.links.sent)
        self.assertLessEqual(repetitions, REPEATED_SUSPICION_S / REPEAT_INTERVAL_S)
        self.assertGreater(repetitions, 0)

    def test_nothing_is_repeated_without_a_suspect_request(self):
        for _ in range(5):
            self.clock.advance(REPEAT_INTERVAL_S)
            self.first.notices.repeat()
        self.assertEqual([], self.first.links.sent)


class DistrustTests(NoticeTestCase):
    """Old, forged and excessive notices do little."""

    def test_old_notice_is_ignored(self):
        self.first.crash(1, 2, 3)
        self.tell(MAX_NOTICE_AGE_S + 0.1)
        self.assertIs(Standing.CLEAR, self.second.get_standing())

    def test_notice_about_what_is_no_fingerprint_is_ignored(self):
        for text in ("", "x" * 32, "0" * 4_000):
            item = RequestCrashes(text, (("t1", 10, 5),), held_ms=1_000)
            self.second.get(RequestCrashNotice((item,)))
        self.assertEqual({}, dict(self.second.quarantine.records))

    def test_numbers_out_of_range_do_no_harm(self):
        huge = 10**15
        for item in (
            RequestCrashes(REQUEST, (("t1", -huge, -huge),), -huge, -9, -huge),
            RequestCrashes(REQUEST, (("t1", huge, huge),), huge, huge, huge),
        ):
            self.second.get(RequestCrashNotice((item,)))
        self.clock.advance(MAX_HOLD_S)
        self.assertIsNot(Standing.QUARANTINED, self.second.get_standing())
        self.second.crash(4, 5, 6)
        self.assertIs(Standing.QUARANTINED, self.second.get_standing())

    def test_memory_is_bounded_whatever_is_told(self):
        for start in range(0, 3 * MAX_RECORDS, MAX_TOLD):
            items = tuple(
                RequestCrashes(f"{number:032}", (("t1", 10, 5),))
                for number in range(start, start + 2 * MAX_TOLD)
            )
            self.second.get(RequestCrashNotice(items))
        self.assertLessEqual(len(self.second.quarantine.records), MAX_RECORDS)
