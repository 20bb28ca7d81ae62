"""Tests of the batches that a process serves for other VMs."""

import random

import testtools

from sesameplank.core.common.clock import ManualClock
from sesameplank.core.common.outcomes import FailureReason, Ran
from sesameplank.core.forwarding.batch_messages import (
    BatchedAnswers,
    BatchedCalls,
    BatchWithdrawal,
)
from sesameplank.core.forwarding.placement import Placement
from sesameplank.core.forwarding.target_reach import TargetReach
from sesameplank.core.published.target_table import TargetPhase, TargetRecord
from sesameplank.forwarding.batch_server import BatchServer
from sesameplank.forwarding.http_messages import Response
from sesameplank.forwarding.request_log import RequestLog
from sesameplank.peers import PeerContext
from sesameplank.platform.headers import PlatformDialect

from ..crash_guards import make_crash_guard

TARGETS = ("s0a", "s1a", "s2b")
CONTEXT = PeerContext("vm2", 1, 0.0, float("inf"))


class RecordingLinks:
    """Records the messages that are sent to other VMs."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, BatchedAnswers]] = []

    def register(self, message_type, handler) -> None:
        """Ignore the handler, which the test calls itself."""

    def send(self, peer, message) -> bool:
        """Record a message."""
        self.sent.append((peer, message))
        return True


class Targets:
    """The listed targets, and a pool for all of them that only holds the calls."""

    def __init__(self) -> None:
        self.revision = 1
        self.exchanges = []
        self.looked_for = []

    def find_ready(self, target) -> TargetRecord:
        """Return the record of a target."""
        return TargetRecord(
            target, target[:2], "10.0.0.1:80", "dc", 2, TargetPhase.READY
        )

    def get_pool(self, record) -> "Targets":
        """Return this object as the pool."""
        return self

    def submit(self, exchange) -> None:
        """Hold a call."""
        exchange.pool = self
        self.exchanges.append(exchange)

    def release(self, exchange) -> None:
        """Forget a call."""
        self.exchanges.remove(exchange)

    def find_connection(self, exchange) -> None:
        """Record for which call a connection is looked for; there is none."""
        self.looked_for.append(exchange)


class BatchServerTestCase(testtools.TestCase):
    """Makes a server whose calls the test ends."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(5.0)
        self.links = RecordingLinks()
        self.targets = Targets()
        self.counts: list[str] = []
        rng = random.Random(1)
        reach = TargetReach(rng, self.clock.now())
        self.server = BatchServer(
            self.links,
            self.clock,
            PlatformDialect(),
            self.targets,
            Placement("dc", rng),
            self.targets,
            None,
            self.counts.append,
            lambda call: None,
            reach,
            make_crash_guard(self.clock, reach),
            lambda: 0.0,
            RequestLog(self.clock),
        )

    def serve(self, *, context: PeerContext = CONTEXT, **changes) -> None:
        """Serve a batch of one call to each target."""
        calls = BatchedCalls(7, "r1", b"", b"", 5, 60_000, 100, TARGETS, **changes)
        self.server.on_calls(calls, context)

    def answer(self, exchange) -> None:
        """End a call with a successful response."""
        response = Response()
        response.status = 200
        response.add(b"X-Server-Stamp", b"stamp")
        exchange.finish(response)

    def get_messages(self) -> list[BatchedAnswers]:
        """Return the messages to the VM of the batch."""
        return [message for peer, message in self.links.sent if peer == "vm2"]


class StoppingTests(BatchServerTestCase):
    """The VM that sent a batch learns at once that its calls have not been made."""

    def test_batch_that_reaches_a_stopping_process_is_returned_as_not_run(self):
        self.server.is_stopping = True
        self.serve()
        (message,) = self.get_messages()
        self.assertEqual(7, message.batch)
        self.assertEqual(
            [(0, Ran.NOT_RUN), (1, Ran.NOT_RUN), (2, Ran.NOT_RUN)],
            [(item.index, item.ran) for item in message.failures],
        )
        self.assertEqual({}, self.server.batches)
        self.assertEqual(["batches_returned"], self.counts)


class OverdueTests(BatchServerTestCase):
    """Guards against calls of a batch that waited on a link until its caller left."""

    def test_batch_over_which_its_caller_may_have_left_is_returned_as_not_run(self):
        for age_s, calls in ((0.3, 3), (0.45, 0), (0.6, 0), (2.0, 0)):
            self.targets.exchanges.clear()
            self.links.sent.clear()
            context = PeerContext("vm2", 1, age_s, float("inf"))
            self.serve(context=context)
            self.assertEqual(calls, len(self.targets.exchanges), age_s)
            returned = [
                item.ran for message in self.get_messages() for item in message.failures
            ]
            self.assertEqual([Ran.NOT_RUN] * (len(TARGETS) - calls), returned, age_s)


class WithdrawalTests(BatchServerTestCase):
    """A VM whose caller has left takes back what no target has got yet."""

    def test_calls_that_no_target_has_got_are_returned(self):
        self.serve(wants_responses=True, is_idempotent=False)
        sent, *waiting = self.targets.exchanges
        sent.is_transmitted = True
        self.server.on_withdrawal(BatchWithdrawal(7), CONTEXT)
        (message,) = self.get_messages()
        self.assertEqual(
            [(1, Ran.NOT_RUN), (2, Ran.NOT_RUN)],
            [(item.index, item.ran) for item in message.failures],
        )
        self.assertEqual([sent], self.targets.exchanges)
        self.assertEqual([sent], self.targets.looked_for)
        self.assertEqual(1, len(self.server.batches))
        self.answer(sent)
        self.assertEqual({}, self.server.batches)
        self.assertEqual(1, len(self.get_messages()[-1].responses))

    def test_batch_of_which_no_target_has_got_a_call_ends(self):
        self.serve(wants_responses=True, is_idempotent=False)
        self.server.on_withdrawal(BatchWithdrawal(7), CONTEXT)
        self.assertEqual({}, self.server.batches)
        self.assertEqual([], self.targets.exchanges)

    def test_batches_of_others_are_kept(self):
        self.serve()
        other = PeerContext("vm3", 1, 0.0, float("inf"))
        for message, context in (
            (BatchWithdrawal(8), CONTEXT),
            (BatchWithdrawal(7), other),
        ):
            self.server.on_withdrawal(message, context)
        self.assertEqual(3, len(self.targets.exchanges))


class WholeResponseTests(BatchServerTestCase):
    """Calls whose responses are returned whole, and not merged."""

    def test_batch_ends_with_its_last_call_whatever_the_outcomes(self):
        for failures in range(len(TARGETS) + 1):
            self.serve(wants_responses=True)
            exchanges, self.targets.exchanges = self.targets.exchanges, []
            for exchange in exchanges[failures:]:
                self.answer(exchange)
            for exchange in exchanges[:failures]:
                exchange.fail(FailureReason.RESET)
            self.assertEqual({}, self.server.batches, failures)

    def test_calls_given_up_for_lost_links_are_returned(self):
        self.serve(wants_responses=True)
        sent, waiting, _ = self.targets.exchanges
        sent.is_transmitted = True
        for exchange in (sent, waiting):
            exchange.fail(FailureReason.UNREACHED)
        outcomes = [
            (item.reason, item.ran)
            for message in self.get_messages()
            for item in message.failures
        ]
        self.assertEqual(
            [
                (FailureReason.CANCELLED, Ran.UNKNOWN),
                (FailureReason.CANCELLED, Ran.NOT_RUN),
            ],
            outcomes,
        )
