"""Tests of configuration updates over real processes."""

import gevent
import msgspec

from sesameplank.conf import Vm
from sesameplank.core.published.view_age import STALE_VIEW_AGE_S
from sesameplank.ids import DataCentre, EntryId
from sesameplank.standins.fleetmeter import get_state

from .fleets import FleetTestCase

NESTED = b"[" * 2_000 + b"]" * 2_000
STEADY_S = 20.0
WATCHED_S = 3.0  # Longer than one call to the platform's service.


class ConfigurationTests(FleetTestCase):
    """A new configuration takes effect at every entry and is never reverted."""

    def publish(self, version: int | None = None) -> int:
        document = msgspec.json.encode(self.world.configuration)
        return self.world.platform.publish_config(document, version)

    def test_change_reaches_every_entry(self):
        self.start_fleet(4)
        version = self.publish()
        self.wait_for_version(self.fleet.entries, version)

    def test_every_entry_refuses_a_bad_document_for_the_same_reason(self):
        self.start_fleet(4)
        version = self.world.platform.publish_config(b'{"deployment":"x"}')
        reasons = set()
        for entry in self.fleet.entries:
            self.wait_for(
                lambda entry=entry: get_state(entry)["refused"],
                f"{entry.vm.id} refuses the document",
            )
            state = get_state(entry)
            self.assertEqual(version - 1, state["config_version"])
            self.assertEqual(version, state["refused"]["version"])
            reasons.add(state["refused"]["reason"])
        self.assertEqual(1, len(reasons))
        self.wait_for_version(self.fleet.entries, self.publish())

    def test_documents_that_cannot_be_decoded_do_not_end_the_reading(self):
        # One that is nested too deeply once ended it in each process.
        self.start_fleet(3)
        platform = self.world.platform
        platform.publish_config(b'{"x":' + NESTED + b"}")
        platform.vms.publish(platform.vms.version + 1, b'{"x":' + NESTED + b"}")
        gevent.sleep(WATCHED_S)
        unreadable = Vm(EntryId("unreadable"), "nowhere", "nowhere", DataCentre("dc"))
        platform.publish_vms((*self.world.published_vms, unreadable))
        self.wait_for_version(self.fleet.entries, self.publish())
        platform.publish_vms(self.world.published_vms)
        self.wait_for_views([self.fleet.entries])
        for entry in self.fleet.entries:
            self.wait_for(
                lambda entry=entry: (
                    get_state(entry)["vms"]["version"] == platform.vms.version
                ),
                "the list of VMs",
            )
            tasks = get_state(entry)["tasks"]
            self.assertEqual(set(), {k for k, v in tasks.items() if v["failures"]})

    def test_older_version_from_the_service_is_ignored(self):
        self.start_fleet(3)
        newest = self.publish(9)
        self.wait_for_version(self.fleet.entries, newest)
        self.world.platform.config.freeze(1)
        self.publish(3)
        self.world.platform.config.freeze(None)
        gevent.sleep(3.0)
        self.wait_for_version(self.fleet.entries, newest)

    def test_restarted_entry_prefers_newer_version_of_peers_to_stale_service(self):
        self.start_fleet(4)
        newest = self.publish()
        self.wait_for_version(self.fleet.entries, newest)
        self.world.platform.config.freeze(1)
        for entry in self.fleet.entries:
            entry.kill()
            entry.start()
            entry.wait_until_ready()
            self.assertEqual(newest, get_state(entry)["config_version"])

    def test_entry_serves_and_reports_the_configuration_age_while_the_service_is_down(
        self,
    ):
        self.start_fleet(3)
        entry = self.fleet.entries[0]
        self.wait_for(
            lambda: get_state(entry)["config_age_s"] is not None,
            "a known configuration age",
        )
        self.world.platform.set_down(True)
        before = get_state(entry)["config_age_s"]
        self.wait_for(
            lambda: get_state(entry)["config_age_s"] > before + 6,
            "a growing configuration age",
        )
        entry.wait_until_ready()
        self.world.platform.set_down(False)
        self.wait_for_version(self.fleet.entries, self.publish())

    def test_entry_tells_that_its_view_is_stale_only_while_the_service_is_down(self):
        self.start_fleet(4)
        ages = []
        with gevent.Timeout(STEADY_S, False):
            while True:
                ages += [get_state(item)["config_age_s"] for item in self.fleet.entries]
                gevent.sleep(0.5)
        self.assertLess(max(age for age in ages if age is not None), STALE_VIEW_AGE_S)
        self.world.platform.set_down(True)
        for entry in self.fleet.entries:
            self.wait_for(
                lambda entry=entry: get_state(entry)["view_is_stale"], "a stale view"
            )
        self.world.platform.set_down(False)
        for entry in self.fleet.entries:
            self.wait_for(
                lambda entry=entry: not get_state(entry)["view_is_stale"], "the end"
            )

    def test_entries_agree_after_a_simultaneous_restart(self):
        self.start_fleet(8)
        self.wait_for_views([self.fleet.entries])
        for entry in self.fleet.entries:
            entry.kill()
        for entry in self.fleet.entries:
            entry.start()
        for entry in self.fleet.entries:
            entry.wait_until_ready()
        self.wait_for_views([self.fleet.entries])
        self.wait_for_version(self.fleet.entries, self.world.platform.config.version)
