"""Tests of the configuration over real processes."""

import gevent
import msgspec

from sesameplank.standins.fleetmeter import get_state

from .fleets import FleetTestCase


class ConfigurationTests(FleetTestCase):
    """A configuration comes into force everywhere and never reverts."""

    def publish(self, version: int | None = None) -> int:
        document = msgspec.json.encode(self.world.configuration)
        return self.world.platform.publish_config(document, version)

    def test_change_reaches_every_entry(self):
        self.start_fleet(4)
        version = self.publish()
        self.wait_for_version(self.fleet.entries, version)

    def test_bad_document_is_refused_alike_everywhere(self):
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

    def test_service_that_falls_back_changes_nothing(self):
        self.start_fleet(3)
        newest = self.publish(9)
        self.wait_for_version(self.fleet.entries, newest)
        self.world.platform.config.freeze(1)
        self.publish(3)
        self.world.platform.config.freeze(None)
        gevent.sleep(3.0)
        self.wait_for_version(self.fleet.entries, newest)

    def test_fresh_process_beside_a_stale_service_takes_the_peers_version(self):
        self.start_fleet(4)
        newest = self.publish()
        self.wait_for_version(self.fleet.entries, newest)
        self.world.platform.config.freeze(1)
        for entry in self.fleet.entries:
            entry.kill()
            entry.start()
            entry.wait_until_ready()
            self.assertEqual(newest, get_state(entry)["config_version"])

    def test_service_down_shows_its_age_and_serving_goes_on(self):
        self.start_fleet(3)
        entry = self.fleet.entries[0]
        self.wait_for(
            lambda: get_state(entry)["config_age_s"] is not None, "an age is known"
        )
        self.world.platform.set_down(True)
        before = get_state(entry)["config_age_s"]
        self.wait_for(
            lambda: get_state(entry)["config_age_s"] > before + 6, "the age grows"
        )
        entry.wait_until_ready()
        self.world.platform.set_down(False)
        self.wait_for_version(self.fleet.entries, self.publish())

    def test_all_restarted_together_agree_again(self):
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
