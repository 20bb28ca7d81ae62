"""What membership is made of: records of entries and messages to send."""

import msgspec

from ..conf import Vm
from ..ids import EntryId, Incarnation
from .hashing import hash_text
from .peer_messages import Health, Member, PeerMessage, Phase


class Outgoing(msgspec.Struct, frozen=True):
    """A message that the process shall send."""

    peer: EntryId
    message: PeerMessage


def get_digest(member: Member | None) -> int:
    """Return the part of a view's digest that one member makes."""
    if member is None or not member.is_present:
        return 0
    return hash_text(member.id, member.epoch, member.health.value) >> 32


def make_own_record(vm: Vm, incarnation: Incarnation, capacity: int = 1) -> Member:
    """Return the record of a process of itself; it outranks its forerunner's."""
    return msgspec.structs.replace(
        make_initial_record(vm),
        incarnation=incarnation,
        epoch=incarnation,
        capacity=capacity,
    )


def make_initial_record(vm: Vm) -> Member:
    """Return the record of a published VM that was never heard."""
    return Member(
        vm.id,
        Incarnation(0),
        0,
        Phase.SERVING,
        Health.ALIVE,
        vm.address,
        vm.peer_address,
        vm.data_centre,
    )
