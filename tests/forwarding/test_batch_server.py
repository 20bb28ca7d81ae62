"""Tests of batches that reach a process while it stops."""

import testtools

from sesameplank.core.batch_messages import BatchedAnswers, BatchedCalls
from sesameplank.core.clock import ManualClock
from sesameplank.core.outcomes import Ran
from sesameplank.forwarding.batch_server import BatchServer
from sesameplank.peers import PeerContext

TARGETS = ("s0a", "s1a", "s2b")


class RecordingLinks:
    """Records the messages that are sent to other VMs."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, BatchedAnswers]] = []

    def register(self, message_type, handler) -> None:
        """Ignore the handler, which the test calls itself."""

    def send(self, peer, message) -> None:
        """Record a message."""
        self.sent.append((peer, message))


class StoppingTests(testtools.TestCase):
    """The VM that sent a batch learns at once that its calls have not been made."""

    def test_batch_that_reaches_a_stopping_process_is_returned_as_not_run(self):
        links = RecordingLinks()
        counts = []
        server = BatchServer(
            links, ManualClock(5.0), *[None] * 5, counts.append, *[None] * 4
        )
        server.is_stopping = True
        calls = BatchedCalls(7, "r1", b"", b"", 5, 1_000, 100, TARGETS)
        server.on_calls(calls, PeerContext("vm2", 1, 0.0, float("inf")))
        ((peer, message),) = links.sent
        self.assertEqual(("vm2", 7), (peer, message.batch))
        self.assertEqual(
            [(0, Ran.NOT_RUN), (1, Ran.NOT_RUN), (2, Ran.NOT_RUN)],
            [(item.index, item.ran) for item in message.failures],
        )
        self.assertEqual({}, server.batches)
        self.assertEqual(["batches_returned"], counts)
