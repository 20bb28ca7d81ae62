"""Tests of entries of an earlier release beside those of today."""

import tempfile
from pathlib import Path

import gevent
import msgspec

from sesameplank.conf import PublishedVms, TargetState, VmState
from sesameplank.core.membership.readers import choose_readers
from sesameplank.standins.deployments import VATUWAQA
from sesameplank.standins.fleet import EntryProcess, Fleet, reserve_block
from sesameplank.standins.fleetmeter import get_state
from sesameplank.standins.world import World, WorldOptions

from .fleets import FleetTestCase
from .test_mixed_releases import unpack_release

ENTRIES = 6  # Two in each data centre, of which one is the reader.
NESTED = b"[" * 2_000 + b"]" * 2_000
WATCHED_S = 3.0
DUE_S = 6.0
TARGET = "order-desk-00"


class MixedEntriesTests(FleetTestCase):
    """All elected readers run the earlier release, whose reading may have ended."""

    release = "1901172"

    def setUp(self):
        super().setUp()
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        unpack_release(self.release, folder)
        block = self.enterContext(reserve_block())
        options = WorldOptions(entries=ENTRIES)
        self.world = self.enterContext(World(VATUWAQA, block, 3, options=options))
        listed = PublishedVms(1, self.world.vms)
        readers = choose_readers(listed, [vm.id for vm in self.world.vms])
        fleet = Fleet(self.world.vms, self.world.platform_address)
        self.commands = {item.vm.id: item.command for item in fleet.entries}
        self.earlier = [item for item in fleet.entries if item.vm.id in readers]
        self.current = [item for item in fleet.entries if item.vm.id not in readers]
        for entry in self.earlier:
            entry.command = ["env", "-C", str(folder), *entry.command]
        self.fleet = self.enterContext(fleet)
        self.wait_for_views([self.fleet.entries])

    def publish(self, is_leaving: bool) -> None:
        """Publish documents with the state of a VM and of a target."""
        vm_state = VmState.LEAVING if is_leaving else VmState.LIVE
        *others, last = self.world.published_vms
        last = msgspec.structs.replace(last, state=vm_state)
        self.vms_version = self.world.platform.publish_vms((*others, last))
        state = TargetState.LEAVING if is_leaving else TargetState.SERVING
        targets = dict(self.world.configuration.targets)
        targets[TARGET] = msgspec.structs.replace(targets[TARGET], state=state)
        changed = msgspec.structs.replace(self.world.configuration, targets=targets)
        document = msgspec.json.encode(changed)
        self.config_version = self.world.platform.publish_config(document)

    def publish_nested(self) -> None:
        """Publish documents that are nested too deeply for the decoder."""
        platform = self.world.platform
        platform.publish_config(b'{"x":' + NESTED + b"}")
        platform.vms.publish(platform.vms.version + 1, b'{"x":' + NESTED + b"}")

    def has_newest(self, entry: EntryProcess) -> bool:
        """Return whether an entry has the documents that were published last."""
        state = get_state(entry)
        versions = state["config_version"], state["vms"]["version"]
        return versions == (self.config_version, self.vms_version)

    def test_changes_beside_earlier_readers_and_in_a_roll(self):
        self.publish_nested()
        gevent.sleep(WATCHED_S)
        self.publish(is_leaving=True)
        for entry in (*self.current, *self.earlier):
            self.wait_for(lambda e=entry: self.has_newest(e), f"news at {entry.vm.id}")
        for entry in self.current:
            self.assertIn(TARGET, get_state(entry)["leaving_targets"])
        for entry in self.earlier:
            entry.kill()
            entry.command = self.commands[entry.vm.id]
            entry.start()
            entry.wait_until_ready()
            self.assertTrue(self.has_newest(entry))
        self.publish(is_leaving=False)
        with gevent.Timeout(DUE_S, False):
            while not all(self.has_newest(item) for item in self.fleet.entries):
                gevent.sleep(0.1)
        self.assertEqual(
            [True] * ENTRIES, list(map(self.has_newest, self.fleet.entries))
        )


class LaterMixedEntriesTests(MixedEntriesTests):
    """The same, beside a later release, which reads on after such documents."""

    release = "4799d94"
