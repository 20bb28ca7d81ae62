"""Tests of the choice of the active VMs."""

import msgspec
import testtools

from sesameplank.core.membership.directory import (
    choose_active,
    get_capacity,
    leave_out_stale,
)
from sesameplank.core.membership.peer_messages import Health, Member, Phase


def make_members(*data_centres: str) -> list[Member]:
    """Return a serving member in each of the data centres."""
    return [
        Member(f"m{n}", 1, 1, Phase.SERVING, Health.ALIVE, f"10.0.0.{n}:80", "", name)
        for n, name in enumerate(data_centres)
    ]


class GetCapacityTests(testtools.TestCase):
    """The scarcer resource of a VM, CPU or link, limits its capacity."""

    def test_table(self):
        for cores, link, capacity in (
            (1.074, 1000.0, 10),
            (2.0, 11.0, 1),
            (0.25, 100.0, 2),
            (0.0, 0.0, 1),
        ):
            self.assertEqual(capacity, get_capacity(cores, link))


class ChooseActiveTests(testtools.TestCase):
    """Only VMs near the replicas are chosen if there are enough of them."""

    CASES = (
        # data centres of the VMs, replicas by data centre, chosen VMs
        ("aaabbbcc", {"a": 20, "b": 20}, [0, 1, 2, 3, 4, 5]),
        ("aaabbbcc", {"a": 20, "b": 20, "c": 12}, list(range(8))),
        ("aaabbbcc", {"a": 20, "b": 9}, [0, 1, 2]),
        ("abcccccc", {"a": 20, "b": 20}, list(range(8))),
        ("aabb", {}, [0, 1, 2, 3]),
        ("ab", {"a": 20}, [0, 1]),
        ("", {"a": 20}, []),
    )

    def test_table(self):
        for names, replicas, chosen in self.CASES:
            found = choose_active(make_members(*names), replicas, None)
            expected = [f"m{number}" for number in chosen]
            self.assertEqual(expected, [member.id for member in found], names)

    def test_only_vms_that_can_hold_useful_connections_are_active(self):
        members = make_members(*"abcd" * 20)
        for useful_vms, count in ((18, 20), (30, 30), (200, 80), (0, 20)):
            self.assertEqual(
                count, len(choose_active(members, {}, useful_vms)), useful_vms
            )

    def test_vms_with_more_capacity_come_first(self):
        members = make_members(*"abcd" * 5)
        strong = [
            msgspec.structs.replace(member, capacity=10) if n % 5 == 0 else member
            for n, member in enumerate(members)
        ]
        chosen = choose_active(strong, {}, 4)[:4]
        self.assertEqual({10}, {member.capacity for member in chosen})

    def test_weak_vms_are_on_standby_while_strong_ones_can_carry_the_load(self):
        for strong, weak, count in (
            (6, 74, 6),
            (10, 73, 10),
            (1, 79, 14),
            (2, 6, 3),
            (0, 40, 18),
        ):
            members = [
                msgspec.structs.replace(member, capacity=10 if n < strong else 1)
                for n, member in enumerate(make_members(*"abcd" * 20)[: strong + weak])
            ]
            chosen = choose_active(members, {}, 18)
            self.assertEqual(count, len(chosen), (strong, weak))
            active_capacity = sum(member.capacity for member in chosen)
            self.assertLessEqual(
                0.25 * sum(m.capacity for m in members), active_capacity
            )

    def test_choice_ignores_the_order_and_replaces_only_a_lost_vm(self):
        members = make_members(*"abcd" * 10)
        first = {m.id for m in choose_active(members, {}, 12)}
        again = {m.id for m in choose_active(members[::-1], {}, 12)}
        self.assertEqual(first, again)
        lost = next(m for m in members if m.id in first)
        remaining = [m for m in members if m is not lost]
        self.assertEqual(
            1, len({m.id for m in choose_active(remaining, {}, 12)} - first)
        )


class LeaveOutStaleTests(testtools.TestCase):
    """Guards against callers who are all sent to the first few current VMs."""

    CASES = (
        # the view of each VM ("s" is stale), capacities, the VMs that callers get
        ("cccc", "1111", "0123"),
        ("cscc", "1111", "023"),
        ("csc", "111", "02"),
        ("cs", "11", "0"),
        ("sc", "11", "1"),
        ("css", "111", "012"),
        ("ccsss", "11111", "01234"),
        ("ccss", "1199", "0123"),
        ("csss", "9111", "0123"),
        ("ssss", "1111", "0123"),
        ("s", "1", "0"),
        ("", "", ""),
    )

    def test_table(self):
        for views, capacities, expected in self.CASES:
            members = [
                msgspec.structs.replace(
                    member, is_view_stale=view == "s", capacity=int(capacity)
                )
                for member, view, capacity in zip(
                    make_members(*"a" * len(views)), views, capacities, strict=True
                )
            ]
            found = "".join(member.id[1:] for member in leave_out_stale(members))
            self.assertEqual(expected, found, (views, capacities))
