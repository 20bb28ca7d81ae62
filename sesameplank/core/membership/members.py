"""Functions that make and hash member records, and the type of outgoing messages."""

import msgspec

from ...conf import Vm
from ...ids import EntryId, Incarnation
from ..common.hashing import hash_text
from .peer_messages import Health, Member, PeerMessage, Phase


class Outgoing(msgspec.Struct, frozen=True):
    """A message to send and its recipient."""

    peer: EntryId
    message: PeerMessage


def get_digest_contribution(member: Member | None) -> int:
    """Return a member's contribution to the 32-bit digest of a view.

    The digest of a view is the XOR of the contributions; absent members add 0.
    """
    if member is None or not member.is_present:
        return 0
    return hash_text(member.id, member.epoch, member.health.value) >> 32


def make_own_record(vm: Vm, incarnation: Incarnation, capacity: int = 1) -> Member:
    """Return the record that a new process publishes about itself.

    Its epoch is the incarnation, so that it outranks the records of the
    previous process with the same id.
    """
    return msgspec.structs.replace(
        make_initial_record(vm),
        incarnation=incarnation,
        epoch=incarnation,
        capacity=capacity,
        serves_single_calls=True,
    )


def make_initial_record(vm: Vm) -> Member:
    """Return the record of a published VM until its process publishes its own."""
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
