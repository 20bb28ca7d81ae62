"""Tests of the stores of published documents."""

import msgspec
import testtools

from sesameplank.conf import PublishedConfiguration, PublishedVms, Vm
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.published.versions import ConfigurationStore, OfferResult, VmStore
from sesameplank.exceptions import VersionNotAppliedError
from sesameplank.standins.deployments import VATUWAQA, make_configuration

VALID = msgspec.json.encode(make_configuration(VATUWAQA, "127.20"))
OTHER = VALID.replace(b'"ordinary"', b'"peak"')


def publish(version: int, document: bytes = VALID) -> PublishedConfiguration:
    """Return a document as the platform publishes it."""
    return PublishedConfiguration(version, msgspec.Raw(document))


class ConfigurationStoreTests(testtools.TestCase):
    """The version in force never decreases, whatever is offered."""

    def test_result_of_each_offer(self):
        table = [
            (publish(5), OfferResult.ACCEPTED, 5),
            (publish(5), OfferResult.KNOWN, 5),
            (publish(4), OfferResult.OLDER, 5),
            (publish(5, OTHER), OfferResult.CONFLICT, 5),
            (publish(6, b"{}"), OfferResult.REFUSED, 5),
            (publish(6, b"{}"), OfferResult.KNOWN, 5),
            (publish(7, OTHER), OfferResult.ACCEPTED, 7),
        ]
        store = ConfigurationStore(ManualClock())
        for published, result, version in table:
            self.assertEqual(result, store.offer(published))
            self.assertEqual(version, store.version)

    def test_refused_higher_version_does_not_block_later_ones(self):
        store = ConfigurationStore(ManualClock())
        store.offer(publish(5))
        store.offer(publish(10**9, b"[]"))
        self.assertEqual(OfferResult.ACCEPTED, store.offer(publish(6, OTHER)))
        self.assertEqual((6, 10**9), (store.version, store.refused_version))

    def test_refusal_is_removed_when_a_later_version_is_in_force(self):
        store = ConfigurationStore(ManualClock())
        store.offer(publish(5))
        store.offer(publish(6, b"[]"))
        self.assertIn("refused", store.refused.reason)
        store.offer(publish(7))
        self.assertIsNone(store.refused)

    def test_refusal_reason_is_deterministic(self):
        reasons = set()
        for _ in range(3):
            store = ConfigurationStore(ManualClock())
            store.offer(publish(6, VALID.replace(b'"start":0', b'"start":1', 1)))
            reasons.add(store.refused.reason)
        self.assertEqual(1, len(reasons))

    def test_age_counts_from_the_newest_confirmation(self):
        clock = ManualClock(100.0)
        store = ConfigurationStore(clock)
        self.assertIsNone(store.age_s)
        store.confirm(3.0)
        store.confirm(10.0)
        clock.advance(2.0)
        self.assertEqual(5.0, store.age_s)


class FailingListenerTests(testtools.TestCase):
    """Guards against a version that counts as in force but isn't applied."""

    def setUp(self):
        super().setUp()
        self.store = ConfigurationStore(ManualClock(100.0))
        self.applied: list[int] = []
        self.failing = {6}
        self.store.listeners.append(
            lambda accepted: self.applied.append(accepted.version)
        )
        self.store.listeners.append(self.fail_on_some)
        self.store.offer(publish(5))

    def fail_on_some(self, accepted) -> None:
        """Fail as a component would that can't apply a version."""
        if accepted.version in self.failing:
            raise OverflowError("too large")

    def test_version_that_a_listener_cannot_apply_is_not_in_force(self):
        self.store.offer(publish(8, b"{}"))
        error = self.assertRaises(VersionNotAppliedError, self.store.offer, publish(6))
        self.assertIn("6", str(error))
        self.assertIn("too large", str(error))
        self.assertEqual((5, 8), (self.store.version, self.store.refused_version))

    def test_listeners_return_to_the_version_in_force(self):
        self.assertRaises(VersionNotAppliedError, self.store.offer, publish(6))
        self.assertEqual([5, 6, 5], self.applied)

    def test_listener_that_fails_again_on_the_return_is_named_too(self):
        self.failing = {5, 6}
        error = self.assertRaises(VersionNotAppliedError, self.store.offer, publish(6))
        self.assertEqual(2, str(error).count("too large"))
        self.assertEqual(5, self.store.version)

    def test_version_is_applied_when_it_is_offered_again(self):
        self.assertRaises(VersionNotAppliedError, self.store.offer, publish(6))
        self.failing.clear()
        self.assertIs(OfferResult.ACCEPTED, self.store.offer(publish(6)))
        self.assertEqual([5, 6, 5, 6], self.applied)

    def test_first_version_that_cannot_be_applied_leaves_none(self):
        store = ConfigurationStore(ManualClock())
        store.listeners.append(self.fail_on_some)
        self.assertRaises(VersionNotAppliedError, store.offer, publish(6))
        self.assertIsNone(store.current)

    def test_vm_list_that_a_listener_cannot_apply_is_not_in_force(self):
        vms = (Vm("a", "127.0.0.1:1", "127.0.0.1:2", "dc"),)
        store = VmStore()
        store.offer(PublishedVms(3, vms))
        applied: list[int] = []
        store.listeners.append(lambda published: applied.append(published.version))
        store.listeners.append(self.fail_on_some)
        for _ in range(2):
            self.assertRaises(VersionNotAppliedError, store.offer, PublishedVms(6, vms))
        self.assertEqual((3, [6, 3, 6, 3]), (store.version, applied))

    def test_version_zero_is_never_in_force(self):
        store = ConfigurationStore(ManualClock())
        for version in (0, -1):
            self.assertIs(OfferResult.OLDER, store.offer(publish(version)))
        self.assertIsNone(store.current)


class VmStoreTests(testtools.TestCase):
    """The version of the VM list never decreases, and an empty list is refused."""

    def test_result_of_each_offer(self):
        vms = (Vm("a", "127.0.0.1:1", "127.0.0.1:2", "dc"),)
        others = (Vm("b", "127.0.0.2:1", "127.0.0.2:2", "dc"),)
        table = [
            (PublishedVms(3, vms), OfferResult.ACCEPTED),
            (PublishedVms(2, vms), OfferResult.OLDER),
            (PublishedVms(3, vms), OfferResult.KNOWN),
            (PublishedVms(3, vms + others), OfferResult.CONFLICT),
            (PublishedVms(4, ()), OfferResult.REFUSED),
        ]
        store = VmStore()
        for published, result in table:
            self.assertEqual(result, store.offer(published))
            self.assertEqual(3, store.version)

    def test_list_that_names_a_vm_twice_is_refused(self):
        vm = Vm("a", "127.0.0.1:1", "127.0.0.1:2", "dc")
        self.assertRaises(ValueError, PublishedVms, 3, (vm, vm))
