"""The searching half of the client library."""

import time

import gevent
import msgspec

from ..core.messages import SearchAnswer, SearchRequest
from ..exceptions import CallError
from ..net import Address
from .addresses import AddressCache
from .connections import Connections
from .seen import SeenSnapshots

FAILOVER_KINDS = {"no-answer", "unreachable", "leaving", "not-ready", "internal"}
RETRY_LATER_KINDS = {"overloaded", "low-coverage", "snapshot-unavailable"}
MIN_REMAINING_S = 0.005


class Searches:
    """Sends searches, and fails over to another entry, since reads may.

    A refusal that every entry would repeat, such as an unknown collection, is
    final. An entry that cannot serve is left for the next; one that asks to
    come back later is not asked again before that time.
    """

    def __init__(
        self, connections: Connections, address_cache: AddressCache, seen: SeenSnapshots
    ) -> None:
        self.connections = connections
        self.address_cache = address_cache
        self.seen = seen

    def search(self, request: SearchRequest, deadline_ms: int) -> SearchAnswer:
        """Return the answer, or raise CallError.

        The deadline holds over all attempts: each carries what remains of it.
        """
        give_up_at = time.monotonic() + deadline_ms / 1_000
        at_least = max(request.at_least_snapshot, self.seen.get(request.collection))
        request = msgspec.structs.replace(request, at_least_snapshot=at_least)
        error = CallError(
            "no entry could be reached", kind="unreachable", ran="not_run"
        )
        tried: set[Address] = set()
        while (address := self.choose_entry(tried, error, give_up_at)) is not None:
            tried.add(address)
            try:
                return self.ask(address, request, give_up_at)
            except CallError as failure:
                error = failure
            if error.kind in FAILOVER_KINDS:
                self.address_cache.note_unusable(address)
            elif error.kind not in RETRY_LATER_KINDS:
                break
        raise error

    def choose_entry(
        self, tried: set[Address], error: CallError, give_up_at: float
    ) -> Address | None:
        """Return the entry to ask next, after a pause if one is asked for.

        None ends the search: too little time is left, or every entry failed.
        """
        pause_s = 0.0
        if error.kind in RETRY_LATER_KINDS:
            if error.retry_after_s is None:
                return None
            pause_s = error.retry_after_s
        remaining_s = give_up_at - time.monotonic()
        if remaining_s - pause_s < MIN_REMAINING_S:
            return None
        gevent.sleep(pause_s)
        usable = self.address_cache.get_addresses(give_up_at)
        untried = [address for address in usable if address not in tried]
        if untried:
            return untried[0]
        return usable[0] if pause_s and usable else None

    def ask(
        self, address: Address, request: SearchRequest, give_up_at: float
    ) -> SearchAnswer:
        """Return one entry's answer within what remains of the deadline."""
        remaining_s = give_up_at - time.monotonic()
        timed = msgspec.structs.replace(
            request, deadline_ms=max(1, int(remaining_s * 1_000))
        )
        answer = self.connections.post(
            address, "/v1/search", timed, SearchAnswer, remaining_s
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
