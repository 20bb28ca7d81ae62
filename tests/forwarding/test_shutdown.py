"""Tests of the steps of a graceful shutdown, with stand-ins for what it stops."""

import testtools

from sesameplank.core.common.clock import SystemClock
from sesameplank.forwarding.answer_accounts import StopTotals
from sesameplank.forwarding.loop_delay import LoopDelay
from sesameplank.forwarding.shutdown import Shutdown

from ..failing_membership import make_failing_membership_service

TIMEOUT_S = 1.0


class StandInServer:
    """A server with one connection, which closes when it is found idle."""

    def __init__(self) -> None:
        self.is_stopping = False
        self.is_accepting = True
        self.connections = {"connection"}
        self.accounts = self
        self.stop_totals = StopTotals()
        self.in_flight = self.pending = 0

    def count_unaccepted(self) -> int:
        """Return that no connection waits."""
        return 0

    def stop_accepting(self) -> None:
        """Record that connections are not accepted any more."""
        self.is_accepting = False

    def close_idle(self) -> None:
        """Close the connection."""
        self.connections.clear()

    def refuse_incomplete(self) -> None:
        """Do nothing: no request is incomplete."""


class StandInForwarder:
    """Fails to bound its requests if `error` is set."""

    def __init__(self, error: Exception | None) -> None:
        self.error = error
        self.stop = None

    def begin_stop(self, stop) -> None:
        """Record the schedule."""
        if self.error is not None:
            raise self.error
        self.stop = stop


class StandInBatchServer:
    """A server of batches without any batch."""

    def __init__(self) -> None:
        self.is_stopping = False
        self.batches = {}

    def return_all(self) -> None:
        """Do nothing: there is no batch."""


class ShutdownTests(testtools.TestCase):
    """A process ends its connections whatever goes wrong on the way."""

    def stop(self, error: Exception | None = None) -> Shutdown:
        """Run a shutdown to its end, and return it."""
        shutdown = Shutdown(
            SystemClock(),
            TIMEOUT_S,
            StandInServer(),
            StandInForwarder(error),
            StandInBatchServer(),
            make_failing_membership_service(),
            LoopDelay(0.1),
        )
        shutdown.other_servers.append(StandInServer())
        shutdown.request()
        shutdown.wait()
        return shutdown

    def test_failing_steps_leave_no_connection_open(self):
        for error in (None, ValueError("a step failed")):
            with self.subTest(error=error):
                shutdown = self.stop(error)
                for server in (shutdown.server, *shutdown.other_servers):
                    self.assertEqual(set(), server.connections)
                    self.assertFalse(server.is_accepting)
                    self.assertTrue(server.is_stopping)
                self.assertTrue(shutdown.batch_server.is_stopping)

    def test_second_request_changes_nothing(self):
        shutdown = self.stop()
        schedule = shutdown.schedule
        shutdown.request()
        self.assertIs(schedule, shutdown.schedule)
