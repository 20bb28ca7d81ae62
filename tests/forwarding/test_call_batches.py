"""Tests of the calls that a VM without own links to targets sends through others."""

import random

import msgspec
import testtools

from sesameplank.conf import Vm
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.forwarding.batch_messages import BatchedAnswers, BatchedCalls
from sesameplank.core.forwarding.batches import AggregatorChoice
from sesameplank.core.forwarding.fanout_calls import Call, CallKind
from sesameplank.core.limits.limit_parts import ActiveVmParts
from sesameplank.core.limits.target_limits import TargetLimits
from sesameplank.core.membership.members import make_own_record
from sesameplank.core.published.target_table import TargetPhase, TargetRecord
from sesameplank.forwarding.call_batches import BatchRequest, CallBatches
from sesameplank.forwarding.http_messages import RequestEncoder
from sesameplank.peers import PeerContext

OWN = "vm0"
DATA_CENTRES = ("dc0", "dc1")


def make_member(number: int, capacity: int = 1, **changes):
    """Return the record of a VM."""
    name = f"vm{number}"
    vm = Vm(name, f"{name}:1", f"{name}:2", DATA_CENTRES[number % 2])
    return msgspec.structs.replace(make_own_record(vm, 1, capacity), **changes)


class Links:
    """Links to some VMs, which record what is sent."""

    def __init__(self, connected, incarnation: int = 1) -> None:
        self.incarnation = incarnation
        self.connected = set(connected)
        self.sent: list[tuple[str, BatchedCalls]] = []
        self.dialled: list[str] = []

    def register(self, message_type, handler) -> None:
        """Ignore the handler."""

    def is_connected(self, peer) -> bool:
        """Return whether there is a link."""
        return peer in self.connected

    def get_channel(self, peer):
        """Return the peer in place of its channel."""
        return peer

    def ensure_connected(self, channel) -> None:
        """Record an attempt to open a link."""
        self.dialled.append(channel)

    def send(self, peer, message) -> bool:
        """Record a message."""
        self.sent.append((peer, message))
        return True


class CallBatchesTestCase(testtools.TestCase):
    """Sends calls of a VM through others whose links are stand-ins."""

    def make(self, members, connected, incarnation: int = 1) -> CallBatches:
        self.links = Links(connected, incarnation)
        choice = AggregatorChoice(OWN, random.Random(1))
        return CallBatches(
            self.links,
            DATA_CENTRES[0],
            ManualClock(5.0),
            choice,
            lambda: members,
            lambda event: None,
        )

    def make_calls(self, kind: CallKind, count: int = 6) -> list[Call]:
        """Return calls to targets in both data centres."""
        return [
            Call(
                number,
                kind,
                f"s{number}",
                TargetRecord(
                    f"t{number}",
                    f"s{number}",
                    "10.0.0.1:80",
                    DATA_CENTRES[number % 2],
                    2,
                    TargetPhase.READY,
                ),
                5.0,
            )
            for number in range(count)
        ]

    def send(self, batches, calls, *, is_gather=True, is_idempotent=True):
        """Send calls and return the messages."""
        request = self.make_request(is_gather, is_idempotent)
        batches.send_through_deputies(calls, request)
        return self.links.sent

    def make_request(self, is_gather=True, is_idempotent=True) -> BatchRequest:
        """Return the request that calls are made for."""
        return BatchRequest(
            "r1",
            RequestEncoder(b"GET", b"/", [], b""),
            5,
            6.0,
            7.0,
            lambda batch, message: None,
            is_gather=is_gather,
            is_idempotent=is_idempotent,
            is_head=False,
        )


class DeputyTests(CallBatchesTestCase):
    """Calls go to VMs that reach targets, and merged answers share no shard."""

    def test_only_first_calls_of_a_gather_are_merged(self):
        members = [make_member(number) for number in range(3)]
        for kind, is_gather, is_merged in (
            (CallKind.FIRST, True, True),
            (CallKind.HEDGE, True, False),
            (CallKind.RETRY, True, False),
            (CallKind.FIRST, False, False),
        ):
            batches = self.make(members, ("vm1", "vm2"))
            sent = self.send(batches, self.make_calls(kind), is_gather=is_gather)
            self.assertEqual(
                {not is_merged}, {message.wants_responses for _, message in sent}
            )

    def test_vms_that_reach_no_targets_or_have_no_link_get_no_calls(self):
        members = [
            make_member(1, reaches_targets=False),
            make_member(2),
            make_member(3),
            make_member(4, serves_single_calls=False),
        ]
        batches = self.make(members, ("vm1", "vm2", "vm4"))
        sent = self.send(batches, self.make_calls(CallKind.FIRST))
        self.assertEqual(["vm2"], [peer for peer, _ in sent])

    def test_vms_in_the_data_centre_of_the_targets_come_first(self):
        members = [make_member(number) for number in range(1, 5)]
        batches = self.make(members, ("vm1", "vm2", "vm3", "vm4"))
        for peer, message in self.send(batches, self.make_calls(CallKind.FIRST)):
            places = {int(target[1:]) % 2 for target in message.targets}
            self.assertEqual({int(peer[2:]) % 2}, places)

    def test_calls_are_spread_by_capacity(self):
        members = [make_member(2, capacity=9), make_member(4, capacity=1)]
        batches = self.make(members, ("vm2", "vm4"))
        for _ in range(200):
            self.send(batches, self.make_calls(CallKind.FIRST, 1))
        counts = [peer for peer, _ in self.links.sent].count("vm4")
        self.assertTrue(5 <= counts <= 45, counts)

    def test_links_are_opened_if_there_are_none(self):
        batches = self.make([make_member(1), make_member(2)], ())
        self.assertEqual([], self.send(batches, self.make_calls(CallKind.FIRST)))
        self.assertEqual(["vm1", "vm2"], self.links.dialled)

    def test_request_that_may_run_once_says_so(self):
        batches = self.make([make_member(1)], ("vm1",))
        calls = self.make_calls(CallKind.FIRST, 1)
        ((_, message),) = self.send(
            batches, calls, is_gather=False, is_idempotent=False
        )
        self.assertFalse(message.is_idempotent)


class HolderTests(CallBatchesTestCase):
    """Calls to limited targets go to VMs that have a part of the limit."""

    def send_limited(self, own: str, per_s: float, **changes) -> list[str]:
        """Send calls of a VM to a limited target; return the VMs that got them."""
        members = [make_member(number, **changes) for number in range(6)]
        batches = self.make(members, [member.id for member in members])
        batches.choice.own_id = own
        parts = ActiveVmParts(own, 2)
        parts.update([member.id for member in members], len(members), 0.0)
        limits = TargetLimits(parts)
        calls = self.make_calls(CallKind.FIRST, 1)
        limits.name(calls[0].target.id, per_s, 5.0, "vm9")
        self.holders = limits.get_holders(calls[0].target.id, 5.0)
        for _ in range(20):
            batches.send_to_holders(calls, self.make_request(), limits)
        return [peer for peer, _ in self.links.sent]

    def test_only_other_vms_with_a_part_get_calls(self):
        peers = self.send_limited("vm0", 1.0)
        self.assertEqual(set(self.holders) - {"vm0"}, set(peers))
        own = self.holders[0]
        self.assertNotIn(own, self.send_limited(own, 1.0))

    def test_no_vm_gets_calls_to_a_target_that_takes_none(self):
        for own in ("vm0", "vm1", "vm2"):
            self.assertEqual([], self.send_limited(own, 0.0))
            self.assertEqual([], self.links.dialled)

    def test_vms_that_cannot_return_single_responses_get_none(self):
        self.assertEqual([], self.send_limited("vm0", 1.0, serves_single_calls=False))


class IncarnationTests(CallBatchesTestCase):
    """A process that starts again gets answers to batches of before."""

    def test_answers_to_batches_of_an_earlier_incarnation_are_ignored(self):
        members = [make_member(number) for number in range(3)]
        received = []
        ids = []
        for incarnation in (1_000, 2_000):
            batches = self.make(members, ["vm1"], incarnation)
            request = msgspec.structs.replace(
                self.make_request(), on_answers=lambda *item: received.append(item)
            )
            calls = self.make_calls(CallKind.FIRST)
            (batch, *_) = batches.send_through_deputies(calls, request)
            ids.append(batch.id)
        context = PeerContext("vm1", 1, 0.0, float("inf"))
        batches.on_message(BatchedAnswers(ids[0]), context)
        self.assertEqual([], received)
        batches.on_message(BatchedAnswers(ids[1]), context)
        self.assertEqual(1, len(received))
