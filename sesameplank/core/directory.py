"""Which VMs a caller is told to connect to.

A request over many shards costs little where the replicas are near: VMs in data
centres that hold many of the replicas come first, and the others stand by.
"""

from collections.abc import Mapping, Sequence

from ..ids import DataCentre
from .peer_messages import Member

MAX_ADDRESSES = 64
NEAR_SHARE = 0.5
MIN_FLEET_SHARE = 0.34
MIN_ADDRESSES = 3


def choose_addresses(
    members: Sequence[Member], replicas: Mapping[DataCentre, int]
) -> list[str]:
    """Return the addresses of the serving VMs that callers should use.

    `replicas` counts the targets of sharded services by data centre. The VMs
    near them are used alone as long as they are a fair part of the fleet.
    """
    most = max(replicas.values(), default=0)
    near = [
        member
        for member in members
        if replicas.get(member.data_centre, 0) >= NEAR_SHARE * most
    ]
    enough = max(MIN_ADDRESSES, MIN_FLEET_SHARE * len(members))
    chosen = near if len(near) >= enough else members
    return [member.address for member in chosen][:MAX_ADDRESSES]
