"""Tests of the registry of bookings."""

import hypothesis.strategies as st
import testtools
from hypothesis import settings
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from sesameplank.core.bookings.bookings import (
    BookingLimits,
    BookingOutcome,
    BookingRegistry,
    KeyState,
    Verdict,
)
from sesameplank.core.bookings.writers import BookingKey
from sesameplank.core.common.outcomes import Ran
from sesameplank.core.search.messages import BookingResult

LIMITS = BookingLimits(writers=3, keys=4, open_s=10.0, keep_s=30.0)
RAN = BookingOutcome(BookingResult.ACCEPTED, 7, 1)
BODY, OTHER_BODY = b"body", b"other"


def make_registry(limits=LIMITS, incarnation=1):
    """Return an empty registry of an entry."""
    return BookingRegistry("entry-00", incarnation, limits)


class BookingRegistryTests(testtools.TestCase):
    """A key runs at most once, and its reported status is true."""

    def setUp(self):
        super().setUp()
        self.registry = make_registry()
        self.key = BookingKey(self.registry.issue(0.0), "a")

    def begin(self, key=None, body=BODY, now=0.0):
        return self.registry.begin(key or self.key, body, now).verdict

    def test_second_arrival_joins_the_first(self):
        self.assertEqual([Verdict.RUN, Verdict.JOIN], [self.begin() for _ in range(2)])

    def test_retry_after_the_end_gets_the_outcome(self):
        table = [
            (Ran.ANSWERED, RAN, Verdict.ANSWERED),
            (Ran.UNKNOWN, None, Verdict.UNKNOWN),
            (Ran.NOT_RUN, None, Verdict.RUN),
        ]
        for number, (ran, outcome, verdict) in enumerate(table):
            key = BookingKey(self.key.writer, f"k{number}")
            self.begin(key)
            self.registry.finish(key, ran, outcome)
            self.assertIs(verdict, self.begin(key))

    def test_same_key_with_another_body_conflicts(self):
        self.begin()
        self.assertIs(Verdict.CONFLICT, self.begin(body=OTHER_BODY))

    def test_key_of_another_incarnation_is_not_run(self):
        restarted = make_registry(incarnation=2)
        restarted.issue(0.0)
        verdict = restarted.begin(self.key, BODY, 0.0).verdict
        self.assertIs(Verdict.OTHER_ISSUER, verdict)

    def test_key_of_a_writer_never_issued_is_not_run(self):
        writer = self.key.writer
        for number in (0, 2):
            key = BookingKey(type(writer)(writer.entry, 1, number), "a")
            self.assertIs(Verdict.NEVER_ISSUED, self.begin(key))

    def test_full_registry_refuses_new_keys_and_keeps_the_old(self):
        for number in range(LIMITS.keys):
            self.begin(BookingKey(self.key.writer, f"k{number}"))
        self.assertIs(Verdict.FULL, self.begin())
        self.assertIs(Verdict.JOIN, self.begin(BookingKey(self.key.writer, "k0")))

    def test_no_writer_is_issued_at_the_limit_until_one_is_evicted(self):
        for _ in range(LIMITS.writers - 1):
            self.assertIsNotNone(self.registry.issue(1.0))
        self.assertIsNone(self.registry.issue(LIMITS.keep_s - 1))
        self.assertEqual(1.0, self.registry.get_eviction_wait_s(LIMITS.keep_s - 1))
        self.assertIsNotNone(self.registry.issue(LIMITS.keep_s))

    def test_verdict_by_age_of_the_writer(self):
        self.begin()
        self.registry.finish(self.key, Ran.ANSWERED, RAN)
        fresh = BookingKey(self.key.writer, "fresh")
        table = [
            (LIMITS.open_s, self.key, Verdict.ANSWERED),
            (LIMITS.open_s, fresh, Verdict.WRITER_CLOSED),
            (LIMITS.keep_s, self.key, Verdict.WRITER_FORGOTTEN),
            (LIMITS.keep_s, fresh, Verdict.WRITER_FORGOTTEN),
        ]
        for now, key, verdict in table:
            self.assertIs(verdict, self.begin(key, now=now))

    def test_writer_with_a_running_key_is_not_evicted(self):
        self.begin()
        self.assertIs(Verdict.JOIN, self.begin(now=LIMITS.keep_s + 1))

    def test_look_up_returns_the_state(self):
        self.assertIsNone(self.registry.look_up(self.key, 0.0).state)
        self.begin()
        self.assertIs(KeyState.RUNNING, self.registry.look_up(self.key, 0.0).state)
        self.registry.finish(self.key, Ran.ANSWERED, RAN)
        status = self.registry.look_up(self.key, 0.0)
        self.assertEqual((KeyState.ANSWERED, RAN), (status.state, status.outcome))

    def test_closed_key_never_runs(self):
        status = self.registry.close_key(self.key, 0.0)
        self.assertIs(KeyState.CLOSED, status.state)
        self.assertIs(Verdict.KEY_CLOSED, self.begin())

    def test_closing_a_key_that_runs_changes_nothing(self):
        self.begin()
        status = self.registry.close_key(self.key, 0.0)
        self.assertIs(KeyState.RUNNING, status.state)


CERTAINLY_NOT_RUN = {Verdict.FULL, Verdict.WRITER_CLOSED, Verdict.NEVER_ISSUED}


class Interleavings(RuleBasedStateMachine):
    """Two entries, a caller that sends to either, and an unreliable network.

    A request may be sent to either entry and arrive late, twice or never. A call
    to the target may run late or be lost, and so may its answer. An entry may
    restart, or pause while time passes. The ledger counts the runs of each key.
    """

    keys = Bundle("keys")
    requests = Bundle("requests")
    calls = Bundle("calls")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.incarnations = 2
        self.registries = [BookingRegistry(f"e{i}", i, LIMITS) for i in range(2)]
        self.ledger = {}
        self.pending = set()
        self.closed = set()

    def get_issuer(self, key):
        """Return the registry of the entry that issued the key's writer id."""
        return self.registries[int(key.writer.entry[1:])]

    @rule(target=keys, entry=st.sampled_from((0, 1)), name=st.sampled_from("ab"))
    def draw_key(self, entry, name):
        writer = self.registries[entry].issue(self.now)
        return BookingKey(writer, name) if writer else None

    @rule(target=requests, key=keys, entry=st.sampled_from((0, 1)))
    def send(self, key, entry):
        return (key, entry)

    @rule(target=calls, request=requests, body=st.sampled_from((BODY, OTHER_BODY)))
    def arrive(self, request, body):
        key, entry = request
        if key is None:
            return None
        registry = self.registries[entry]
        verdict = registry.begin(key, body, self.now).verdict
        if verdict is Verdict.OTHER_ISSUER:
            registry = self.get_issuer(key)
            verdict = registry.begin(key, body, self.now).verdict
        if verdict is Verdict.RUN:
            call = [key, registry, False]
            self.pending.add(key)
            return call
        if verdict in CERTAINLY_NOT_RUN:
            assert key not in self.ledger
            assert key not in self.pending
        if verdict is Verdict.ANSWERED:
            assert self.ledger[key] == 1
        return None

    @rule(call=calls)
    def run_at_target(self, call):
        if call is None or call[2]:
            return
        call[2] = True
        self.ledger[call[0]] = self.ledger.get(call[0], 0) + 1

    @rule(call=calls, ran=st.sampled_from((Ran.ANSWERED, Ran.UNKNOWN, Ran.NOT_RUN)))
    def end_call(self, call, ran):
        if call is None or call[1] is None:
            return
        key, registry, has_run = call
        if (ran is Ran.ANSWERED) > has_run or (ran is Ran.NOT_RUN and has_run):
            return
        registry.finish(key, ran, RAN if ran is Ran.ANSWERED else None)
        call[1] = None
        if ran is Ran.NOT_RUN:
            call[2] = True
            self.pending.discard(key)

    @rule(key=keys)
    def close(self, key):
        if key is None:
            return
        status = self.get_issuer(key).close_key(key, self.now)
        if status.state is KeyState.CLOSED:
            assert key not in self.ledger
            assert key not in self.pending
            self.closed.add(key)

    @rule(entry=st.sampled_from((0, 1)))
    def restart(self, entry):
        self.registries[entry] = BookingRegistry(f"e{entry}", self.incarnations, LIMITS)
        self.incarnations += 1

    @rule(seconds=st.sampled_from((1.0, 9.0, 31.0)))
    def pass_time(self, seconds):
        self.now += seconds

    @invariant()
    def every_key_ran_at_most_once(self):
        assert all(count == 1 for count in self.ledger.values())

    @invariant()
    def closed_keys_never_ran(self):
        assert not self.closed & set(self.ledger)

    @invariant()
    def registry_is_bounded_and_counted(self):
        for registry in self.registries:
            held = sum(len(writer.keys) for writer in registry.writers.values())
            assert held == registry.key_count <= LIMITS.keys
            assert len(registry.writers) <= LIMITS.writers


InterleavingTests = Interleavings.TestCase
InterleavingTests.settings = settings(max_examples=200, stateful_step_count=40)
