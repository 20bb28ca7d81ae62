"""Tests that a change is in force in time although links between processes are slow."""

import random
import signal
from typing import ClassVar

import gevent

from sesameplank.core.membership.homes import rank
from sesameplank.core.membership.reader_election import ELECTION_KEY, READERS
from sesameplank.net import Address
from sesameplank.published.follower import WATCH_WAIT_S
from sesameplank.standins.proxy import FaultProxy, Faults

from .front_world import FrontProcess, FrontTestCase, make_request

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

    def slow_down(self) -> None:
        """Delay all links between processes, and wait for a steady state."""
        self.wait_for_members()
        for proxy in self.proxies:
            proxy.set_faults(Faults(delay_s=ONE_WAY_DELAY_S))
        gevent.sleep(STABLE_S)

    def get_readers(self) -> list[FrontProcess]:
        """Return the processes that read the store."""
        readers = rank(ELECTION_KEY, [front.host for front in self.fronts])[:READERS]
        return [front for front in self.fronts if front.host in readers]

    def assert_change_is_in_force_in_time(self) -> None:
        """Publish a change, and assert that those that don't read use it when due."""
        readers = self.get_readers()
        others = [n for n, front in enumerate(self.fronts) if front not in readers]
        self.add_route(5)
        gevent.sleep(DUE_S)
        statuses = [
            self.request(make_request("/added5/x", f"added{number}-{front}"), front)
            for number in range(3)
            for front in others
        ]
        self.assertEqual({200}, {item.status for item in statuses})

    def test_change_is_in_force_in_time_after_the_readers_froze_on_slow_links(self):
        self.slow_down()
        for front in self.get_readers():
            front.process.send_signal(signal.SIGSTOP)
        self.assert_change_is_in_force_in_time()

    def test_change_is_in_force_in_time_while_the_readers_wait_for_the_store(self):
        self.slow_down()
        self.store.silent_hosts = {front.host for front in self.get_readers()}
        gevent.sleep(WATCH_WAIT_S)  # The watches that wait are answered till then.
        self.assert_change_is_in_force_in_time()
