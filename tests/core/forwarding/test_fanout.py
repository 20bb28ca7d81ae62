"""Tests of the state machine of a forwarded request, with simulated time."""

import random

import msgspec
import testtools

from sesameplank.core.common.outcomes import Ran
from sesameplank.core.forwarding.extra_load import ExtraLoadBounds, ExtraLoadBudget
from sesameplank.core.forwarding.fanout import BUDGET_RECHECK_S, Fanout
from sesameplank.core.forwarding.fanout_calls import NEVER, CallKind, FanoutPlan
from sesameplank.core.forwarding.placement import Placement
from sesameplank.core.forwarding.verdicts import Verdict
from sesameplank.core.published.target_table import TargetPhase, TargetRecord

AMPLE_EXTRA_LOAD = ExtraLoadBounds(ratio=1.0, slack=1_000.0)
NO_EXTRA_LOAD = ExtraLoadBounds(ratio=0.0, slack=0.0)


class FanoutTestCase(testtools.TestCase):
    """Base class with requests over shards `s0`, `s1`, ...

    Each shard has one replica for each letter of `replicas`: those of `s0` are the
    targets `s0a`, `s0b`, ...
    """

    def make(
        self,
        shards=3,
        required=2,
        idempotent=True,
        replicas="ab",
        attempts=2,
        bounds=AMPLE_EXTRA_LOAD,
        hedge=0.03,
    ) -> Fanout:
        names = tuple(f"s{number}" for number in range(shards))
        self.targets = {
            name: [
                TargetRecord(
                    f"{name}{letter}", name, "10.0.0.1:80", "dc", 2, TargetPhase.READY
                )
                for letter in replicas
            ]
            for name in names
        }
        self.budget = ExtraLoadBudget(bounds)
        for name in names:
            self.budget.get(name, 0.0)
        plan = FanoutPlan(
            shards=names,
            required=required,
            idempotent=idempotent,
            max_attempts=attempts,
            objective_at=100.1,
            deadline_at=101.0,
            usual_call_s=0.02,
            hedge_after_s=hedge if idempotent else None,
        )
        placement = Placement("dc", random.Random(1))
        self.fanout = Fanout(plan, self.targets.get, placement, self.budget)
        return self.fanout

    def start(self, **options):
        calls = self.make(**options).start(100.0)
        for call in calls:
            self.fanout.note_transmitted(call)
        return calls


class VerdictTests(FanoutTestCase):
    """Verdicts of requests by answers, missing targets and time."""

    def test_all_shards_answer_at_once(self):
        for call in self.start():
            self.assertIs(Verdict.OPEN, self.fanout.get_verdict(100.01))
            self.fanout.on_answer(call, 100.01)
        self.assertIs(Verdict.ANSWERED, self.fanout.get_verdict(100.01))

    def test_missing_shard_is_awaited_until_the_objective(self):
        calls = self.start()
        for call in calls[:2]:
            self.fanout.on_answer(call, 100.01)
        self.assertIs(Verdict.OPEN, self.fanout.get_verdict(100.09))
        self.assertIs(Verdict.ANSWERED, self.fanout.get_verdict(100.1))

    def test_too_few_answered_shards_expire_at_the_deadline(self):
        calls = self.start()
        self.fanout.on_answer(calls[0], 100.01)
        self.assertIs(Verdict.OPEN, self.fanout.get_verdict(100.5))
        self.assertIs(Verdict.EXPIRED, self.fanout.get_verdict(101.0))

    def test_request_cut_short_is_answered_with_the_parts_that_are_in(self):
        calls = self.start()
        for call in calls[:2]:
            self.fanout.on_answer(call, 100.01)
        self.fanout.end_by(100.05)
        self.fanout.on_timer(100.04)
        self.assertLessEqual(self.fanout.get_next_timer(), 100.05)
        self.assertIs(Verdict.OPEN, self.fanout.get_verdict(100.04))
        self.assertIs(Verdict.ANSWERED, self.fanout.get_verdict(100.05))

    def test_enough_parts_at_a_deadline_before_the_objective_are_answered(self):
        calls = self.start()
        for call in calls[:2]:
            self.fanout.on_answer(call, 100.01)
        early = msgspec.structs.replace(self.fanout.plan, deadline_at=100.05)
        self.fanout.plan = early
        self.assertIs(Verdict.OPEN, self.fanout.get_verdict(100.04))
        self.assertIs(Verdict.ANSWERED, self.fanout.get_verdict(100.05))

    def test_request_cut_short_without_enough_parts_expires(self):
        calls = self.start()
        self.fanout.on_answer(calls[0], 100.01)
        self.fanout.end_by(100.05)
        self.assertIs(Verdict.EXPIRED, self.fanout.get_verdict(100.05))

    def test_later_end_does_not_extend_a_request(self):
        self.start()
        self.fanout.end_by(200.0)
        self.assertEqual(101.0, self.fanout.plan.deadline_at)
        self.assertEqual(100.1, self.fanout.plan.objective_at)

    def test_request_is_hopeless_if_too_many_shards_have_no_target(self):
        fanout = self.make()
        self.targets.update(s0=[], s1=[])
        fanout.start(100.0)
        self.assertIs(Verdict.HOPELESS, fanout.get_verdict(100.0))

    def test_request_is_answered_if_one_shard_has_no_target(self):
        fanout = self.make()
        self.targets["s0"] = []
        for call in fanout.start(100.0):
            fanout.on_answer(call, 100.01)
        self.assertIs(Verdict.ANSWERED, fanout.get_verdict(100.01))


class TooLateTests(FanoutTestCase):
    """A retry that is expected to end after the deadline is not sent."""

    def test_refused_call_is_retried_only_while_time_is_left(self):
        for at, is_retried in ((100.9, True), (100.99, False)):
            (call,) = self.start(shards=1, required=1)
            retries = self.fanout.on_failure(call, Ran.NOT_RUN, at)
            self.assertEqual(is_retried, bool(retries), at)

    def test_refused_request_expires_early_and_has_certainly_not_run(self):
        (call,) = self.start(shards=1, required=1)
        self.assertEqual([], self.fanout.on_failure(call, Ran.NOT_RUN, 100.99))
        self.assertIs(Verdict.EXPIRED, self.fanout.get_verdict(100.99))
        self.assertTrue(self.fanout.is_certainly_not_run)


class HedgeTests(FanoutTestCase):
    """A late call is hedged at another target."""

    def test_late_call_is_hedged_at_another_target(self):
        (first,) = self.start(shards=1, required=1)
        self.assertEqual([], self.fanout.on_timer(100.02))
        (hedge_call,) = self.fanout.on_timer(100.03)
        self.assertIs(CallKind.HEDGE, hedge_call.kind)
        self.assertNotEqual(first.target.id, hedge_call.target.id)
        self.assertEqual(101.0, self.fanout.get_next_timer())

    def test_only_the_first_answer_of_a_shard_counts(self):
        (first,) = self.start(shards=1, required=1)
        (hedge_call,) = self.fanout.on_timer(100.03)
        self.assertTrue(self.fanout.on_answer(hedge_call, 100.05))
        self.assertFalse(self.fanout.on_answer(first, 100.05))
        self.assertEqual(1, self.fanout.answered)

    def test_exhausted_budget_postpones_the_hedge(self):
        self.start(shards=1, required=1, bounds=NO_EXTRA_LOAD)
        self.assertEqual([], self.fanout.on_timer(100.03))
        self.assertAlmostEqual(100.03 + BUDGET_RECHECK_S, self.fanout.get_next_timer())

    def test_request_that_is_not_idempotent_is_never_hedged(self):
        self.start(shards=1, required=1, idempotent=False)
        self.assertEqual(NEVER, self.fanout.shards["s0"].hedge_at)
        self.assertEqual([], self.fanout.on_timer(100.9))

    def test_route_with_one_attempt_is_never_hedged(self):
        self.start(shards=1, required=1, attempts=1)
        self.assertEqual([], self.fanout.on_timer(100.03))


class FailureTests(FanoutTestCase):
    """Retries and verdicts after failed calls."""

    CASES = (
        # idempotent, ran, whether a retry is sent, verdict
        (True, Ran.UNKNOWN, True, Verdict.OPEN),
        (True, Ran.ANSWERED, True, Verdict.OPEN),
        (True, Ran.NOT_RUN, True, Verdict.OPEN),
        (False, Ran.NOT_RUN, True, Verdict.OPEN),
        (False, Ran.UNKNOWN, False, Verdict.HOPELESS),
        (False, Ran.ANSWERED, False, Verdict.HOPELESS),
    )

    def test_table(self):
        for idempotent, ran, retried, verdict in self.CASES:
            (call,) = self.start(shards=1, required=1, idempotent=idempotent)
            calls = self.fanout.on_failure(call, ran, 100.01)
            self.assertEqual(retried, bool(calls), (idempotent, ran))
            self.assertIs(verdict, self.fanout.get_verdict(100.01))

    def test_no_more_targets_may_run_than_the_route_has_attempts(self):
        (call,) = self.start(shards=1, required=1, replicas="abc")
        (second,) = self.fanout.on_failure(call, Ran.UNKNOWN, 100.01)
        third = self.fanout.on_failure(second, Ran.UNKNOWN, 100.02)
        self.assertEqual([], third)
        calls = self.fanout.on_timer(100.2)
        self.assertTrue({item.target.id for item in calls} <= {"s0a", "s0b", "s0c"})
        for item in calls:
            self.assertIn(item.target.id, self.fanout.shards["s0"].may_have_run_on)

    def test_retry_of_a_call_that_was_not_transmitted_costs_no_budget(self):
        self.make(shards=1, required=1, bounds=NO_EXTRA_LOAD)
        (call,) = self.fanout.start(100.0)
        self.assertEqual(1, len(self.fanout.on_failure(call, Ran.NOT_RUN, 100.01)))

    def test_retry_of_a_misdirected_call_costs_its_shard_no_budget(self):
        for service in (None, "other"):
            (call,) = self.start(shards=1, required=1)
            left = self.budget.get_fill("s0", 100.01)
            (retry,) = self.fanout.on_misdirected(call, service, 100.01)
            self.assertIs(CallKind.RETRY, retry.kind)
            is_charged = self.budget.get_fill("s0", 100.01) < left
            self.assertEqual(service is None, is_charged)
            self.assertTrue(self.fanout.is_certainly_not_run)

    def test_misdirected_call_leaves_the_charge_for_others_that_arrived(self):
        (call,) = self.start(shards=1, required=1)
        (hedge,) = self.fanout.prepare_hedge(self.fanout.shards["s0"], 100.03)
        self.fanout.note_transmitted(hedge)
        self.fanout.on_failure(call, Ran.UNKNOWN, 100.04)
        self.budget.get("s0", 100.04).tokens = 0.0
        self.assertEqual([], self.fanout.on_misdirected(hedge, "other", 100.05))

    def test_calls_that_other_vms_return_are_repeated_with_growing_delays(self):
        for replicas in ("a", "ab"):
            calls = self.start(shards=1, required=1, replicas=replicas)
            sent, now = 0, 100.0
            while now < 100.5:
                for call in calls:
                    sent += 1
                    self.fanout.note_batched([call])
                    calls = self.fanout.on_returned(call, Ran.NOT_RUN, now + 0.001)
                now += 0.001
                calls = calls or self.fanout.on_timer(now)
            self.assertLessEqual(sent, 12, replicas)
            self.assertGreaterEqual(sent, 4, replicas)
            self.assertTrue(self.fanout.is_certainly_not_run)

    def test_not_run_is_reported_only_when_it_is_certain(self):
        self.make(shards=1, required=1, idempotent=False)
        (call,) = self.fanout.start(100.0)
        self.assertTrue(self.fanout.is_certainly_not_run)
        self.fanout.note_transmitted(call)
        self.assertFalse(self.fanout.is_certainly_not_run)
        self.fanout.on_failure(call, Ran.NOT_RUN, 100.01)
        self.assertTrue(self.fanout.is_certainly_not_run)


class RandomScheduleTests(FanoutTestCase):
    """The limits on repeated execution hold for any order of events."""

    def run_schedule(self, seed: int) -> None:
        rng = random.Random(seed)
        idempotent = rng.random() < 0.7
        shards = rng.choice((1, 5)) if idempotent else 1
        calls = list(
            self.start(shards=shards, required=1, idempotent=idempotent, replicas="abc")
        )
        sent = list(calls)
        ran: dict[str, set] = {}
        now = 100.0
        while self.fanout.get_verdict(now) is Verdict.OPEN:
            now += rng.uniform(0.0, 0.02)
            new = self.fanout.on_timer(now)
            if calls and rng.random() < 0.7:
                call = calls.pop(rng.randrange(len(calls)))
                outcome = rng.choice((Ran.NOT_RUN, Ran.UNKNOWN, None))
                if outcome is not Ran.NOT_RUN:
                    ran.setdefault(call.shard, set()).add(call.target.id)
                if outcome is None:
                    self.fanout.on_answer(call, 100.01)
                else:
                    new += self.fanout.on_failure(call, outcome, now)
            for call in new:
                self.fanout.note_transmitted(call)
            calls += new
            sent += new
            if not idempotent:
                self.assertLessEqual(len(calls) + len(ran), 1)
        for targets in ran.values():
            self.assertLessEqual(len(targets), 2)
        if self.fanout.is_certainly_not_run:
            self.assertEqual({}, ran)

    def test_seeds(self):
        for seed in range(300):
            self.run_schedule(seed)


class SuspectTests(FanoutTestCase):
    """A request that may crash targets reaches one at a time until one answers."""

    def make_suspect(self, **options) -> Fanout:
        fanout = self.make(**options)
        fanout.is_suspect = True
        return fanout

    def transmit(self, calls):
        for call in calls:
            self.fanout.note_transmitted(call)
        return calls

    def test_first_call_is_alone_and_its_answer_releases_the_others(self):
        fanout = self.make_suspect(shards=4, required=4)
        (canary,) = self.transmit(fanout.start(100.0))
        self.assertEqual([], fanout.on_timer(100.03))
        fanout.on_answer(canary, 100.04)
        self.assertLessEqual(fanout.due_at, 100.04)
        others = self.transmit(fanout.on_timer(100.04))
        self.assertEqual(
            [CallKind.FIRST] * 3, [call.kind for call in others], "not extra load"
        )
        for call in others:
            fanout.on_answer(call, 100.05)
        self.assertIs(Verdict.ANSWERED, fanout.get_verdict(100.05))

    def test_calls_that_crash_targets_are_not_repeated_while_others_are_in_flight(self):
        calls = self.start(shards=4, required=4)
        self.fanout.is_suspect = True
        for call in calls[:3]:
            self.assertEqual([], self.fanout.on_failure(call, Ran.UNKNOWN, 100.03))
        self.assertEqual([], self.fanout.on_timer(100.06))
        (canary,) = self.fanout.on_failure(calls[3], Ran.UNKNOWN, 100.07)
        self.assertEqual([], self.fanout.on_timer(100.1))
        self.assertEqual("s3", canary.shard)

    def test_calls_held_after_a_crash_follow_the_first_answer(self):
        calls = self.start(shards=4, required=4)
        self.fanout.is_suspect = True
        self.fanout.on_failure(calls[0], Ran.UNKNOWN, 100.03)
        self.fanout.on_answer(calls[1], 100.04)
        (retry,) = self.fanout.on_timer(100.04)
        self.assertEqual("s0", retry.shard)

    def test_suspect_request_is_not_hedged_before_an_answer(self):
        fanout = self.make_suspect(shards=1, required=1)
        self.transmit(fanout.start(100.0))
        self.assertEqual([], fanout.on_timer(100.04))

    def test_canary_at_a_silent_target_is_not_waited_for_long(self):
        fanout = self.make_suspect(shards=3, required=3)
        self.transmit(fanout.start(100.0))
        self.assertNotEqual([], fanout.on_timer(100.0 + 4.0 * 0.02 + 0.001))

    def test_canary_that_was_refused_is_sent_to_another_target(self):
        fanout = self.make_suspect(shards=2)
        (canary,) = self.transmit(fanout.start(100.0))
        (retry,) = fanout.on_failure(canary, Ran.NOT_RUN, 100.01)
        self.assertNotEqual(canary.target, retry.target)

    def test_quarantined_request_ends_at_once_without_further_calls(self):
        fanout = self.make_suspect(shards=3)
        (canary,) = self.transmit(fanout.start(100.0))
        fanout.is_quarantined = True
        self.assertIs(Verdict.QUARANTINED, fanout.get_verdict(100.01))
        self.assertEqual([], fanout.on_failure(canary, Ran.UNKNOWN, 100.02))
        self.assertEqual([], fanout.on_timer(100.03))
        self.assertFalse(fanout.is_certainly_not_run)

    def test_quarantined_request_without_a_transmitted_call_has_not_run(self):
        fanout = self.make_suspect(shards=3)
        fanout.start(100.0)
        fanout.is_quarantined = True
        self.assertTrue(fanout.is_certainly_not_run)


class DepartedCallerTests(FanoutTestCase):
    """Nothing is sent any more once the caller has left, whatever happens then."""

    def test_no_call_follows_any_event(self):
        events = (
            ("refused", lambda call: self.fanout.on_failure(call, Ran.NOT_RUN, 100.02)),
            ("failed", lambda call: self.fanout.on_failure(call, Ran.UNKNOWN, 100.02)),
            ("limited", lambda call: self.fanout.on_limited(call, 100.02)),
            ("moved", lambda call: self.fanout.on_misdirected(call, None, 100.02)),
            (
                "returned",
                lambda call: self.fanout.on_returned(call, Ran.NOT_RUN, 100.02),
            ),
        )
        for idempotent in (False, True):
            for name, event in events:
                (call,) = self.start(shards=1, required=1, idempotent=idempotent)
                self.fanout.note_caller_left()
                self.assertEqual([], event(call), name)
                self.assertEqual([], self.fanout.on_timer(100.9), name)
                verdict = self.fanout.get_verdict(100.02)
                self.assertIs(Verdict.CALLER_LEFT, verdict, name)

    def test_retry_that_waits_for_the_budget_is_not_sent(self):
        (call,) = self.start(
            shards=1, required=1, idempotent=False, bounds=NO_EXTRA_LOAD
        )
        self.assertEqual([], self.fanout.on_failure(call, Ran.NOT_RUN, 100.02))
        self.fanout.note_caller_left()
        self.assertIs(Verdict.CALLER_LEFT, self.fanout.get_verdict(100.02))
        self.assertTrue(self.fanout.is_certainly_not_run)

    def test_call_that_may_be_running_is_awaited_unless_it_may_run_again(self):
        for idempotent, verdict in ((True, Verdict.CALLER_LEFT), (False, Verdict.OPEN)):
            self.start(shards=1, required=1, idempotent=idempotent)
            self.fanout.note_caller_left()
            self.assertIs(verdict, self.fanout.get_verdict(100.02))
            self.assertEqual([], self.fanout.on_timer(100.9))
            self.assertFalse(self.fanout.is_certainly_not_run)

    def test_answer_after_the_caller_left_ends_the_request(self):
        (call,) = self.start(shards=1, required=1, idempotent=False)
        self.fanout.note_caller_left()
        self.fanout.on_answer(call, 100.5)
        self.assertIs(Verdict.ANSWERED, self.fanout.get_verdict(100.5))
