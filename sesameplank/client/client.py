"""A caller's connection to the query tier."""

import random
import time
import uuid
from collections.abc import Sequence

import gevent
import msgspec
from geventhttpclient import HTTPClient

from ..core.addresses import AddressAnswer
from ..core.messages import BookingAnswer, BookingRequest, SearchAnswer, SearchRequest
from ..exceptions import CallError
from ..ids import CallerName, CollectionName, RecordKey, Snapshot
from ..net import Address

DEFAULT_DEADLINE_MS = 1_000
ANSWER_MARGIN_S = 0.5


class Client:
    """Asks and books for one caller; a context manager.

    Keeps the address answer for its time to live, and the newest snapshot
    seen, so that a later answer is never older than an earlier one.
    """

    def __init__(
        self,
        caller: CallerName,
        seeds: Sequence[Address],
        rng: random.Random | None = None,
    ) -> None:
        self.caller = caller
        self.seeds = list(seeds)
        self.rng = rng or random.Random()
        self.addresses: list[Address] = []
        self.addresses_until = 0.0
        self.newest_seen: dict[CollectionName, Snapshot] = {}
        self.connections: dict[Address, HTTPClient] = {}

    def __enter__(self) -> "Client":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Close every connection."""
        for connection in self.connections.values():
            connection.close()
        self.connections.clear()

    def search(
        self, request: SearchRequest, deadline_ms: int = DEFAULT_DEADLINE_MS
    ) -> SearchAnswer:
        """Return the answer, or raise CallError; fails over, since reads may."""
        seen = self.newest_seen.get(request.collection, Snapshot(0))
        request = msgspec.structs.replace(
            request,
            deadline_ms=deadline_ms,
            at_least_snapshot=max(request.at_least_snapshot, seen),
        )
        give_up_at = time.monotonic() + deadline_ms / 1_000
        error = CallError(
            "no entry could be reached", kind="unreachable", ran="not_run"
        )
        for address in self.get_addresses():
            remaining_s = give_up_at - time.monotonic()
            if remaining_s <= 0:
                break
            try:
                answer = self.post(
                    address, "/v1/search", request, SearchAnswer, remaining_s
                )
            except CallError as failure:
                error = failure
                continue
            self.note_seen(answer.collection, answer.snapshot)
            return answer
        raise error

    def book(
        self,
        collection: CollectionName,
        record: RecordKey,
        quantity: int = 1,
        idempotency_key: str | None = None,
        deadline_ms: int = DEFAULT_DEADLINE_MS,
    ) -> BookingAnswer:
        """Return the booking's result, or raise CallError that says if it ran."""
        request = BookingRequest(collection, record, quantity, deadline_ms)
        headers = {"Idempotency-Key": idempotency_key or str(uuid.uuid4())}
        address = self.get_addresses()[0]
        answer = self.post(
            address,
            "/v1/bookings",
            request,
            BookingAnswer,
            deadline_ms / 1_000,
            headers,
        )
        self.note_seen(collection, answer.snapshot)
        return answer

    def note_seen(self, collection: CollectionName, snapshot: Snapshot) -> None:
        """Remember the newest snapshot seen of a collection."""
        seen = self.newest_seen.get(collection, Snapshot(0))
        self.newest_seen[collection] = max(seen, snapshot)

    def get_addresses(self) -> list[Address]:
        """Return the entries to use, asking again when the answer is too old."""
        if time.monotonic() < self.addresses_until:
            return self.addresses
        known = [*self.addresses, *self.rng.sample(self.seeds, len(self.seeds))]
        for address in dict.fromkeys(known):
            try:
                body = self.call(address, "GET", "/v1/addresses", b"", {}, 1.0)
            except CallError:
                continue
            answer = msgspec.json.decode(body, type=AddressAnswer)
            self.addresses = [Address.parse(item) for item in answer.addresses]
            self.addresses_until = time.monotonic() + answer.ttl_ms / 1_000
            return self.addresses
        return self.addresses or self.seeds

    def post(self, address, path, request, kind, budget_s, headers=None):
        """Send one typed request and return the typed answer."""
        all_headers = {
            "Content-Type": "application/json",
            "X-Caller": self.caller,
            **(headers or {}),
        }
        body = msgspec.json.encode(request)
        payload = self.call(address, "POST", path, body, all_headers, budget_s)
        return msgspec.json.decode(payload, type=kind)

    def call(self, address, method, path, body, headers, budget_s) -> bytes:
        """Send one request and return the body of a 200, or raise CallError."""
        connection = self.connections.pop(address, None) or HTTPClient(
            address.host, address.port, concurrency=1, network_timeout=None
        )
        reusable = False
        try:
            with gevent.Timeout(budget_s + ANSWER_MARGIN_S):
                response = connection.request(method, path, body, headers)
                payload = bytes(response.read())
                reusable = len(payload) == int(response["content-length"])
        except (gevent.Timeout, Exception) as error:
            raise CallError(
                f"the entry {address} gave no answer: {error!r}",
                kind="no-answer",
                ran="not_run"
                if isinstance(error, ConnectionRefusedError)
                else "unknown",
            ) from error
        finally:
            if reusable:
                self.connections[address] = connection
            else:
                connection.close()
        if response.status_code != 200:
            raise make_call_error(payload)
        return payload


def make_call_error(payload: bytes) -> CallError:
    """Return the error that a problem document stands for."""
    problem = msgspec.json.decode(payload)
    retry_after_ms = problem.get("retry_after_ms")
    return CallError(
        f"{problem['detail']}; {problem['remedy']}",
        kind=problem["type"].rpartition(":")[2],
        ran=problem["ran"],
        retry_after_s=None if retry_after_ms is None else retry_after_ms / 1_000,
    )
