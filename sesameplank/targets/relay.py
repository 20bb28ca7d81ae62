"""Calls to targets through their homes: the entries that hold connections to them."""

import msgspec

from ..core.clock import Clock
from ..core.homes import ConnectionPlan
from ..core.leaving import LeavingSource
from ..core.messages import (
    CancelRequest,
    TargetBooking,
    TargetBookingAnswer,
    TargetHealth,
    TargetSearch,
    TargetSearchAnswer,
)
from ..core.outcomes import Failure, FailureReason, Ran
from ..core.peer_messages import RelayedAnswer, RelayedCall, TargetLeaving
from ..ids import RequestId, TargetId
from ..peers import PeerContext, PeerLinks
from .dispatch import (
    HEALTH_PATH,
    NEW_WORK_PATHS,
    TARGET_LEAVING,
    DirectDispatcher,
    Dispatcher,
    decode_answer,
    decode_matching_answer,
)
from .pool import TargetPool

MAX_UPDATE_AGE_S = 5.0
NO_HOME = Failure(FailureReason.RELAY, Ran.NOT_RUN, "no home of the target is known")


class RelayDispatcher(Dispatcher):
    """Calls a target directly if this process has a pool, else through its homes.

    A call is retried at the next home only if the previous attempt is known not to
    have run. When a target is marked as leaving, the dispatcher also notifies the
    neighbours of this process.
    """

    def __init__(
        self,
        direct: DirectDispatcher,
        plan: ConnectionPlan,
        links: PeerLinks,
        clock: Clock,
        get_neighbours,
    ) -> None:
        self.direct = direct
        self.plan = plan
        self.links = links
        self.clock = clock
        self.get_neighbours = get_neighbours
        self.relayed_calls = 0
        self.calls_served_for_peers = 0
        direct.leaving.listeners.append(self.notify_leaving)
        links.register(RelayedCall, self.serve)
        links.register(TargetLeaving, self.on_leaving)

    @property
    def pools(self) -> dict[TargetId, TargetPool]:
        """The connection pools of this process."""
        return self.direct.pools

    def get_targets(self) -> list[TargetId]:
        """Return the ids of all targets in the configuration."""
        configuration = self.direct.configuration
        return list(configuration.targets) if configuration else []

    def get_health(
        self, target: TargetId, deadline_at: float
    ) -> TargetHealth | Failure:
        """Return the target's health report, or a Failure."""
        if target in self.direct.pools:
            return self.direct.get_health(target, deadline_at)
        outcome = self.call_homes(target, HEALTH_PATH, b"", deadline_at, 0.0)
        if isinstance(outcome, Failure):
            return outcome
        return decode_answer(outcome.payload, TargetHealth)

    def search(
        self, target: TargetId, message: TargetSearch, deadline_at: float
    ) -> TargetSearchAnswer | Failure:
        """Return the target's answer to a search call, or a Failure."""
        if target in self.direct.pools:
            return self.direct.search(target, message, deadline_at)
        return self.relay(target, "/search", message, TargetSearchAnswer, deadline_at)

    def cancel(
        self, target: TargetId, request_id: RequestId, deadline_at: float
    ) -> None:
        """Request that a target cancel the search call with a request id."""
        if target in self.direct.pools:
            self.direct.cancel(target, request_id, deadline_at)
            return
        message = CancelRequest(request_id)
        self.relay(target, "/cancel", message, CancelRequest, deadline_at)

    def book(
        self,
        target: TargetId,
        message: TargetBooking,
        deadline_at: float,
        answer_by: float,
    ) -> TargetBookingAnswer | Failure:
        """Return the target's answer to a booking, or a Failure."""
        if target in self.direct.pools:
            return self.direct.book(target, message, deadline_at, answer_by)
        return self.relay(
            target, "/book", message, TargetBookingAnswer, deadline_at, answer_by
        )

    def relay(self, target, path, message, answer_type, deadline_at, answer_by=None):
        """Send one message through a home and return the decoded answer, or a Failure.

        Times are in seconds of the process's clock: nothing is sent to the target
        after `deadline_at`, and the answer is awaited until `answer_by`.
        """
        if path in NEW_WORK_PATHS and self.direct.leaving.is_leaving(target):
            return TARGET_LEAVING
        body = msgspec.json.encode(message)
        answer_grace_s = max(0.0, (answer_by or deadline_at) - deadline_at)
        outcome = self.call_homes(target, path, body, deadline_at, answer_grace_s)
        if isinstance(outcome, Failure):
            return outcome
        answer = decode_matching_answer(
            outcome.payload, answer_type, message.request_id
        )
        if getattr(answer, "draining", False):
            self.direct.leaving.mark(target, LeavingSource.ANSWER)
        return answer

    def call_homes(
        self,
        target: TargetId,
        path: str,
        body: bytes,
        deadline_at: float,
        answer_grace_s,
    ) -> RelayedAnswer | Failure:
        """Return the answer of one of the target's homes, or a Failure.

        The next home is tried only after a Failure that is NOT_RUN. The answer is
        awaited for `answer_grace_s` seconds after `deadline_at`.
        """
        call = RelayedCall(target, path, body, int(answer_grace_s * 1_000))
        outcome: RelayedAnswer | Failure = NO_HOME
        for home in self.plan.get_homes(target):
            if home == self.plan.own_id:
                continue
            self.relayed_calls += 1
            outcome = self.links.call(home, call, deadline_at + answer_grace_s)
            if not isinstance(outcome, Failure):
                break
            if outcome.ran is not Ran.NOT_RUN:
                return msgspec.structs.replace(outcome, reason=FailureReason.RELAY)
        return outcome

    def serve(
        self, message: RelayedCall, context: PeerContext
    ) -> RelayedAnswer | Failure:
        """Forward another entry's call to a target on a connection of this process."""
        if message.path in NEW_WORK_PATHS and self.direct.leaving.is_leaving(
            message.target
        ):
            return TARGET_LEAVING
        self.calls_served_for_peers += 1
        payload = self.direct.exchange(
            message.target,
            message.path,
            message.body,
            context.deadline_at - message.answer_grace_ms / 1_000,
            bytes,
            context.deadline_at,
        )
        return payload if isinstance(payload, Failure) else RelayedAnswer(payload)

    def notify_leaving(self, target: TargetId) -> None:
        """Notify the neighbours of this process that a target was marked as leaving."""
        for neighbour in self.get_neighbours():
            self.links.send(neighbour, TargetLeaving(target))

    def on_leaving(self, message: TargetLeaving, context: PeerContext) -> None:
        """Mark a target that a neighbour reports as leaving.

        If the mark is new, the neighbours of this process are notified too. A message
        older than MAX_UPDATE_AGE_S is ignored.
        """
        if context.age_s <= MAX_UPDATE_AGE_S:
            self.direct.leaving.mark(message.target, LeavingSource.PEER)
