"""Calls to targets through their homes: the entries that hold connections to them."""

import msgspec

from ..core.common.clock import Clock
from ..core.common.outcomes import OWN_REASONS, Failure, FailureReason, Ran
from ..core.membership.homes import ConnectionPlan
from ..core.membership.peer_messages import RelayedAnswer, RelayedCall, TargetLeaving
from ..core.published.leaving import LeavingSource
from ..ids import EntryId, TargetId
from ..peers import PeerContext, PeerLinks
from .dispatch import (
    NEW_WORK_PATHS,
    TARGET_LEAVING,
    DirectDispatcher,
    MessageDispatcher,
)
from .pool import TargetPool

MAX_UPDATE_AGE_S = 5.0
TARGETS_LOST = Failure(FailureReason.RELAY, Ran.NOT_RUN, "no links to targets")
NO_HOME = Failure(FailureReason.RELAY, Ran.NOT_RUN, "no home of the target is known")


class RelayDispatcher(MessageDispatcher):
    """Calls a target directly if this process has a pool, else through its homes.

    A target whose small rate limit is divided among other homes is called through them,
    and so are all if this process has lost its links to targets.

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
        self.leaving = direct.leaving
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

    def exchange(self, target, path, body, deadline_at, decode, answer_by=None):
        """Send one encoded message and return the decoded answer, or a Failure."""
        if self.can_call_directly(target):
            return self.direct.exchange(
                target, path, body, deadline_at, decode, answer_by
            )
        answer_grace_s = max(0.0, (answer_by or deadline_at) - deadline_at)
        outcome = self.call_homes(target, path, body, deadline_at, answer_grace_s)
        return outcome if isinstance(outcome, Failure) else decode(outcome.payload)

    def can_call_directly(self, target: TargetId) -> bool:
        """Return whether this process should call a target on its own connections."""
        if target not in self.direct.pools or self.direct.reach.is_lost:
            return False
        return self.direct.has_part(target)

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
        for home in self.get_homes_to_ask(target):
            self.relayed_calls += 1
            outcome = self.links.call(home, call, deadline_at + answer_grace_s)
            if not isinstance(outcome, Failure):
                break
            if outcome.ran is not Ran.NOT_RUN:
                return msgspec.structs.replace(outcome, reason=FailureReason.RELAY)
        return outcome

    def get_homes_to_ask(self, target: TargetId) -> list[EntryId]:
        """Return the other homes that can call a target, in the order to ask them.

        Those without a part of its rate limit are left out if the limit is known here.
        """
        limits = self.direct.limits
        homes = self.plan.get_homes(target)
        if limits.is_limited(target):
            homes = limits.get_holders(target, self.clock.now())
        return [home for home in homes if home != self.plan.own_id]

    def serve(
        self, message: RelayedCall, context: PeerContext
    ) -> RelayedAnswer | Failure:
        """Forward another entry's call to a target on a connection of this process.

        Failures with reasons of this process are told as those of a relay, and crashes
        as truncated answers: other releases don't know these reasons.
        """
        if message.path in NEW_WORK_PATHS and self.leaving.is_leaving(message.target):
            return TARGET_LEAVING
        if self.direct.reach.is_lost:
            return TARGETS_LOST
        self.calls_served_for_peers += 1
        payload = self.direct.exchange(
            message.target,
            message.path,
            message.body,
            context.deadline_at - message.answer_grace_ms / 1_000,
            bytes,
            context.deadline_at,
        )
        if not isinstance(payload, Failure):
            return RelayedAnswer(payload)
        if payload.reason in OWN_REASONS:
            return msgspec.structs.replace(payload, reason=FailureReason.RELAY)
        if payload.reason is FailureReason.CRASHED:
            return msgspec.structs.replace(payload, reason=FailureReason.TRUNCATED)
        return payload

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
            self.leaving.mark(message.target, LeavingSource.PEER)
