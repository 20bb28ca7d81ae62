"""Tests of batches: grouping of calls, choice of the VM, and times of answers."""

import random

import testtools

from sesameplank.core.forwarding.batches import (
    CANDIDATES,
    MAX_AVOID_S,
    MIN_AVOID_S,
    MIN_BATCH_CALLS,
    NEVER,
    AggregatorChoice,
    FlushSchedule,
    group_by_data_centre,
)
from sesameplank.core.forwarding.fanout_calls import Call, CallKind
from sesameplank.core.membership.peer_messages import Health, Member, Phase
from sesameplank.core.published.target_table import TargetPhase, TargetRecord


def make_call(id: int, data_centre: str, kind=CallKind.FIRST) -> Call:
    """Return a call to a target in a data centre."""
    target = TargetRecord(
        f"t{id}", f"s{id}", "10.0.0.1:80", data_centre, 2, TargetPhase.READY
    )
    return Call(id, kind, f"s{id}", target, 0.0)


def make_member(name: str, data_centre: str, health=Health.ALIVE) -> Member:
    """Return a serving member."""
    return Member(name, 1, 1, Phase.SERVING, health, "", "", data_centre)


class GroupTests(testtools.TestCase):
    """Only first calls to other data centres are sent in batches."""

    def group(self, calls) -> dict[str, list[int]]:
        groups = group_by_data_centre(calls, "own")
        return {name: [call.id for call in group] for name, group in groups.items()}

    def test_calls_are_grouped_by_data_centre(self):
        calls = [make_call(n, ("own", "b", "c")[n % 3]) for n in range(12)]
        self.assertEqual({"b": [1, 4, 7, 10], "c": [2, 5, 8, 11]}, self.group(calls))

    def test_few_calls_are_sent_directly(self):
        calls = [make_call(n, "b") for n in range(MIN_BATCH_CALLS - 1)]
        self.assertEqual({}, self.group(calls))

    def test_hedges_and_retries_are_sent_directly(self):
        for kind in (CallKind.HEDGE, CallKind.RETRY):
            self.assertEqual(
                {}, self.group([make_call(n, "b", kind) for n in range(9)])
            )


class AggregatorChoiceTests(testtools.TestCase):
    """A few VMs in the data centre get the batches, except silent ones."""

    def setUp(self):
        super().setUp()
        self.choice = AggregatorChoice("own", random.Random(2))
        self.members = [make_member(f"b{n}", "b") for n in range(6)]
        self.members += [make_member("own", "b"), make_member("c0", "c")]

    def choose_all(self, now: float = 0.0, data_centre="b") -> set:
        return {self.choice.choose(data_centre, self.members, now) for _ in range(100)}

    def test_few_vms_of_the_data_centre_are_chosen(self):
        chosen = self.choose_all()
        self.assertEqual(CANDIDATES, len(chosen))
        self.assertNotIn("own", chosen)
        self.assertEqual({"c0"}, self.choose_all(data_centre="c"))
        self.assertEqual({None}, self.choose_all(data_centre="d"))

    def test_suspected_vm_is_not_chosen(self):
        self.members[-1] = make_member("c0", "c", Health.SUSPECT)
        self.assertEqual({None}, self.choose_all(data_centre="c"))

    def test_silent_vm_is_avoided_longer_each_time(self):
        now = 0.0
        waits = []
        for _ in range(8):
            self.choice.note_silence("c0", now)
            self.choice.note_silence("c0", now)  # Another request of the same time.
            waits.append(self.choice.avoid_until["c0"] - now)
            self.assertEqual({None}, self.choose_all(now, "c"))
            now = self.choice.avoid_until["c0"]
            self.assertEqual({"c0"}, self.choose_all(now, "c"))
        self.assertEqual(MIN_AVOID_S, waits[0])
        self.assertEqual(MAX_AVOID_S, waits[-1])
        self.assertEqual(sorted(waits), waits)

    def test_answer_ends_the_avoidance(self):
        self.choice.note_silence("c0", 0.0)
        self.choice.note_answer("c0")
        self.assertEqual({"c0"}, self.choose_all(0.0, "c"))


class FlushScheduleTests(testtools.TestCase):
    """Answers wait briefly for each other and never for the slowest ones."""

    def play(self, answer_times, objective_at=0.1) -> list[tuple[float, int]]:
        """Return the time and the number of answers of each flush."""
        schedule = FlushSchedule(len(answer_times), 0.0, objective_at)
        flushes, waiting, flush_at = [], 0, NEVER
        for time in sorted(answer_times):
            if flush_at <= time:
                flushes.append((flush_at, waiting))
                waiting = 0
                schedule.note_flushed()
            waiting += 1
            flush_at = schedule.note_done(time, has_answer=True)
        flushes.append((flush_at, waiting))
        return flushes

    def test_answers_of_about_the_same_time_are_returned_together(self):
        times = [0.018, 0.019, 0.020, 0.021, 0.022, 0.023]
        self.assertEqual([(0.023, 6)], self.play(times))

    def test_answers_do_not_wait_for_a_paused_target(self):
        (first_at, first), (second_at, second) = self.play(
            [0.018, 0.019, 0.020, 0.021, 0.022, 0.15]
        )
        self.assertEqual((5, 1), (first, second))
        self.assertLess(first_at, 0.03)
        self.assertEqual(0.15, second_at)

    def test_few_early_answers_are_returned_by_the_objective(self):
        flushes = self.play([0.01, 0.2, 0.21, 0.22, 0.23], objective_at=0.06)
        self.assertEqual((0.06, 1), flushes[0])

    def test_no_answer_waits_after_the_objective(self):
        flushes = self.play([0.07, 0.08, 0.09], objective_at=0.06)
        self.assertEqual([(0.07, 1), (0.08, 1), (0.09, 1)], flushes)

    def test_failure_alone_causes_no_flush(self):
        schedule = FlushSchedule(4, 0.0, 0.1)
        self.assertEqual(NEVER, schedule.note_done(0.01, has_answer=False))
