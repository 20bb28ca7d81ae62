"""Tests of requests that come until the end of an entry's stop, with real processes.

Guards against requests of the own interface that are taken late in a stop, sent on, and
cut off without an answer at its end. Operators of another system saw such requests.
"""

import itertools
import socket
import time

import gevent

from sesameplank.core.bookings.writers import SEPARATOR

from ..callers.raw_http import GOOD_BODY, RawResponse, make_post
from .test_entry_stops import FLAGS, RELAY_FLAGS, EntryStopTestCase

TAKING, OTHER = 0, 1  # Callers use the first entry.
CALLERS = 2  # Of each kind of request and of connection.
PAUSE_S = 0.02
LOADED_S = 0.5  # Before the stop.
SHORT_FACTOR = 60.0  # A booking then takes about 0.4 s.
LONG_FACTOR = 250.0  # It takes longer than the time to finish it.
UNANSWERED = "no answer"


class LateEntryRequestTests(EntryStopTestCase):
    """Each request that was sent on is answered; none that is "not run" has run."""

    def start_entries(self, count: int, *flags: str) -> None:
        """Start entries, and wait until each one knows the others."""
        self.start_fleet(count, *flags)
        self.wait_for_views([self.fleet.entries])
        self.entry = self.fleet.entries[TAKING]
        self.outcomes: dict[str, str] = {}
        self.lost_searches: list[float] = []
        self.kept: set[socket.socket] = set()  # Those that may be used again.
        self.late_answers = 0
        self.stopped_at = float("inf")
        self.numbers = itertools.count()

    def set_factor(self, factor: float) -> None:
        """Make every call take that many times as long."""
        for target in self.world.targets.values():
            target.slow_factor = factor

    def get_outcome(self, payload: bytes, sock: socket.socket) -> tuple[str, bool]:
        """Send a request; return what its answer says, and whether others may follow.

        That is `ran` of a refusal, or "answered".
        """
        try:
            sock.sendall(payload)
            answer = RawResponse(sock.makefile("rb"))
        except (OSError, IndexError):
            return UNANSWERED, False
        self.late_answers += time.monotonic() > self.stopped_at
        ran = "answered" if answer.status == 200 else answer.problem["ran"]
        may_follow = answer.headers.get("connection") != "close"
        if may_follow:
            self.kept.add(sock)
        return ran, may_follow

    def book(self, sock) -> bool:
        """Send a booking under a new key; return whether others may follow."""
        key = f"{self.writer}{SEPARATOR}late{next(self.numbers)}"
        self.outcomes[key], may_follow = self.get_outcome(self.make_booking(key), sock)
        return may_follow

    def search(self, sock) -> bool:
        """Send a search; return whether others may follow.

        The entry may close a new connection without having read the request.
        """
        outcome, may_follow = self.get_outcome(make_post(GOOD_BODY), sock)
        if outcome is UNANSWERED and sock in self.kept:
            self.lost_searches.append(time.monotonic() - self.stopped_at)
        return may_follow

    def call_repeatedly(self, send, *, keeps: bool) -> None:
        """Send requests one after the other, until the entry accepts none."""
        while True:
            try:
                sock = self.connect()
            except OSError:
                return
            with sock:
                while send(sock) and keeps:
                    gevent.sleep(PAUSE_S)
            gevent.sleep(PAUSE_S)

    def stop_under_requests(self, stopping, issuer) -> None:
        """Stop an entry under requests, and check what became of each of them."""
        self.writer = self.make_key(issuer).rpartition(SEPARATOR)[0]
        callers = [
            gevent.spawn(self.call_repeatedly, self.book, keeps=keeps)
            for keeps in (True, False)
            for _ in range(CALLERS)
        ]
        callers += [
            gevent.spawn(self.call_repeatedly, self.search, keeps=True)
            for _ in range(CALLERS)
        ]
        gevent.sleep(LOADED_S)
        taking, self.entry = self.entry, stopping
        self.stop_entry()
        self.entry = taking
        self.assertEqual(0, stopping.wait(60))
        gevent.sleep(LOADED_S)
        gevent.killall(callers)
        self.check()

    def check(self) -> None:
        """Check the outcome of each booking against what the targets have run."""
        runs = self.world.stores["order-desk"].run_counts
        self.assertEqual({}, {key: n for key, n in runs.items() if n > 1})
        wrong = {
            key: outcome
            for key, outcome in self.outcomes.items()
            if runs.get(key, 0) and outcome in (UNANSWERED, "not_run")
        }
        self.assertEqual({}, wrong)
        self.assertEqual([], self.lost_searches)
        self.assertGreater(self.late_answers, 0)

    def test_direct_calls(self):
        self.start_entries(1, *FLAGS)
        self.stop_under_requests(self.entry, self.entry)

    def test_slow_direct_calls(self):
        for factor in (SHORT_FACTOR, LONG_FACTOR):
            with self.subTest(factor=factor):
                self.start_entries(1, *FLAGS)
                self.set_factor(factor)
                self.stop_under_requests(self.entry, self.entry)

    def test_bookings_that_are_forwarded_to_their_issuer(self):
        for stopping in (TAKING, OTHER):
            with self.subTest(stopping=stopping):
                self.start_entries(2, *FLAGS)
                self.set_factor(SHORT_FACTOR)
                entries = self.fleet.entries
                self.stop_under_requests(entries[stopping], entries[OTHER])

    def test_calls_over_the_connections_of_another_entry(self):
        for stops_home in (False, True):
            with self.subTest(stops_home=stops_home):
                self.start_entries(3, *RELAY_FLAGS)
                home, self.entry = self.find_home(self.find_booked_target())
                self.set_factor(SHORT_FACTOR)
                stopping = home if stops_home else self.entry
                self.stop_under_requests(stopping, self.entry)
