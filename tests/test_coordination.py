"""Tests of the addresses of entries that callers may use."""

import random
from types import SimpleNamespace

import msgspec
import testtools

from sesameplank.conf import PublishedVms, Vm, VmState
from sesameplank.coordination import Coordination
from sesameplank.core.membership.members import make_own_record
from sesameplank.core.membership.membership import Membership

COUNT = 4


def make_vms(*leaving: int) -> PublishedVms:
    """Return a list of VMs, some of which are leaving."""
    vms = (
        Vm(f"e{number}", f"10.0.0.{number}:80", f"10.0.0.{number}:81", "dc")
        for number in range(COUNT)
    )
    return PublishedVms(
        1,
        tuple(
            msgspec.structs.replace(vm, state=VmState.LEAVING) if n in leaving else vm
            for n, vm in enumerate(vms)
        ),
    )


class AddressesTests(testtools.TestCase):
    """Guards against callers who are sent to an entry with a stale view."""

    CASES = (
        # leaving entries, those with a stale view, the addresses
        ((), (), "0123"),
        ((), (2,), "013"),
        ((1,), (2,), "03"),
        ((), (1, 2, 3), "0123"),
        ((1,), (2, 3), "023"),
    )

    def test_table(self):
        for leaving, stale, expected in self.CASES:
            vms = make_vms(*leaving)
            records = [make_own_record(vm, 1) for vm in vms.vms]
            membership = Membership(records[0], random.Random(1), 0.0)
            for number, record in enumerate(records):
                changed = msgspec.structs.replace(record, is_view_stale=number in stale)
                membership.put(changed, 0.0)
            coordination = SimpleNamespace(
                vms=SimpleNamespace(current=vms), membership=membership
            )
            found = Coordination.get_addresses(coordination)
            numbers = "".join(address[7] for address in sorted(found))
            self.assertEqual(expected, numbers, (leaving, stale))
