"""Tests of the choice of VMs that callers are sent to."""

import testtools

from sesameplank.core.directory import choose_addresses
from sesameplank.core.peer_messages import Health, Member, Phase


def make_members(*data_centres: str) -> list[Member]:
    """Return a serving member in each of the data centres."""
    return [
        Member(f"m{n}", 1, 1, Phase.SERVING, Health.ALIVE, f"10.0.0.{n}:80", "", name)
        for n, name in enumerate(data_centres)
    ]


class ChooseAddressesTests(testtools.TestCase):
    """VMs near the replicas are used alone while they are enough."""

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
            found = choose_addresses(make_members(*names), replicas)
            expected = [f"10.0.0.{number}:80" for number in chosen]
            self.assertEqual(expected, found, names)
