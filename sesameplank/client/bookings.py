"""Bookings of the client library."""

import time
from collections import deque
from urllib.parse import quote

import gevent
import msgspec

from ..core.bookings.writers import SEPARATOR
from ..core.common.outcomes import Ran
from ..core.search.messages import (
    BookingAnswer,
    BookingRequest,
    BookingState,
    BookingStatus,
    WriterAnswer,
)
from ..exceptions import CallError
from ..ids import IdempotencyKey
from ..net import Address
from .addresses import AddressCache
from .connections import Connections
from .retries import BookingAttempts, NextStep
from .seen import SeenSnapshots

INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.2
WRITER_RENEWAL_FRACTION = 0.8
WRITER_TIMEOUT_S = 1.0
RESOLVE_TIMEOUT_MS = 300
RESOLVE_POLL_INTERVAL_S = 0.02


class BookingClient:
    """Sends each booking under one idempotency key until its outcome is known.

    Keys begin with a writer id, which the client requests from an entry and
    renews. A key may be sent again at any time and to any entry.
    """

    def __init__(
        self, connections: Connections, address_cache: AddressCache, seen: SeenSnapshots
    ) -> None:
        self.connections = connections
        self.address_cache = address_cache
        self.seen = seen
        self.writer = ""
        self.renew_writer_at = 0.0
        self.issuers: dict[str, Address] = {}
        self.key_count = 0

    def make_key(self, deadline_ms: int) -> IdempotencyKey:
        """Return a new key, or raise CallError if no entry issues a writer id."""
        if time.monotonic() >= self.renew_writer_at:
            self.request_writer(time.monotonic() + deadline_ms / 1_000)
        self.key_count += 1
        return IdempotencyKey(f"{self.writer}{SEPARATOR}{self.key_count}")

    def request_writer(self, deadline_at: float) -> None:
        """Request a writer id from one entry after another until one issues it.

        An entry that may have received the request without answering is tried
        again, but only in the first half of the time until the deadline. Raise
        CallError if no entry issues a writer id.
        """
        retry_until = (time.monotonic() + deadline_at) / 2
        error = CallError(
            "no entry could be reached", kind="unreachable", ran="not_run"
        )
        candidates = deque(self.get_candidates())
        while candidates:
            address = candidates.popleft()
            requested_at = time.monotonic()
            if requested_at >= deadline_at:
                break
            budget_s = min(WRITER_TIMEOUT_S, (deadline_at - requested_at) / 2)
            try:
                answer = self.connections.post(
                    address, "/v1/writers", {}, WriterAnswer, budget_s, margin_s=0.0
                )
            except CallError as failure:
                error = failure
                if failure.ran == "unknown" and time.monotonic() < retry_until:
                    gevent.sleep(INITIAL_BACKOFF_S)
                    candidates.append(address)
                continue
            self.writer = answer.writer
            self.renew_writer_at = (
                requested_at + WRITER_RENEWAL_FRACTION * answer.open_ms / 1_000
            )
            self.issuers = {answer.writer: address}
            return
        raise CallError(
            str(error),
            kind=error.kind,
            ran="not_run",
            retry_after_s=error.retry_after_s,
        )

    def get_candidates(self) -> list[Address]:
        """Return the entries that can issue a writer id, the last issuer at the end."""
        last = set(self.issuers.values())
        return sorted(self.address_cache.get_addresses(), key=lambda item: item in last)

    def discard_writer(self) -> None:
        """Discard the writer id, so that the next key gets a new one."""
        self.renew_writer_at = 0.0

    def book(
        self, request: BookingRequest, key: IdempotencyKey | None, deadline_ms: int
    ) -> BookingAnswer:
        """Return the result of a booking, or raise CallError.

        Attribute `ran` of the error is "unknown" if the booking may have run, and
        "not_run" otherwise. If a key is passed in, the booking is sent under no
        other key.
        """
        deadline_at = time.monotonic() + deadline_ms / 1_000
        attempts = BookingAttempts(may_replace_key=key is None)
        key = key or self.make_key(deadline_ms)
        backoff_s = INITIAL_BACKOFF_S
        attempt_index = 0
        while True:
            try:
                return self.send(
                    request, key, self.choose_entry(key, attempt_index), deadline_at
                )
            except CallError as error:
                step = attempts.choose_next_step(error)
                wait_s = min(error.retry_after_s or backoff_s, MAX_BACKOFF_S)
                if time.monotonic() + wait_s >= deadline_at:
                    step = NextStep.GIVE_UP
                if step is NextStep.GIVE_UP:
                    return self.resolve_outcome(request, key, attempts, error)
            attempt_index += 1
            if step is NextStep.NEW_KEY:
                self.discard_writer()
                key = self.make_key(int((deadline_at - time.monotonic()) * 1_000))
                attempt_index = 0
                continue
            gevent.sleep(wait_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def resolve_outcome(
        self,
        request: BookingRequest,
        key: IdempotencyKey,
        attempts: BookingAttempts,
        error: CallError,
    ) -> BookingAnswer:
        """Return an answer that arrived late, or raise the final error.

        A key that no other call can send again is closed first. Otherwise a
        request still in transit could run after the error reported "not run".
        """
        if attempts.may_replace_key and attempts.may_have_run:
            status = self.close_and_wait(key)
            if status is not None and status.booking is not None:
                self.seen.note(request.collection, status.booking.snapshot)
                return status.booking
            if status is not None and status.ran is Ran.NOT_RUN:
                attempts.may_have_run = False
        raise attempts.make_final_error(error, key) from error

    def close_and_wait(self, key: IdempotencyKey) -> BookingStatus | None:
        """Close a key and return its last known status, or None if there is none.

        If the booking is running, wait up to RESOLVE_TIMEOUT_MS for its end. If a
        request for the status fails, return the status received before it.
        """
        deadline_at = time.monotonic() + RESOLVE_TIMEOUT_MS / 1_000
        status = None
        while time.monotonic() < deadline_at:
            try:
                status = self.request_status(key, RESOLVE_TIMEOUT_MS, close=True)
            except CallError:
                return status
            if status.state is not BookingState.RUNNING:
                break
            gevent.sleep(RESOLVE_POLL_INTERVAL_S)
        return status

    def choose_entry(self, key: IdempotencyKey, attempt_index: int) -> Address:
        """Return the entry for an attempt at a key.

        The first two attempts go to the issuer of the key and the next ones to
        the other entries, one after another; then the order repeats.
        """
        addresses = self.address_cache.get_addresses()
        writer = key.rpartition(SEPARATOR)[0]
        issuer = self.issuers.get(writer)
        if issuer is not None:
            others = [address for address in addresses if address != issuer]
            addresses = [issuer, issuer, *others]
        return addresses[attempt_index % len(addresses)]

    def send(
        self,
        request: BookingRequest,
        key: IdempotencyKey,
        address: Address,
        deadline_at: float,
    ) -> BookingAnswer:
        """Send the booking once, and return its result or raise CallError.

        The attempt may take half of the remaining time.
        """
        remaining_s = max(0.001, deadline_at - time.monotonic())
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

    def request_status(
        self, key: IdempotencyKey, deadline_ms: int, *, close: bool
    ) -> BookingStatus:
        """Return the known status of a key, or raise CallError.

        With `close`, the key is closed: if it has not run yet, it never runs.
        """
        deadline_at = time.monotonic() + deadline_ms / 1_000
        method = "DELETE" if close else "GET"
        attempt_index = 0
        while True:
            remaining_s = deadline_at - time.monotonic()
            try:
                return self.connections.get(
                    self.choose_entry(key, attempt_index),
                    f"/v1/bookings/{quote(key)}",
                    BookingStatus,
                    remaining_s / 2,
                    method,
                    margin_s=0.0,
                )
            except CallError as error:
                if error.kind != "no-answer" or time.monotonic() >= deadline_at:
                    raise
            attempt_index += 1
            gevent.sleep(INITIAL_BACKOFF_S)
