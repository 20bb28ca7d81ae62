"""Tests of entries beside odd documents of the platform, over real processes."""

import gevent
import msgspec

from sesameplank.conf import TargetState, Vm, VmState
from sesameplank.ids import DataCentre, EntryId
from sesameplank.standins.fleetmeter import get_state

from .fleets import FleetTestCase

WATCHED_S = 2.5  # Longer than one call to the platform's service.
DUE_S = 6.0  # For a change to be in force at every entry.
TARGET = "order-desk-00"
NESTED = b"[" * 100_000 + b"]" * 100_000
DIGITS = b"9" * 400
LONG_NAME = b'"' + b"a" * 70 + b'.example:80"'
TOO_HIGH_PORT = b'"127.0.0.1:70000"'
MANY = 20_000
# With what the reason of the refusal says.
ODD_TARGET_FIELDS = (
    (b"x", NESTED, "recursion"),
    (b"slots", NESTED, "recursion"),
    (b"slots", DIGITS, ".slots"),
    (b"connections", DIGITS, ".connections"),
    (b"address", TOO_HIGH_PORT, ".address"),
    (b"address", LONG_NAME, ".address"),
    (b"address", b'"127.0.0.1\\u0000:80"', ".address"),
)
# Of a VM list that is otherwise whole; the others hold.
ODD_VM_FIELDS = (
    (b"peer_address", TOO_HIGH_PORT),
    (b"peer_address", LONG_NAME),
    (b"address", TOO_HIGH_PORT),
)


class OddDocumentTests(FleetTestCase):
    """No entry ends or fails, and the next good documents are in force in time."""

    def start(self) -> None:
        """Start three entries, and publish a first pair of good documents."""
        self.start_fleet(3)
        self.is_leaving = False
        self.publish_good()
        self.assert_in_force()

    def publish_good(self) -> None:
        """Publish documents that change the state of a VM and of a target."""
        self.is_leaving = not self.is_leaving
        vm_state = VmState.LEAVING if self.is_leaving else VmState.LIVE
        *others, last = self.world.published_vms
        changed = msgspec.structs.replace(last, state=vm_state)
        platform = self.world.platform
        self.vms_version = platform.publish_vms((*others, changed))
        document = msgspec.json.encode(self.make_configuration())
        self.config_version = platform.publish_config(document)

    def make_configuration(self):
        """Return a configuration in which a target is leaving or not."""
        state = TargetState.LEAVING if self.is_leaving else TargetState.SERVING
        targets = dict(self.world.configuration.targets)
        targets[TARGET] = msgspec.structs.replace(targets[TARGET], state=state)
        return msgspec.structs.replace(self.world.configuration, targets=targets)

    def publish_odd_vms(self, vms: bytes, version: bytes = b"") -> None:
        """Publish a VM list as it is given."""
        topic = self.world.platform.vms
        number = topic.version + 1
        listed = b'{"version":%s,"vms":%s}' % (version or b"%d" % number, vms)
        topic.publish(number, listed)

    def make_odd_vms(self, field: bytes, value: bytes) -> bytes:
        """Return the good list, and a VM with one odd field."""
        good = msgspec.json.encode(self.world.published_vms)
        added = Vm(
            EntryId("added"),
            "127.0.0.1:9",
            "127.0.0.1:9",
            self.world.vms[0].data_centre,
        )
        fields = msgspec.json.encode(added)[:-1]
        return good[:-1] + b"," + fields + b',"%s":%s}]' % (field, value)

    def publish_odd_target(self, field: bytes, value: bytes) -> None:
        """Publish a configuration whose first target has an odd field."""
        good = msgspec.json.encode(self.make_configuration())
        added = b'"address":"127.0.0.1:9","data_centre":"a","%s":%s' % (field, value)
        start = b'"targets":{'
        odd = good.replace(start, start + b'"odd":{' + added + b"},")
        self.world.platform.publish_config(odd)

    def find_differences(self) -> list[str]:
        """Return what isn't as the last good documents say."""
        return [
            f"{entry.vm.id} {difference}"
            for entry in self.fleet.entries
            for difference in self.find_differences_of(entry)
        ]

    def find_differences_of(self, entry) -> list[str]:
        """Return what isn't as the last good documents say at one entry."""
        if entry.process.poll() is not None:
            return ["has ended"]
        state = get_state(entry)
        expected = {
            "config": (state["config_version"], self.config_version),
            "vms": (state["vms"]["version"], self.vms_version),
            "leaving": (TARGET in state["leaving_targets"], self.is_leaving),
            "failed": ({k for k, v in state["tasks"].items() if v["failures"]}, set()),
        }
        return [
            f"{name}: {str(seen)[:40]}, not {wanted}"
            for name, (seen, wanted) in expected.items()
            if seen != wanted
        ]

    def assert_in_force(self) -> None:
        """Assert that the last good documents are in force within DUE_S."""
        with gevent.Timeout(DUE_S, False):
            while self.find_differences():
                gevent.sleep(0.1)
        self.assertEqual([], self.find_differences())

    def assert_good_documents_follow(self) -> None:
        """Publish good documents, and assert that they are in force in time."""
        self.publish_good()
        self.assert_in_force()

    def read_logs(self) -> str:
        """Return what all entries have logged."""
        return "".join(item.log_path.read_text() for item in self.fleet.entries)

    def test_odd_target_in_the_configuration(self):
        self.start()
        for field, value, reason in ODD_TARGET_FIELDS:
            logged = self.read_logs().count(reason)
            self.publish_odd_target(field, value)
            gevent.sleep(WATCHED_S)
            self.assertEqual([], self.find_differences(), (field, value[:20]))
            self.assertGreater(self.read_logs().count(reason), logged, reason)
            self.assert_good_documents_follow()

    def test_vm_list_with_a_version_of_400_digits(self):
        self.start()
        listed = msgspec.json.encode(self.world.published_vms)
        self.publish_odd_vms(listed, DIGITS)
        gevent.sleep(WATCHED_S)
        self.assertEqual([], self.find_differences())
        self.assertIn("$.version", self.read_logs())
        self.assert_good_documents_follow()

    def test_vm_list_that_names_an_entry_twice(self):
        self.start()
        entry = self.world.vms[0].id.encode()
        self.publish_odd_vms(self.make_odd_vms(b"id", b'"%s"' % entry))
        gevent.sleep(WATCHED_S)
        self.assertEqual([], self.find_differences())
        self.assertIn("more than once", self.read_logs())
        self.assert_good_documents_follow()

    def test_vm_list_with_an_odd_vm(self):
        self.start()
        for field, value in ODD_VM_FIELDS:
            self.publish_odd_vms(self.make_odd_vms(field, value))
            gevent.sleep(WATCHED_S)
            self.assert_good_documents_follow()
        self.assertNotIn("Traceback", self.read_logs())

    def test_vm_list_without_any_running_entry(self):
        self.start()
        absent = Vm(EntryId("absent"), "127.0.0.1:9", "127.0.0.1:9", DataCentre("a"))
        self.world.platform.publish_vms((absent,))
        gevent.sleep(WATCHED_S)
        self.assert_good_documents_follow()

    def test_vm_list_of_20_000(self):
        self.start()
        data_centre = self.world.vms[0].data_centre
        added = [
            Vm(EntryId(f"vm-{n}"), f"127.0.0.1:{n}", f"127.0.0.1:{n}", data_centre)
            for n in range(1, MANY)
        ]
        self.world.platform.publish_vms((*self.world.published_vms, *added))
        gevent.sleep(WATCHED_S)
        self.assertEqual([], self.find_differences())
        self.assertIn("$.vms", self.read_logs())
        self.assert_good_documents_follow()

    def test_entries_that_start_beside_odd_documents(self):
        self.start()
        self.publish_odd_vms(NESTED)
        self.publish_odd_target(b"slots", DIGITS)
        for entry in self.fleet.entries:
            entry.kill()
            entry.start()
        gevent.sleep(WATCHED_S)
        self.publish_good()
        for entry in self.fleet.entries:
            entry.wait_until_ready()
        self.assert_in_force()
