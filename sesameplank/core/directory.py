"""Which VMs a caller is told to connect to."""

from collections.abc import Iterable

from ..ids import DataCentre
from .peer_messages import Member

MAX_ADDRESSES = 64


def choose_addresses(members: Iterable[Member], data_centre: DataCentre) -> list[str]:
    """Return the addresses of serving VMs for a caller of a data centre."""
    return [member.address for member in members][:MAX_ADDRESSES]
