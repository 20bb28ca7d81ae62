"""Tests of the decision which requests are kept from targets."""

import testtools

from sesameplank.core.quarantine import request_quarantine
from sesameplank.core.quarantine.fingerprints import is_fingerprint, make_fingerprint
from sesameplank.core.quarantine.request_quarantine import (
    FIRST_HOLD_S,
    MAX_CRASHES,
    MAX_HOLD_S,
    MAX_QUARANTINED,
    MAX_RECORDS,
    SUSPICION_S,
    Crash,
    QuarantineEvent,
    RequestQuarantine,
    Standing,
)

REQUEST = "0" * 32
OTHER = "1" * 32
SOURCE = "vm2"


class FingerprintTests(testtools.TestCase):
    """Requests that differ in anything that reaches the target differ here."""

    def test_each_part_and_the_division_into_parts_count(self):
        variants = [
            (b"host", b"GET", b"/a", b""),
            (b"other", b"GET", b"/a", b""),
            (b"host", b"PUT", b"/a", b""),
            (b"host", b"GET", b"/b", b""),
            (b"host", b"GET", b"/a", b"x"),
            (b"hos", b"tGET", b"/a", b""),
            (b"host", b"GET", b"", b"/a"),
        ]
        fingerprints = {make_fingerprint(*parts) for parts in variants}
        self.assertEqual(len(variants), len(fingerprints))
        self.assertTrue(all(map(is_fingerprint, fingerprints)))

    def test_texts_of_another_form_are_no_fingerprints(self):
        for text in ("", "0", "g" * 32, "0" * 33, "A" * 32, "٣" * 32):
            self.assertFalse(is_fingerprint(text), text)


class QuarantineTestCase(testtools.TestCase):
    """Makes a quarantine that records its events."""

    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self) -> None:
        """Begin with an empty quarantine."""
        self.events: list[QuarantineEvent] = []
        self.quarantine = RequestQuarantine()
        self.quarantine.listeners.append(
            lambda event, fingerprint, record: self.events.append(event)
        )

    def crash(self, target, sent_at, ended_at, request=REQUEST) -> Standing:
        """Record a crash and return the standing of the request."""
        crash = Crash(target, sent_at, ended_at)
        self.quarantine.note_crash(request, crash, ended_at)
        self.quarantine.judge(request, ended_at)
        return self.quarantine.get_standing(request, ended_at)

    def get_standing(self, now, request=REQUEST) -> Standing:
        """Return the standing of a request."""
        return self.quarantine.get_standing(request, now)

    def quarantine_request(self, now=10.0) -> float:
        """Put the request into quarantine, and return when its hold ends."""
        for number in range(3):
            self.crash(f"t{now}{number}", now + number, now + number + 0.5)
        return now + 2.5 + FIRST_HOLD_S


class EvidenceTests(QuarantineTestCase):
    """Only crashes under calls that follow each other are independent evidence."""

    def test_crashes_of_one_round_make_a_request_suspect_however_many(self):
        for number in range(3 * MAX_CRASHES):
            standing = self.crash(f"t{number}", 10.0 + 0.0001 * number, 10.1)
            self.assertIs(Standing.SUSPECT, standing)

    def test_three_rounds_lead_to_quarantine(self):
        for rounds in (
            [("a", 10.0, 10.1), ("b", 10.2, 10.3), ("c", 10.4, 10.5)],
            [("c", 10.4, 10.5), ("a", 10.0, 10.1), ("b", 10.2, 10.3)],
            [(f"t{n}", 10.0, 10.1) for n in range(40)]
            + [("b", 10.2, 10.3), ("c", 10.4, 10.5)],
            [("a", 10.0, 10.1), ("a", 11.2, 11.3), ("a", 12.4, 12.5)],
        ):
            self.begin()
            standings = [self.crash(*item) for item in rounds]
            self.assertEqual({Standing.SUSPECT}, set(standings[:-1]))
            self.assertIs(Standing.QUARANTINED, standings[-1])
            self.assertIn(QuarantineEvent.QUARANTINED, self.events)

    def test_crash_that_several_processes_observe_counts_once(self):
        for number in range(6):
            standing = self.crash("a", 10.0 + 0.01 * number, 10.1 + 0.01 * number)
            self.assertIs(Standing.SUSPECT, standing)

    def test_answer_clears_a_request(self):
        self.crash("a", 10.0, 10.1)
        self.crash("b", 10.2, 10.3)
        self.quarantine.note_answer(REQUEST, 10.35)
        self.assertIs(Standing.CLEAR, self.get_standing(10.35))
        self.assertIs(Standing.SUSPECT, self.crash("c", 10.4, 10.5))
        self.assertIn(QuarantineEvent.CLEARED, self.events)

    def test_crash_that_is_told_after_a_later_answer_says_nothing(self):
        self.crash("a", 10.0, 10.1)
        self.quarantine.note_answer(REQUEST, 10.4)
        self.assertIs(Standing.CLEAR, self.crash("b", 10.2, 10.3))

    def test_requests_are_judged_apart(self):
        self.quarantine_request()
        self.assertIs(Standing.CLEAR, self.get_standing(13.0, OTHER))
        self.assertIs(Standing.SUSPECT, self.crash("x", 12.9, 13.0, OTHER))


class ExplanationTests(QuarantineTestCase):
    """Requests that only ran beside the one that crashes targets."""

    def play_round(self, sent_at: float, *targets: str, also: dict[str, str]) -> None:
        """Crash targets one after the other, some of which have another call too."""
        for number, target in enumerate(targets):
            ended_at = sent_at + 0.03 + 0.01 * number
            if target in also:
                self.crash(target, sent_at + 0.02, ended_at, also[target])
            self.crash(target, sent_at, ended_at)

    def test_request_whose_targets_another_one_crashed_is_not_quarantined(self):
        names = [f"t{number}" for number in range(20)]
        self.play_round(10.0, *names, also=dict.fromkeys(names[4:12], OTHER))
        self.play_round(10.5, "u1", also={"u1": OTHER})
        self.assertIs(Standing.QUARANTINED, self.get_standing(10.6))
        self.assertIs(Standing.SUSPECT, self.get_standing(10.6, OTHER))
        self.assertFalse(self.quarantine.is_strongly_suspected(OTHER))

    def test_crashes_without_another_explanation_still_count(self):
        self.play_round(10.0, "t1", "t2", also={"t1": OTHER, "t2": OTHER})
        for number in range(3):
            standing = self.crash(f"v{number}", 11.0 + number, 11.5 + number, OTHER)
        self.assertIs(Standing.QUARANTINED, standing)

    def test_requests_with_as_many_crashes_do_not_explain_each_other(self):
        for number in range(3):
            for request in (REQUEST, OTHER):
                self.crash(f"t{number}", 10.0 + number, 10.5 + number, request)
        self.assertIs(Standing.QUARANTINED, self.get_standing(12.5))

    def test_what_is_forgotten_explains_nothing(self):
        names = [f"t{number}" for number in range(5)]
        self.play_round(10.0, *names, also={})
        self.quarantine.note_answer(REQUEST, 10.2)
        self.assertEqual({}, self.quarantine.by_target)


class HoldTests(QuarantineTestCase):
    """A quarantine ends, and is renewed for longer by a single crash."""

    def test_request_is_suspect_after_its_hold(self):
        until = self.quarantine_request()
        self.assertIs(Standing.QUARANTINED, self.get_standing(until - 0.1))
        self.assertIs(Standing.SUSPECT, self.get_standing(until))

    def test_crash_after_a_hold_renews_it_for_longer(self):
        until = self.quarantine_request()
        hold_s = FIRST_HOLD_S
        for number in range(8):
            hold_s = min(MAX_HOLD_S, 2 * hold_s)
            standing = self.crash(f"late{number}", until + 1.0, until + 1.1)
            self.assertIs(Standing.QUARANTINED, standing)
            until += 1.1 + hold_s
            self.assertIs(Standing.QUARANTINED, self.get_standing(until - 0.1))
            self.assertIs(Standing.SUSPECT, self.get_standing(until + 0.1))

    def test_answer_after_a_hold_ends_the_suspicion(self):
        until = self.quarantine_request()
        self.quarantine.note_answer(REQUEST, until + 1.0)
        self.assertIs(Standing.CLEAR, self.get_standing(until + 1.0))

    def test_request_that_does_not_come_again_is_forgotten(self):
        until = self.quarantine_request()
        self.crash("a", 10.0, 10.1, OTHER)
        self.quarantine.drop_outdated(10.2 + SUSPICION_S)
        self.assertEqual([REQUEST], list(self.quarantine.records))
        self.quarantine.drop_outdated(until + SUSPICION_S)
        self.assertEqual([], list(self.quarantine.records))


class ToldTests(QuarantineTestCase):
    """What other processes tell, late and out of order."""

    def test_hold_that_is_told_holds(self):
        self.quarantine.note_held(REQUEST, 40.0, 1, 10.0, SOURCE)
        self.assertIs(Standing.QUARANTINED, self.get_standing(39.0))
        self.assertEqual(SOURCE, self.quarantine.records[REQUEST].source)

    def test_hold_is_neither_shortened_nor_endless(self):
        self.quarantine.note_held(REQUEST, 40.0, 1, 10.0, SOURCE)
        for until in (20.0, 5.0, float("-inf")):
            self.quarantine.note_held(REQUEST, until, 1, 10.0, SOURCE)
            self.assertIs(Standing.QUARANTINED, self.get_standing(39.0))
        self.quarantine.note_held(REQUEST, float("inf"), 9, 10.0, SOURCE)
        end = 10.0 + MAX_HOLD_S
        self.assertIsNot(Standing.QUARANTINED, self.get_standing(end))

    def test_told_answer_clears_what_was_before_it(self):
        self.quarantine_request()
        self.quarantine.clear(REQUEST, 10.2, 13.0, SOURCE)
        self.assertIs(Standing.QUARANTINED, self.get_standing(13.0))
        self.quarantine.clear(REQUEST, 13.0, 13.1, SOURCE)
        self.assertIs(Standing.CLEAR, self.get_standing(13.1))


class BoundTests(QuarantineTestCase):
    """A mass failure makes thousands of requests suspect."""

    def test_records_are_bounded_and_quarantined_requests_are_kept(self):
        self.quarantine_request()
        for number in range(2 * MAX_RECORDS):
            self.crash("rack", 20.0, 20.1, f"{number:032}")
        self.assertLessEqual(len(self.quarantine.records), MAX_RECORDS)
        self.assertIs(Standing.QUARANTINED, self.get_standing(20.1))

    def test_quarantined_requests_are_bounded(self):
        for number in range(2 * MAX_QUARANTINED):
            self.quarantine.note_held(f"{number:032}", 99.0, 1, 10.0, SOURCE)
        self.assertEqual(MAX_QUARANTINED, len(self.quarantine.records))

    def test_crashes_of_a_request_are_bounded(self):
        for number in range(200):
            self.crash(f"t{number}", 10.0, 10.1)
        until = self.quarantine_request(20.0)
        for number in range(50):
            self.crash(f"u{number}", until, until + 0.1)
        record = self.quarantine.records[REQUEST]
        self.assertLessEqual(len(record.crashes), MAX_CRASHES + 3)

    def test_constants_fit_each_other(self):
        self.assertLess(MAX_QUARANTINED, MAX_RECORDS)
        self.assertGreater(request_quarantine.SUSPICION_S, FIRST_HOLD_S)
