"""The deployment of the scenario "stops"."""

import re

import gevent
import gevent.socket

from .checks import GRACE_S
from .world import SoakTarget, SoakWorld

IDLE_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 400
QUERY = re.compile(rb"delay_ms=(\d+)&copies=(\d+)$")


class StopTarget(SoakTarget):
    """A target whose service time and answer size are those in the query."""

    def send(self, sock: gevent.socket.socket, request_id: str) -> bool:
        """Send the answer of the last request after the service time."""
        match = QUERY.search(self.requests[-1].target)
        delay_ms, copies = map(int, match.groups()) if match else (0, 1)
        gevent.sleep(delay_ms / 1_000)
        headers = self.make_headers(request_id)
        sock.sendall(self.encode(200, headers, self.body * copies))
        return True


class StopWorld(SoakWorld):
    """A deployment with long time limits of requests and a short idle timeout."""

    target_class = StopTarget

    def make_config(self) -> dict:
        """Return a configuration whose routes have the grace time as time limit."""
        config = super().make_config()
        for route in config["routes"]:
            route["timeout_ms"] = int(GRACE_S * 1_000)
        for service in config["services"]:
            service["max_conns"] = MAX_CONNECTIONS
        config["limits"]["idle_timeout_ms"] = int(IDLE_TIMEOUT_S * 1_000)
        return config
