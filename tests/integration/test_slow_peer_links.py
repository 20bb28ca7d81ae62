"""Tests that a change is in force in time although links between processes are slow."""

import random
import signal
import time
from typing import ClassVar

from sesameplank.core.membership.homes import rank
from sesameplank.core.membership.reader_election import ELECTION_KEY, READERS
from sesameplank.net import Address
from sesameplank.standins.proxy import FaultProxy, Faults

from .front_world import FrontTestCase, make_config, make_request

CONTROL_PORT = 8106
PROXY_PORT = 9106
ONE_WAY_DELAY_S = 0.3
STABLE_S = 5.0
DUE_S = 3.2  # After the acknowledgement of a change: the bound of 3 s, and a margin.


class SlowPeerLinkTests(FrontTestCase):
    """Guards against processes that confirm an old view to each other."""

    front_count = 5
    peer_settings: ClassVar[dict[str, object]] = {
        "seed_port": PROXY_PORT,
        "seeds": range(1, front_count + 1),
    }

    def prepare(self) -> None:
        """Start a proxy in front of each process, through which its peers connect."""
        self.proxies = []
        for number in range(1, self.front_count + 1):
            host = f"{self.block}.1.{number}"
            self.proxies.append(
                self.enterContext(
                    FaultProxy(
                        Address(host, PROXY_PORT),
                        Address(host, CONTROL_PORT),
                        random.Random(number),
                    )
                )
            )

    def freeze_readers(self) -> list[int]:
        """Freeze the processes that read the store; return the numbers of the others.

        The frozen ones hold their connections, so that nothing tells that they stopped.
        """
        hosts = [front.host for front in self.fronts]
        readers = rank(ELECTION_KEY, hosts)[:READERS]
        for front in self.fronts:
            if front.host in readers:
                front.process.send_signal(signal.SIGSTOP)
        return [n for n, host in enumerate(hosts) if host not in readers]

    def publish_route(self, version: int) -> None:
        """Publish a version that adds a route, to a service with a new target."""
        service = f"added{version}"
        self.add_target(f"{service}a", service)
        document = make_config(version)
        added = {**document["routes"][1], "name": service, "prefix": f"/{service}/"}
        document["routes"].append({**added, "service": service})
        self.store.put_config(document)

    def test_change_is_in_force_in_time_after_the_readers_froze_on_slow_links(self):
        self.wait_for_members()
        for proxy in self.proxies:
            proxy.set_faults(Faults(delay_s=ONE_WAY_DELAY_S))
        time.sleep(STABLE_S)
        others = self.freeze_readers()
        self.publish_route(5)
        time.sleep(DUE_S)
        statuses = [
            self.request(make_request("/added5/x", f"added{number}-{front}"), front)
            for number in range(3)
            for front in others
        ]
        self.assertEqual({200}, {item.status for item in statuses})
