"""Tests that the client library's connections never resend a request."""

import testtools

from sesameplank.client.connections import Connections
from sesameplank.exceptions import CallError

from ..targets.test_pool import LONG_S, Act, ScriptedServer


class ConnectionsTests(testtools.TestCase):
    """A broken exchange has an unknown outcome, and its request was sent once."""

    def test_broken_exchange_is_unknown_and_never_resent(self):
        for act in (Act.CLOSE, Act.RESET, Act.CUT_HEAD, Act.CUT_BODY):
            for earlier in (0, 1):
                acts = [Act.ANSWER] * earlier + [act, Act.ANSWER]
                server = self.enterContext(ScriptedServer(acts))
                connections = Connections("order-desk")
                self.addCleanup(connections.close)
                for _ in range(earlier):
                    self.call(connections, server.address)
                error = self.assertRaises(
                    CallError, self.call, connections, server.address
                )
                self.assertEqual(
                    ("unknown", earlier + 1), (error.ran, server.requests), act
                )

    def test_refused_connection_is_not_run(self):
        with ScriptedServer([]) as server:
            address = server.address
        connections = Connections("order-desk")
        error = self.assertRaises(CallError, self.call, connections, address)
        self.assertEqual("not_run", error.ran)

    def call(self, connections, address):
        """Send one booking."""
        return connections.call(
            address, "POST", "/", b"{}", {"X-Request-Id": "r1"}, LONG_S
        )
