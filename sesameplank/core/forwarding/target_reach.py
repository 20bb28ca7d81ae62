"""Whether this process reaches targets at all, or has lost its own links to them.

One target's silence is the target's. Nothing heard from any of a random sample, of
several services, is this process's own: its links are lost, and other VMs may well
reach the same targets. The sample is probed with new connections, since open ones can
live on while new ones are refused, and the other way round.
"""

import random
from collections.abc import Sequence
from enum import Enum

import msgspec

# A call without an answer for longer is a reason to probe, if nothing else is heard.
SILENCE_S = 0.25
IDLE_PROBE_S = 1.0  # Between probes while nothing is heard for want of calls.
SUSPECTED_PROBE_S = 0.75  # Between probes for want of answers or connections.
LOST_PROBE_S = 0.25  # Between probes while the links are lost.
PROBED_TARGETS = 5  # So many silent ones are hardly all down.
REGAINED_TARGETS = 2  # That a round must reach before calls are sent to all again.


class ProbedTarget(msgspec.Struct, frozen=True):
    """The address of a target, and the service that it belongs to."""

    service: str
    address: str


class ProbeOutcome(Enum):
    """The outcome of one probe.

    REACHED  the target accepted the connection
    REFUSED  the connection was refused
    FAILED   it hung, or was reset after it was accepted, as a target does that has too
             many connections
    """

    REACHED = "reached"
    REFUSED = "refused"
    FAILED = "failed"


class ReachState(Enum):
    """Whether targets can be reached."""

    REACHED = "reached"
    LOST = "lost"


class TargetReach:
    """The state of this process's links to targets; times are in seconds.

    `heard_at` is when a target last answered or accepted a connection. `is_suspected`
    says that the links may be lost, and `is_whole_sample` that the latest round of
    probes was large enough to show it.
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        self.rng = rng
        self.state = ReachState.REACHED
        self.heard_at = now
        self.is_suspected = False
        self.is_whole_sample = False
        self.probed_at = now

    @property
    def is_lost(self) -> bool:
        """Whether no target can be reached by new connections."""
        return self.state is ReachState.LOST

    def note_heard(self, now: float) -> None:
        """Record an answer of a target."""
        self.heard_at = now

    def note_suspicion(self) -> None:
        """Record that a connection failed, or that calls have got no answer."""
        self.is_suspected = True

    def is_probe_due(self, now: float, *, is_active: bool) -> bool:
        """Return whether a sample of targets should be probed now.

        Without a suspicion, only a VM that callers are sent to probes.
        """
        since_s = now - self.probed_at
        if self.is_lost:
            return since_s >= LOST_PROBE_S
        if self.is_suspected:
            return since_s >= SUSPECTED_PROBE_S
        is_idle = now - self.heard_at >= IDLE_PROBE_S
        return is_active and is_idle and since_s >= IDLE_PROBE_S

    def choose_sample(
        self, targets: Sequence[ProbedTarget], now: float
    ) -> list[ProbedTarget]:
        """Return random targets to probe, of as many services as possible.

        An idle process without a suspicion probes one.
        """
        self.probed_at = now
        self.is_whole_sample = self.is_lost or self.is_suspected
        count = PROBED_TARGETS if self.is_whole_sample else 1
        shuffled = self.rng.sample(targets, len(targets))
        first_of_service = {item.service: item for item in reversed(shuffled)}
        others = [item for item in shuffled if first_of_service[item.service] != item]
        return [*first_of_service.values(), *others][:count]

    def note_probes(self, outcomes: Sequence[ProbeOutcome], now: float) -> bool:
        """Record a round of probes; return whether it changes the state.

        A failed probe without a suspicion only raises one. Probes that failed, but were
        not refused, say nothing while targets answer on open connections: the targets
        may be overloaded.
        """
        reached = outcomes.count(ProbeOutcome.REACHED)
        is_answered = now - self.heard_at < SILENCE_S
        if reached:
            self.heard_at = now
        elif is_answered and ProbeOutcome.REFUSED not in outcomes:
            self.is_suspected = False
            return False
        self.is_suspected = bool(outcomes) and not reached
        state = self.find_state(reached, len(outcomes))
        has_changed = state is not self.state
        self.state = state
        return has_changed

    def find_state(self, reached: int, probed: int) -> ReachState:
        """Return the state after a round of probes."""
        if self.is_lost:
            is_regained = probed and reached >= min(REGAINED_TARGETS, probed)
            return ReachState.REACHED if is_regained else ReachState.LOST
        is_lost = probed and not reached and self.is_whole_sample
        return ReachState.LOST if is_lost else ReachState.REACHED

    def note_pause(self, now: float) -> None:
        """Forget what was not heard while this process itself stood still."""
        self.heard_at = self.probed_at = now
        self.is_suspected = False
