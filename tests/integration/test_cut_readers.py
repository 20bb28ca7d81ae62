"""Tests of entries whose elected readers are cut off from the platform's service."""

import msgspec

from sesameplank.conf import VmState
from sesameplank.net import Address
from sesameplank.standins.deployments import VATUWAQA
from sesameplank.standins.fleet import EntryProcess, Fleet, reserve_block
from sesameplank.standins.fleetmeter import get_state
from sesameplank.standins.proxy import Direction, FaultProxy, Faults
from sesameplank.standins.world import World, WorldOptions

from .fleets import FleetTestCase

ENTRIES = 6  # Two in each data centre, of which one is the reader.
PROXIED_PLATFORM_PORT = 6100
HANGING = Faults(stalled=(Direction.REQUEST, Direction.ANSWER))
REFUSING = Faults(refuse=True)


class CutReaderTests(FleetTestCase):
    """Changes come into force although no elected reader reaches the service."""

    def start_fleet(self) -> None:
        """Start entries that reach the platform through a proxy each."""
        block = self.enterContext(reserve_block())
        options = WorldOptions(entries=ENTRIES)
        self.world = self.enterContext(World(VATUWAQA, block, 3, options=options))
        fleet = Fleet(self.world.vms, self.world.platform_address)
        self.proxies = {item.vm.id: self.add_proxy(item) for item in fleet.entries}
        self.fleet = self.enterContext(fleet)
        self.wait_for_views([self.fleet.entries])

    def add_proxy(self, entry: EntryProcess) -> FaultProxy:
        """Return a proxy that an entry uses to call the platform."""
        listen = Address(entry.address.host, PROXIED_PLATFORM_PORT)
        entry.command.append(f"--platform_address={listen}")
        upstream = self.world.platform_address
        return self.enterContext(FaultProxy(listen, upstream, self.world.rng))

    def cut_readers(self, faults: Faults) -> None:
        """Apply faults to the calls of the elected readers, open ones included."""
        readers = [
            entry
            for entry in self.fleet.entries
            if get_state(entry)["fleet"]["is_reader"]
        ]
        self.assertEqual(len(VATUWAQA.data_centres), len(readers))
        for entry in readers:
            proxy = self.proxies[entry.vm.id]
            proxy.set_faults(faults)
            if faults.refuse:
                proxy.reset_all()

    def assert_changes_come_into_force(self) -> None:
        """Assert that every entry gets a new configuration and VM list."""
        platform = self.world.platform
        document = msgspec.json.encode(self.world.configuration)
        version = platform.publish_config(document)
        *others, last = self.world.published_vms
        leaving = msgspec.structs.replace(last, state=VmState.LEAVING)
        vms = platform.publish_vms((*others, leaving))
        self.wait_for_version(self.fleet.entries, version)
        for entry in self.fleet.entries:
            self.wait_for(
                lambda entry=entry: get_state(entry)["vms"]["version"] == vms,
                f"{entry.vm.id} has version {vms} of the VM list",
            )

    def test_changes_while_calls_of_the_readers_hang(self):
        self.start_fleet()
        self.cut_readers(HANGING)
        self.assert_changes_come_into_force()

    def test_changes_while_the_readers_are_refused(self):
        self.start_fleet()
        self.cut_readers(REFUSING)
        self.assert_changes_come_into_force()
