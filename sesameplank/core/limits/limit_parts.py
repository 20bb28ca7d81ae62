"""The part of a target's rate limit that one process may use.

A limit is the sum over all processes, none of which sees the calls of the others. They
don't agree on the parts either, so the parts have to add up to the limit at most for
whatever each process believes.

The parts are equal, as in the simplest variant of B. Raghavan and others, "Cloud
control with distributed rate limiting", SIGCOMM 2007. In a network partition, each side
uses only as much of the limit as it has VMs, compared with the largest fleet known.

A small limit is divided among a few processes only, which rendezvous hashing chooses:
an equal part for each of many would be less than one call in the time that matters, and
one saved call of each more than the limit. They are the same ones for all targets, so
that a request over many shards finds room at all of them in one process.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from ...ids import EntryId, TargetId
from ..membership.fleet_share import FleetShare
from ..membership.homes import ConnectionPlan, rank
from .slack_share import UNKNOWN_FLEET_SIZE

RANKING_KEY = "limits"
# Processes that share a limit: one for each request a second, and these.
SPARE_HOLDERS = 2
MAJORITY_SHARE = 0.5


class LimitParts(ABC):
    """Base of the ways to divide limits among processes."""

    @abstractmethod
    def get_part_per_s(self, target: TargetId, per_s: float) -> float:
        """Return how many requests a second this process may send to a target.

        `per_s` is the limit of the target for all processes together.
        """

    @abstractmethod
    def get_holders(self, target: TargetId, per_s: float) -> Sequence[EntryId]:
        """Return the processes that have a part of a target's limit, if any has."""


class WholePart(LimitParts):
    """The whole limit, for a process that is the only one."""

    def get_part_per_s(self, target: TargetId, per_s: float) -> float:
        """Return the limit."""
        return per_s

    def get_holders(self, target: TargetId, per_s: float) -> Sequence[EntryId]:
        """Return no other process."""
        return ()


class ActiveVmParts(LimitParts):
    """Equal parts for the active VMs, or for a few of them.

    `named_vms` is the number of VMs that the settings name, including its own. `place`
    is the place of this VM in the ranking of the active VMs, None if it isn't active.
    """

    def __init__(self, own_id: EntryId, named_vms: int) -> None:
        self.own_id = own_id
        self.fleet = FleetShare(named_vms)
        self.active: tuple[EntryId, ...] = ()
        self.ranked: list[EntryId] = []
        self.place: int | None = None

    def update(self, active: Sequence[EntryId], present: int, now: float) -> None:
        """Apply the view of this process at `now`, in seconds.

        `present` is the number of VMs that it believes to be running, including its
        own.
        """
        self.fleet.update(present, now)
        if self.active != tuple(active):
            self.active = tuple(active)
            self.ranked = rank(RANKING_KEY, active)
            is_active = self.own_id in self.ranked
            self.place = self.ranked.index(self.own_id) if is_active else None

    def get_part_per_s(self, target: TargetId, per_s: float) -> float:
        """Return the part of this side of the fleet, divided by its holders.

        The part is 0 if this VM is none of them. A side that would have less than one
        has none, unless it is most of the fleet. A process that hasn't heard of any
        other yet takes very little.
        """
        if self.place is None:
            return 0.0
        if self.fleet.named_vms > 1 and not self.fleet.has_seen_others:
            return per_s / UNKNOWN_FLEET_SIZE
        holders = len(self.get_holders(target, per_s))
        return self.fleet.share * per_s / holders if self.place < holders else 0.0

    def get_holders(self, target: TargetId, per_s: float) -> list[EntryId]:
        """Return the VMs of this side of the fleet that have a part of a limit."""
        if not per_s:
            return []
        holders = int(self.fleet.share * (per_s + SPARE_HOLDERS))
        if not holders and self.fleet.share > MAJORITY_SHARE:
            holders = 1
        return self.ranked[:holders]


class HomeParts(LimitParts):
    """Equal parts for the homes of a target, or for a few of them.

    Homes follow from the published VM list, which all processes share.
    """

    def __init__(self, plan: ConnectionPlan) -> None:
        self.plan = plan

    def get_part_per_s(self, target: TargetId, per_s: float) -> float:
        """Return the limit divided by the first homes, or 0 if this is none of them."""
        holders = self.get_holders(target, per_s)
        return per_s / len(holders) if self.plan.own_id in holders else 0.0

    def get_holders(self, target: TargetId, per_s: float) -> list[EntryId]:
        """Return the first homes of a target, as many as a limit is divided among."""
        if not per_s:
            return []
        return self.plan.get_homes(target)[: int(per_s) + SPARE_HOLDERS]
