"""The searching half of the client library."""

import time

import msgspec

from ..core.messages import SearchAnswer, SearchRequest
from ..exceptions import CallError
from .addresses import AddressKeeper
from .connections import Connections
from .seen import SeenSnapshots


class Searches:
    """Sends searches, and fails over to another entry, since reads may."""

    def __init__(
        self, connections: Connections, keeper: AddressKeeper, seen: SeenSnapshots
    ) -> None:
        self.connections = connections
        self.keeper = keeper
        self.seen = seen

    def search(self, request: SearchRequest, deadline_ms: int) -> SearchAnswer:
        """Return the answer, or raise CallError."""
        request = msgspec.structs.replace(
            request,
            deadline_ms=deadline_ms,
            at_least_snapshot=max(
                request.at_least_snapshot, self.seen.get(request.collection)
            ),
        )
        give_up_at = time.monotonic() + deadline_ms / 1_000
        error = CallError(
            "no entry could be reached", kind="unreachable", ran="not_run"
        )
        for address in self.keeper.get_addresses():
            remaining_s = give_up_at - time.monotonic()
            if remaining_s <= 0:
                break
            try:
                answer = self.connections.post(
                    address, "/v1/search", request, SearchAnswer, remaining_s
                )
            except CallError as failure:
                error = failure
                continue
            self.seen.note(answer.collection, answer.snapshot)
            return answer
        raise error
