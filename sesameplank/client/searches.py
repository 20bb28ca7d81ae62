"""Searches of the client library."""

import time

import gevent
import msgspec

from ..core.search.messages import SearchAnswer, SearchRequest
from ..exceptions import CallError
from ..net import Address
from .addresses import AddressCache
from .connections import Connections
from .seen import SeenSnapshots

FAILOVER_KINDS = {"no-answer", "unreachable", "leaving", "not-ready", "internal"}
RETRY_LATER_KINDS = {"overloaded", "low-coverage", "snapshot-unavailable"}
MIN_REMAINING_S = 0.005


class SearchClient:
    """Sends searches, and fails over to another entry if one fails.

    Searches are idempotent, so it is safe to send one again.

    A refusal that every entry would repeat, such as an unknown collection, ends
    the search. After an error of FAILOVER_KINDS, the next entry is tried at
    once. After an error of RETRY_LATER_KINDS, the next attempt waits for the
    time that the entry gave.
    """

    def __init__(
        self, connections: Connections, address_cache: AddressCache, seen: SeenSnapshots
    ) -> None:
        self.connections = connections
        self.address_cache = address_cache
        self.seen = seen

    def search(self, request: SearchRequest, deadline_ms: int) -> SearchAnswer:
        """Return the answer, or raise CallError.

        The deadline covers all attempts. Each one carries the remaining time.
        """
        deadline_at = time.monotonic() + deadline_ms / 1_000
        at_least = max(request.at_least_snapshot, self.seen.get(request.collection))
        request = msgspec.structs.replace(request, at_least_snapshot=at_least)
        error = CallError(
            "no entry could be reached", kind="unreachable", ran="not_run"
        )
        tried: set[Address] = set()
        while (address := self.choose_entry(tried, error, deadline_at)) is not None:
            tried.add(address)
            try:
                return self.request_answer(address, request, deadline_at)
            except CallError as failure:
                error = failure
            if error.kind in FAILOVER_KINDS:
                self.address_cache.note_unusable(address)
            elif error.kind not in RETRY_LATER_KINDS:
                break
        raise error

    def choose_entry(
        self, tried: set[Address], error: CallError, deadline_at: float
    ) -> Address | None:
        """Return the entry for the next attempt, after waiting as the error requires.

        Return None, which ends the search, if too little time remains or the error
        requires a wait but states no time. Also return None if every entry has been
        tried and the last error requires no wait.
        """
        delay_s = 0.0
        if error.kind in RETRY_LATER_KINDS:
            if error.retry_after_s is None:
                return None
            delay_s = error.retry_after_s
        remaining_s = deadline_at - time.monotonic()
        if remaining_s - delay_s < MIN_REMAINING_S:
            return None
        gevent.sleep(delay_s)
        usable = self.address_cache.get_addresses(deadline_at)
        untried = [address for address in usable if address not in tried]
        if untried:
            return untried[0]
        return usable[0] if delay_s and usable else None

    def request_answer(
        self, address: Address, request: SearchRequest, deadline_at: float
    ) -> SearchAnswer:
        """Return the answer of one entry in the remaining time, or raise CallError."""
        remaining_s = deadline_at - time.monotonic()
        timed_request = msgspec.structs.replace(
            request, deadline_ms=max(1, int(remaining_s * 1_000))
        )
        answer = self.connections.post(
            address, "/v1/search", timed_request, SearchAnswer, remaining_s
        )
        if answer.snapshot < request.at_least_snapshot:
            raise CallError(
                f"the entry {address} answered from snapshot {answer.snapshot}, older "
                f"than {request.at_least_snapshot}; report it to the operators",
                kind="no-answer",
                ran="unknown",
            )
        self.seen.note(answer.collection, answer.snapshot)
        return answer
