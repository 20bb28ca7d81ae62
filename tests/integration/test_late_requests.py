"""Tests of requests that come until the end of a planned stop, with real processes.

Guards against requests that are taken late in a stop, passed on, and cut off without an
answer at its end. Operators of another system saw such requests.
"""

import itertools
import signal
import time
from collections.abc import Callable

import gevent

from sesameplank.standins.front_targets import LinkFault

from .front_world import FrontTestCase, RawConnection, make_config, make_request

SINGLE_TARGETS = ("singlea", "singleb")
TAKING, OTHER, THIRD = 0, 1, 2  # Callers use the first process.
CALLERS = 3  # Of each kind of connection and of request.
PAUSE_S = 0.02
DEADLINE_MS = 2_500
FREEZE_S = 0.5
CHANGES = 4
PATHS = (("/book/x", "POST"), ("/one/x", "GET"))


class LateRequestTests(FrontTestCase):
    """Each request that a target has got is answered, and none refused has run."""

    front_count = 3
    grace_s = 4.0

    def setUp(self):
        super().setUp()
        self.wait_for_members()
        self.outcomes: dict[str, int | str] = {}
        self.sent_at: dict[str, float] = {}
        self.terminated_at = float("inf")
        self.numbers = itertools.count()

    def lose_links(self) -> None:
        """Cut the process that takes the requests off from all targets."""
        for target in self.targets.values():
            target.lose_link(self.fronts[TAKING].host, LinkFault.HANG)
        self.wait_for_state(TAKING, lambda state: state["gauges"]["targets_lost"] == 1)

    def set_delay(self, delay_s: float) -> None:
        """Set how long the targets take."""
        for name in SINGLE_TARGETS:
            self.targets[name].delay_s = delay_s

    def send(self, client: RawConnection, path: str, method: str) -> bool:
        """Send a request, note its outcome, and return whether it was answered."""
        request_id = f"late{next(self.numbers)}"
        self.outcomes[request_id] = "sent"
        self.sent_at[request_id] = time.monotonic()
        try:
            data = make_request(path, request_id, DEADLINE_MS, method)
            answer = client.request(data)
        except OSError as error:
            self.outcomes[request_id] = repr(error)
            return False
        self.outcomes[request_id] = answer.status
        return answer.keep_alive

    def call_repeatedly(self, path: str, method: str, *, keeps: bool) -> None:
        """Send requests one after the other, until the process accepts none."""
        address = self.fronts[TAKING].caller_address
        while True:
            try:
                client = RawConnection(address)
            except OSError:
                return
            with client:
                while self.send(client, path, method) and keeps:
                    gevent.sleep(PAUSE_S)
            gevent.sleep(PAUSE_S)

    def stop(self, stopping: int, beside: Callable[[], None] = lambda: None) -> None:
        """Stop a process under requests, and check what became of each of them."""
        callers = [
            gevent.spawn(self.call_repeatedly, path, method, keeps=keeps)
            for path, method in PATHS
            for keeps in (True, False)
            for _ in range(CALLERS)
        ]
        gevent.sleep(0.5)
        self.terminated_at = time.monotonic()
        killed_at = self.terminated_at + self.grace_s
        self.terminate(self.fronts[stopping])
        beside()
        process = self.fronts[stopping].process
        self.wait_for(lambda: process.poll() is not None, "the end of the process")
        self.assertEqual(0, process.poll())
        self.assertLess(time.monotonic(), killed_at)
        gevent.sleep(0.5)
        gevent.killall(callers)
        self.check()

    def check(self) -> None:
        """Check that what ran is answered, and what is refused has not run."""
        runs = [
            item for name in SINGLE_TARGETS for item in self.targets[name].executed_ids
        ]
        wrong = {
            request_id: outcome
            for request_id, outcome in self.outcomes.items()
            if request_id in runs and (outcome == 503 or isinstance(outcome, str))
            if outcome != "sent"
        }
        self.assertEqual({}, wrong)
        late = {
            request_id
            for request_id, sent_at in self.sent_at.items()
            if sent_at > self.terminated_at
        }
        self.assertGreater(len(late & set(runs)), 0)

    def test_direct_calls(self):
        self.set_delay(0.3)
        self.stop(TAKING)

    def test_slow_direct_calls(self):
        self.set_delay(1.5)
        self.stop(TAKING)

    def test_calls_through_others(self):
        self.lose_links()
        self.set_delay(0.3)
        self.stop(TAKING)

    def test_slow_calls_through_others(self):
        self.lose_links()
        self.set_delay(1.5)
        self.stop(TAKING)

    def test_stop_of_a_process_that_makes_calls_for_others(self):
        self.lose_links()
        self.set_delay(0.3)
        self.stop(OTHER)

    def test_links_lost_during_the_stop(self):
        self.set_delay(0.3)

        def lose_links() -> None:
            gevent.sleep(1.0)
            for target in self.targets.values():
                target.lose_link(self.fronts[TAKING].host, LinkFault.REFUSE)

        self.stop(TAKING, lose_links)

    def test_changes_during_the_stop(self):
        self.set_delay(0.3)

        def change() -> None:
            for version in range(5, 5 + CHANGES):
                self.store.put_config(make_config(version))
                gevent.sleep(self.grace_s / CHANGES / 2)

        self.stop(TAKING, change)

    def test_freeze_during_the_stop(self):
        self.set_delay(0.3)

        def freeze() -> None:
            gevent.sleep(1.0)
            process = self.fronts[TAKING].process
            process.send_signal(signal.SIGSTOP)
            gevent.sleep(FREEZE_S)
            process.send_signal(signal.SIGCONT)

        self.stop(TAKING, freeze)
