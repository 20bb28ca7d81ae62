"""The booking half of the client library."""

import time
from collections import deque
from urllib.parse import quote

import gevent
import msgspec

from ..core.messages import (
    BookingAnswer,
    BookingRequest,
    BookingState,
    BookingStatus,
    WriterAnswer,
)
from ..core.outcomes import Ran
from ..core.writers import SEPARATOR
from ..exceptions import CallError
from ..ids import IdempotencyKey
from ..net import Address
from .addresses import AddressCache
from .connections import Connections
from .retries import BookingAttempts, NextStep
from .seen import SeenSnapshots

FIRST_PAUSE_S = 0.01
MAX_PAUSE_S = 0.2
OPEN_SHARE = 0.8
WRITER_TIMEOUT_S = 1.0
SETTLE_MS = 300
SETTLE_PAUSE_S = 0.02


class Bookings:
    """Sends each booking under one idempotency key until its outcome is known.

    Keys begin with a writer id, which this object takes at an entry and
    renews. A key may be sent again at any time and at any entry.
    """

    def __init__(
        self, connections: Connections, address_cache: AddressCache, seen: SeenSnapshots
    ) -> None:
        self.connections = connections
        self.address_cache = address_cache
        self.seen = seen
        self.writer = ""
        self.writer_until = 0.0
        self.issuers: dict[str, Address] = {}
        self.count = 0

    def make_key(self, deadline_ms: int) -> IdempotencyKey:
        """Return a new key, or raise CallError when no entry issues a writer id."""
        if time.monotonic() >= self.writer_until:
            self.take_writer(time.monotonic() + deadline_ms / 1_000)
        self.count += 1
        return IdempotencyKey(f"{self.writer}{SEPARATOR}{self.count}")

    def take_writer(self, give_up_at: float) -> None:
        """Take a writer id at the first entry that issues one.

        An entry that is late is asked again while half of the time is left.
        """
        repeat_until = (time.monotonic() + give_up_at) / 2
        error = CallError(
            "no entry could be reached", kind="unreachable", ran="not_run"
        )
        candidates = deque(self.get_candidates())
        while candidates:
            address = candidates.popleft()
            asked_at = time.monotonic()
            if asked_at >= give_up_at:
                break
            budget_s = min(WRITER_TIMEOUT_S, (give_up_at - asked_at) / 2)
            try:
                answer = self.connections.post(
                    address, "/v1/writers", {}, WriterAnswer, budget_s, margin_s=0.0
                )
            except CallError as failure:
                error = failure
                if failure.ran == "unknown" and time.monotonic() < repeat_until:
                    gevent.sleep(FIRST_PAUSE_S)
                    candidates.append(address)
                continue
            self.writer = answer.writer
            self.writer_until = asked_at + OPEN_SHARE * answer.open_ms / 1_000
            self.issuers = {answer.writer: address}
            return
        raise CallError(
            str(error),
            kind=error.kind,
            ran="not_run",
            retry_after_s=error.retry_after_s,
        )

    def get_candidates(self) -> list[Address]:
        """Return the entries to ask for a writer id, the last issuer at the end."""
        last = set(self.issuers.values())
        return sorted(self.address_cache.get_addresses(), key=lambda item: item in last)

    def drop_writer(self) -> None:
        """Take another writer id for the next key."""
        self.writer_until = 0.0

    def book(
        self, request: BookingRequest, key: IdempotencyKey | None, deadline_ms: int
    ) -> BookingAnswer:
        """Return the booking's result, or raise CallError that says if it ran.

        A key that was given is the only one that is sent.
        """
        give_up_at = time.monotonic() + deadline_ms / 1_000
        attempts = BookingAttempts(may_renew=key is None)
        key = key or self.make_key(deadline_ms)
        pause_s = FIRST_PAUSE_S
        turn = 0
        while True:
            try:
                return self.send(request, key, self.choose(key, turn), give_up_at)
            except CallError as error:
                step = attempts.judge(error)
                wait_s = min(error.retry_after_s or pause_s, MAX_PAUSE_S)
                if time.monotonic() + wait_s >= give_up_at:
                    step = NextStep.GIVE_UP
                if step is NextStep.GIVE_UP:
                    return self.settle(request, key, attempts, error)
            turn += 1
            if step is NextStep.NEW_KEY:
                self.drop_writer()
                key = self.make_key(int((give_up_at - time.monotonic()) * 1_000))
                turn = 0
                continue
            gevent.sleep(wait_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    def settle(
        self,
        request: BookingRequest,
        key: IdempotencyKey,
        attempts: BookingAttempts,
        error: CallError,
    ) -> BookingAnswer:
        """Raise the final error, or return the answer that came late.

        A key that nobody else can send again is closed first, so that a
        request still on its way cannot run after "not run" was said.
        """
        if attempts.may_renew and attempts.may_have_run:
            status = self.close_and_wait(key)
            if status is not None and status.booking is not None:
                self.seen.note(request.collection, status.booking.snapshot)
                return status.booking
            if status is not None and status.ran is Ran.NOT_RUN:
                attempts.may_have_run = False
        raise attempts.explain(error, key) from error

    def close_and_wait(self, key: IdempotencyKey) -> BookingStatus | None:
        """Close a key and wait a little for the end of its run, if it runs."""
        give_up_at = time.monotonic() + SETTLE_MS / 1_000
        status = None
        while time.monotonic() < give_up_at:
            try:
                status = self.ask(key, SETTLE_MS, close=True)
            except CallError:
                return status
            if status.state is not BookingState.RUNNING:
                break
            gevent.sleep(SETTLE_PAUSE_S)
        return status

    def choose(self, key: IdempotencyKey, turn: int) -> Address:
        """Return the issuer twice, then the other entries, and again."""
        addresses = self.address_cache.get_addresses()
        writer = key.rpartition(SEPARATOR)[0]
        issuer = self.issuers.get(writer)
        if issuer is not None:
            others = [address for address in addresses if address != issuer]
            addresses = [issuer, issuer, *others]
        return addresses[turn % len(addresses)]

    def send(
        self,
        request: BookingRequest,
        key: IdempotencyKey,
        address: Address,
        give_up_at: float,
    ) -> BookingAnswer:
        """Send the booking once, with half of the time that is left to answer it."""
        remaining_s = max(0.001, give_up_at - time.monotonic())
        request = msgspec.structs.replace(
            request, deadline_ms=max(1, int(remaining_s * 1_000))
        )
        answer = self.connections.post(
            address,
            "/v1/bookings",
            request,
            BookingAnswer,
            remaining_s / 2,
            {"Idempotency-Key": key},
            margin_s=0.0,
        )
        self.seen.note(request.collection, answer.snapshot)
        return answer

    def ask(
        self, key: IdempotencyKey, deadline_ms: int, *, close: bool
    ) -> BookingStatus:
        """Return the truth about a key, or raise CallError.

        With `close`, a key that has not run never will.
        """
        give_up_at = time.monotonic() + deadline_ms / 1_000
        method = "DELETE" if close else "GET"
        turn = 0
        while True:
            remaining_s = give_up_at - time.monotonic()
            try:
                return self.connections.get(
                    self.choose(key, turn),
                    f"/v1/bookings/{quote(key)}",
                    BookingStatus,
                    remaining_s / 2,
                    method,
                    margin_s=0.0,
                )
            except CallError as error:
                if error.kind != "no-answer" or time.monotonic() >= give_up_at:
                    raise
            turn += 1
            gevent.sleep(FIRST_PAUSE_S)
