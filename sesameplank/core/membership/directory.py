"""Choice of the active VMs: those whose addresses callers receive.

A target accepts few connections in total, so only a limited number of VMs can hold
useful connections to each target. A request through any other VM has to wait until
connections are opened. In addition, a narrow link needs more time for the answers
of many shards than the targets need for the work, so weak VMs are left out while
strong ones can carry the load.

Every VM makes the same choice: VMs near the replicas, then those with the greatest
capacity, then by rank. The other VMs are on standby and take over as soon as an
active one leaves.

Callers aren't sent to active VMs with a stale view while enough others are current.
These VMs stay active otherwise: requests that reach them are served, so they keep their
parts of limits and connections.
"""

from collections.abc import Mapping, Sequence

from ...ids import DataCentre
from .homes import rank
from .peer_messages import Member

MAX_ADDRESSES = 64
# A data centre is near if it has at least this share of the greatest number of
# replicas in any data centre.
NEAR_SHARE = 0.5
# Only near VMs are chosen if they are at least this share of the fleet.
MIN_NEAR_SHARE = 0.34
MIN_ADDRESSES = 3
# Least share of the fleet's capacity that is active, because the number of useful
# connections says nothing about the load.
MIN_ACTIVE_SHARE = 0.25
# VMs with a stale view are left out while the others have this share of the VMs and of
# their capacity: then the load of the others at most doubles.
MIN_CURRENT_SHARE = 0.5
WEAK_FACTOR = 0.5  # VMs below this share of the strongest one's capacity are weak.
RANKING_KEY = "active"
ADDRESS_TTL_S = 5.0  # A look-up costs the caller two round trips.
CORES_PER_UNIT = 0.1
MBPS_PER_UNIT = 10.0


def get_capacity(cores: float, link_mbps: float) -> int:
    """Return the capacity of a VM, relative to other VMs, in units; at least 1.

    A unit needs CORES_PER_UNIT cores and MBPS_PER_UNIT Mbit/s. The scarcer of both
    limits the capacity.
    """
    return max(1, int(min(cores / CORES_PER_UNIT, link_mbps / MBPS_PER_UNIT)))


def choose_active(
    members: Sequence[Member],
    replicas: Mapping[DataCentre, int],
    useful_vms: int | None,
) -> list[Member]:
    """Return the active members: those that callers should use.

    `replicas` is the number of targets of sharded services in each data centre. Only
    VMs in data centres with many replicas are considered if they are a sufficient
    share of the fleet. `useful_vms` is the number of VMs that can hold enough
    connections to every target, or None if it is unknown.
    """
    most = max(replicas.values(), default=0)
    near = [
        member
        for member in members
        if replicas.get(member.data_centre, 0) >= NEAR_SHARE * most
    ]
    enough = max(MIN_ADDRESSES, MIN_NEAR_SHARE * len(members))
    chosen = near if len(near) >= enough else list(members)
    if useful_vms is None:
        return chosen
    ranks = {
        entry: n for n, entry in enumerate(rank(RANKING_KEY, [m.id for m in chosen]))
    }
    chosen.sort(key=lambda member: (-member.capacity, ranks[member.id]))
    enough_capacity = MIN_ACTIVE_SHARE * sum(member.capacity for member in members)
    return [
        member
        for place, member in enumerate(chosen)
        if place < MIN_ADDRESSES
        or sum(item.capacity for item in chosen[:place]) < enough_capacity
        or (place < useful_vms and member.capacity >= WEAK_FACTOR * chosen[0].capacity)
    ]


def leave_out_stale(members: Sequence[Member]) -> list[Member]:
    """Return the members with a current view, or all if too few have one.

    Callers keep addresses for seconds. If the store is away for most VMs, or is back
    for the first of them, these few couldn't carry the load of all.
    """
    current = [member for member in members if not member.is_view_stale]
    capacity = sum(member.capacity for member in members)
    current_capacity = sum(member.capacity for member in current)
    is_enough = (
        len(current) >= MIN_CURRENT_SHARE * len(members)
        and current_capacity >= MIN_CURRENT_SHARE * capacity
    )
    return current if is_enough else list(members)
