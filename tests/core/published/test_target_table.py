"""Tests of the table of targets."""

import random

import testtools

from sesameplank.core.published.document_version import DocumentVersion
from sesameplank.core.published.target_table import (
    MAX_TOMBSTONES,
    OUTAGE_GRACE_S,
    REMOVAL_GRACE_S,
    REPLACED_HOLD_S,
    RESTORED_HOLD_S,
    TargetChanges,
    TargetPhase,
    TargetRecord,
    TargetTable,
)

FLOOD = 2 * MAX_TOMBSTONES


def make_record(name: str, revision: int, phase=TargetPhase.READY) -> TargetRecord:
    """Return a record of the service `orders`."""
    return TargetRecord(
        name, "orders", "10.0.0.1:80", "dc-a", 2, phase, revision=revision
    )


class TargetTableTests(testtools.TestCase):
    """Newer entries replace older ones; removed targets have a grace period."""

    def setUp(self):
        super().setUp()
        self.table = TargetTable()
        self.apply(2, [make_record("a", 1), make_record("b", 2)], complete=True)

    def apply(
        self,
        revision,
        records=(),
        removed=(),
        now=0.0,
        complete=False,
        after_outage=False,
    ):
        changes = TargetChanges(revision, tuple(records), tuple(removed), complete)
        return self.table.apply(changes, now, after_outage)

    def get_ready(self) -> list[str]:
        return sorted(item.id for item in self.table.get_ready("orders"))

    def get_last_resort(self, now: float) -> list[str]:
        found = self.table.get_last_resort("orders", now)
        return sorted(item.id for item in found)

    def test_older_revision_changes_nothing(self):
        self.assertFalse(self.apply(2, [make_record("c", 2)]))
        self.assertEqual(["a", "b"], self.get_ready())

    def test_complete_list_is_relayed_to_peers_as_changes(self):
        self.apply(5, [make_record("a", 1), make_record("c", 4)], complete=True)
        changes = self.table.get_changes(DocumentVersion(0, 2))
        self.assertFalse(changes.is_whole)
        self.assertEqual(["c"], [item.id for item in changes.records])
        self.assertEqual([("b", 5)], list(changes.removed))
        self.assertTrue(self.table.get_changes(DocumentVersion(0, 1)).is_whole)

    def test_entries_that_name_no_target_displace_none_that_has_left(self):
        self.apply(3, removed=[("a", 3)])
        flood = [(f"odd{number}", 4 + number) for number in range(FLOOD)]
        self.apply(4 + FLOOD, removed=flood)
        self.assertTrue(len(self.table.tombstones) <= MAX_TOMBSTONES)
        self.assertIn("a", self.table.removed_records)
        restored = TargetChanges(9, (make_record("a", 8),), is_whole=True, era=1)
        self.table.apply(restored, 1.0, False)
        self.assertEqual([], self.get_ready())
        self.table.expire(1.0 + RESTORED_HOLD_S)
        self.assertEqual(["a"], self.get_ready())

    def test_forgotten_removals_are_not_missing_in_changes(self):
        flood = [(f"odd{number}", 4 + number) for number in range(FLOOD)]
        self.apply(4 + FLOOD, removed=flood)
        self.assertTrue(self.table.get_changes(DocumentVersion(0, 3)).is_whole)
        changes = self.table.get_changes(DocumentVersion(0, 3 + FLOOD - 100))
        self.assertEqual(100, len(changes.removed))

    def test_entry_that_is_refused_again_is_the_newest(self):
        flood = [(f"odd{number}", 4 + number) for number in range(MAX_TOMBSTONES)]
        self.apply(4 + MAX_TOMBSTONES, removed=flood)
        again = [("odd0", 5 + MAX_TOMBSTONES), ("another", 6 + MAX_TOMBSTONES)]
        self.apply(6 + MAX_TOMBSTONES, removed=again)
        self.assertIn("odd0", self.table.tombstones)
        self.assertNotIn("odd1", self.table.tombstones)

    def test_draining_target_is_a_last_resort_during_its_grace_period(self):
        self.apply(3, [make_record("a", 3, TargetPhase.DRAINING)], now=10.0)
        self.assertEqual(["b"], self.get_ready())
        self.assertEqual(["a"], self.get_last_resort(10.0))
        self.assertEqual([], self.get_last_resort(10.0 + REMOVAL_GRACE_S))

    def test_target_first_seen_draining_is_no_last_resort(self):
        self.apply(3, [make_record("c", 3, TargetPhase.DRAINING)])
        self.assertEqual([], self.get_last_resort(0.0))

    def test_replaced_target_gets_no_calls_until_its_entry_changes(self):
        self.assertTrue(self.table.note_replaced("a", "10.0.0.1:80", 0.0))
        self.assertFalse(self.table.note_replaced("a", "10.0.0.1:80", 0.1))
        self.assertEqual(["b"], self.get_ready())
        self.assertIsNone(self.table.find_ready("a"))
        self.apply(3, [make_record("a", 3)], now=1.0)
        self.assertEqual(["a", "b"], self.get_ready())

    def test_replaced_target_is_tried_again_after_a_time(self):
        self.table.note_replaced("a", "10.0.0.1:80", 0.0)
        self.table.expire(0.99 * REPLACED_HOLD_S)
        self.assertEqual(["b"], self.get_ready())
        self.table.expire(REPLACED_HOLD_S)
        self.assertEqual(["a", "b"], self.get_ready())

    def test_target_with_another_address_is_not_replaced(self):
        self.assertFalse(self.table.note_replaced("a", "10.0.0.9:80", 0.0))
        self.assertFalse(self.table.note_replaced("unknown", "10.0.0.1:80", 0.0))
        self.assertEqual(["a", "b"], self.get_ready())

    def test_replaced_target_is_no_last_resort(self):
        self.apply(3, removed=[("a", 3)], now=1.0)
        self.assertTrue(self.table.note_replaced("a", "10.0.0.1:80", 1.0))
        self.assertEqual([], self.get_last_resort(1.0))
        self.table.note_replaced("b", "10.0.0.1:80", 1.0)
        self.apply(4, removed=[("b", 4)], now=1.0)
        self.assertEqual([], self.get_last_resort(1.0))

    def test_removed_target_is_a_last_resort_longer_after_an_outage(self):
        for after_outage, grace_s in ((False, REMOVAL_GRACE_S), (True, OUTAGE_GRACE_S)):
            table = TargetTable()
            table.apply(TargetChanges(1, (make_record("a", 1),)), 0.0, False)
            table.apply(TargetChanges(2, (), (("a", 2),)), 5.0, after_outage)
            resort = table.get_last_resort("orders", 5.0 + grace_s - 0.01)
            self.assertEqual(["a"], [item.id for item in resort])
            self.assertEqual([], table.get_last_resort("orders", 5.0 + grace_s))

    def test_target_whose_entry_returned_is_ready_again(self):
        self.apply(3, removed=[("a", 3)])
        self.apply(4, [make_record("a", 4)])
        self.assertEqual(["a", "b"], self.get_ready())
        self.assertEqual([], self.get_last_resort(0.0))

    def test_removal_older_than_the_entry_is_ignored(self):
        self.apply(5, [make_record("a", 5)], [("b", 1)])
        self.assertEqual(["a", "b"], self.get_ready())

    def test_complete_list_removes_targets_that_it_lacks(self):
        self.apply(9, [make_record("b", 2)], complete=True)
        self.assertEqual(["b"], self.get_ready())

    def test_discarded_target_is_no_last_resort(self):
        self.apply(3, removed=[("a", 3)])
        self.table.note_replaced("a", "10.0.0.1:80", 1.0)
        self.assertEqual([], self.get_last_resort(0.0))

    def test_peers_reach_the_same_table_by_changes_only(self):
        rng = random.Random(7)
        peer = TargetTable()
        revision = 2
        for _ in range(300):
            revision += 1
            name = rng.choice("abcdef")
            if rng.random() < 0.4 and name in self.table.records:
                self.apply(revision, removed=[(name, revision)])
            else:
                phase = rng.choice(list(TargetPhase))
                self.apply(revision, [make_record(name, revision, phase)])
            if rng.random() < 0.3:
                peer.apply(self.table.get_changes(peer.version), 0.0, False)
        peer.apply(self.table.get_changes(peer.version) or TargetChanges(0), 0.0, False)
        self.assertEqual(self.table.records, peer.records)

    def test_removal_of_a_target_never_held_reaches_peers(self):
        self.apply(5, [make_record("c", 4)])
        peer = TargetTable()
        peer.apply(self.table.get_changes(peer.version), 0.0, False)
        peer.apply(TargetChanges(6, (make_record("x", 6),)), 0.0, False)
        self.apply(8, removed=[("x", 7)])
        peer.apply(self.table.get_changes(peer.version), 0.0, False)
        self.assertNotIn("x", peer.records)

    def test_peer_inside_a_gap_gets_the_complete_list(self):
        peer = TargetTable()
        peer.apply(self.table.get_changes(peer.version), 0.0, False)
        peer.apply(TargetChanges(3, (make_record("x", 3),)), 0.0, False)
        self.apply(5, [make_record("a", 1), make_record("b", 2)], complete=True)
        self.assertTrue(self.table.get_changes(peer.version).is_whole)
        peer.apply(self.table.get_changes(peer.version), 0.0, False)
        self.assertEqual(self.table.records, peer.records)


def make_started(name: str, revision: int, phase=TargetPhase.READY, started_ms=1):
    """Return a record of a target with a known start."""
    return TargetRecord(
        name,
        "orders",
        "10.0.0.1:80",
        "dc-a",
        2,
        phase,
        started_ms=started_ms,
        revision=revision,
    )


class AnnouncedLeavingTests(testtools.TestCase):
    """A target that says that it leaves gets no calls, whatever the list says."""

    def setUp(self):
        super().setUp()
        self.table = TargetTable()
        self.put(make_started("a", 1), make_started("b", 2))

    def put(self, *records: TargetRecord, removed=()) -> None:
        revision = max((item.revision for item in records), default=9)
        changes = TargetChanges(revision, records, tuple(removed))
        self.assertTrue(self.table.apply(changes, 10.0, False))

    def get_ready(self) -> list[str]:
        return sorted(item.id for item in self.table.get_ready("orders"))

    def test_target_is_a_last_resort_for_a_moment(self):
        self.assertTrue(self.table.note_announced("a", 1, 10.0))
        self.assertEqual(["b"], self.get_ready())
        self.assertIsNone(self.table.find_ready("a"))
        record = self.table.records["a"]
        for now, may_call in ((10.5, True), (10.0 + REMOVAL_GRACE_S, False)):
            last_resort = self.table.get_last_resort("orders", now)
            self.assertEqual([record] if may_call else [], last_resort)
            self.assertEqual(may_call, self.table.may_call(record, now))

    def test_target_that_drains_in_the_list_alone_gets_no_call_that_has_waited(self):
        ready = self.table.records["a"]
        self.put(make_started("a", self.table.revision + 1, TargetPhase.DRAINING))
        for now, may_call in ((10.5, True), (10.0 + REMOVAL_GRACE_S, False)):
            self.assertEqual(may_call, self.table.may_call(ready, now))
        self.assertTrue(self.table.may_call(self.table.records["b"], 20.0))

    def test_it_is_news_once_and_only_of_the_incarnation_that_is_listed(self):
        for started_ms, is_news in ((2, False), (1, True), (1, False)):
            self.assertEqual(is_news, self.table.note_announced("a", started_ms, 10.0))
        self.assertFalse(self.table.note_announced("unknown", 1, 10.0))

    def test_entries_of_the_same_incarnation_do_not_undo_it(self):
        self.table.note_announced("a", 1, 10.0)
        for phase in (TargetPhase.READY, TargetPhase.DRAINING, TargetPhase.READY):
            self.put(make_started("a", self.table.revision + 1, phase))
            self.assertEqual(["b"], self.get_ready())
            self.assertFalse(self.table.may_call(self.table.records["a"], 12.0))

    def test_removed_entry_makes_it_no_last_resort_again(self):
        self.table.note_announced("a", 1, 10.0)
        self.table.expire(12.0)
        self.put(removed=[("a", 9)])
        self.assertEqual([], self.table.get_last_resort("orders", 12.0))

    def test_next_incarnation_gets_calls(self):
        self.table.note_announced("a", 1, 10.0)
        self.put(make_started("a", 5, started_ms=2))
        self.assertEqual(["a", "b"], self.get_ready())

    def test_store_that_comes_back_from_a_copy_does_not_undo_it(self):
        self.table.note_announced("a", 1, 10.0)
        records = (make_started("a", 1), make_started("b", 2))
        changes = TargetChanges(3, records, (), is_whole=True, era=1)
        self.table.apply(changes, 11.0, False)
        self.assertEqual(["b"], self.get_ready())


class RestoredStoreTests(testtools.TestCase):
    """The list follows a store that was restored from a copy some seconds old."""

    def setUp(self):
        super().setUp()
        self.table = TargetTable()
        records = [make_started("a", 1), make_started("b", 2), make_started("c", 3)]
        self.apply(10, records, whole=True)

    def apply(self, revision, records=(), removed=(), era=1, now=0.0, whole=False):
        changes = TargetChanges(
            revision, tuple(records), tuple(removed), whole, era=era
        )
        return self.table.apply(changes, now, False)

    def restore(self, *records, now=20.0) -> bool:
        return self.apply(5, records, era=2, now=now, whole=True)

    def get_ready(self) -> list[str]:
        return sorted(item.id for item in self.table.get_ready("orders"))

    def test_list_of_a_later_era_replaces_one_with_a_higher_revision(self):
        self.assertTrue(self.restore(make_started("a", 1), make_started("d", 4)))
        self.assertEqual(["a", "d"], self.get_ready())
        self.assertEqual(DocumentVersion(2, 5), self.table.version)
        self.assertTrue(self.apply(6, [make_started("e", 6)], era=2, now=20.0))
        self.assertEqual(["a", "d", "e"], self.get_ready())

    def test_list_of_an_earlier_era_is_refused(self):
        self.restore(make_started("a", 1))
        self.assertFalse(self.apply(99, [make_started("z", 99)], era=1, whole=True))
        self.assertEqual(["a"], self.get_ready())

    def test_earlier_era_is_refused_once_a_later_one_was_heard_of(self):
        self.table.note_era(2)
        self.assertFalse(self.apply(11, [make_started("z", 11)], era=1))
        self.assertTrue(self.restore(make_started("a", 1)))

    def test_changes_cannot_begin_an_era(self):
        self.assertFalse(self.apply(11, [make_started("z", 11)], era=2))
        self.assertEqual(["a", "b", "c"], self.get_ready())

    def test_missing_entry_is_a_last_resort_until_written_again(self):
        self.restore(make_started("a", 1), now=20.0)
        until = 20.0 + OUTAGE_GRACE_S
        resort = self.table.get_last_resort("orders", until - 0.01)
        self.assertEqual(["b", "c"], sorted(item.id for item in resort))
        self.assertTrue(self.apply(6, [make_started("b", 6)], era=2, now=21.0))
        self.assertEqual(["a", "b"], self.get_ready())

    def test_draining_target_stays_so_until_its_entry_changes(self):
        self.apply(11, [make_started("a", 11, TargetPhase.DRAINING)])
        self.restore(make_started("a", 1), make_started("b", 2))
        self.table.expire(500.0)
        self.assertEqual(["b"], self.get_ready())
        self.apply(6, [make_started("a", 6, TargetPhase.DRAINING)], era=2, now=500.0)
        self.assertEqual([], self.table.get_last_resort("orders", 500.0))

    def test_draining_target_stays_so_over_a_second_restore(self):
        self.apply(11, [make_started("a", 11, TargetPhase.DRAINING)])
        self.restore(make_started("a", 1))
        self.apply(4, [make_started("a", 1)], era=3, now=25.0, whole=True)
        self.assertEqual([], self.get_ready())

    def test_removed_target_that_is_listed_again_is_held_for_a_time(self):
        self.apply(11, removed=[("a", 11)])
        self.restore(make_started("a", 1), now=20.0)
        self.assertEqual([], self.get_ready())
        self.assertIsNone(self.table.find_ready("a"))
        self.table.expire(20.0 + RESTORED_HOLD_S - 0.01)
        self.assertEqual([], self.get_ready())
        self.table.expire(20.0 + RESTORED_HOLD_S)
        self.assertEqual(["a"], self.get_ready())
        self.assertIsNotNone(self.table.find_ready("a"))

    def test_target_that_started_again_is_ready_at_once(self):
        self.apply(11, [make_started("b", 11, TargetPhase.DRAINING)], [("a", 11)])
        self.restore(
            make_started("a", 4, started_ms=2), make_started("b", 5, started_ms=2)
        )
        self.assertEqual(["a", "b"], self.get_ready())

    def test_peer_of_an_earlier_era_gets_the_complete_list(self):
        peer = TargetTable()
        peer.apply(self.table.get_changes(peer.version), 0.0, False)
        self.restore(make_started("a", 1))
        changes = self.table.get_changes(peer.version)
        self.assertTrue(changes.is_whole)
        self.assertTrue(peer.apply(changes, 20.0, False))
        self.assertEqual(self.table.records, peer.records)
        self.assertEqual(self.table.version, peer.version)


class ScriptedStore:
    """A store with random writes, a copy of the past and restores from it."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.era = 1
        self.revision = 0
        self.records: dict[str, TargetRecord] = {}
        self.states = [(0, {})]
        self.starts = 0
        self.gone: set[int] = set()

    def write(self) -> None:
        """Add, change or remove a random target."""
        self.revision += 1
        name = self.rng.choice("abcdefgh")
        known = self.records.get(name)
        choice = self.rng.random()
        if known is not None and choice < 0.3:
            del self.records[name]
            self.gone.add(known.started_ms)
        elif known is not None and known.started_ms not in self.gone and choice < 0.7:
            self.gone.add(known.started_ms)
            phase = TargetPhase.DRAINING
            self.records[name] = make_started(
                name, self.revision, phase, known.started_ms
            )
        else:
            self.starts += 1
            self.records[name] = make_started(
                name, self.revision, started_ms=self.starts
            )
        self.states.append((self.revision, dict(self.records)))

    def restore(self) -> None:
        """Return to a recent state under a new era."""
        self.states = self.states[: max(1, len(self.states) - self.rng.randint(0, 4))]
        self.revision, records = self.states[-1]
        self.records = dict(records)
        self.era += 1

    def read(self) -> TargetChanges:
        """Return the complete list."""
        records = tuple(self.records.values())
        return TargetChanges(self.revision, records, (), True, self.era)


class RestoredStorePropertyTests(testtools.TestCase):
    """Random writes, restores, splits and delays against a fleet of tables."""

    def test_fleet_agrees_with_the_store_and_never_returns_to_an_earlier_era(self):
        for seed in range(30):
            self.play(random.Random(seed))

    def play(self, rng: random.Random) -> None:
        store = ScriptedStore(rng)
        tables = [TargetTable() for _ in range(4)]
        drained = {id(table): set() for table in tables}
        delayed: list[TargetChanges] = []
        now = 0.0
        for _ in range(120):
            now += rng.choice((0.1, 1.0, 6.0))
            step = rng.random()
            table = rng.choice(tables)
            version = table.version
            if step < 0.4:
                store.write()
            elif step < 0.45:
                store.restore()
            elif step < 0.6:
                delayed.append(store.read())
            elif step < 0.8 and delayed:
                table.apply(delayed.pop(rng.randrange(len(delayed))), now, False)
            else:
                changes = rng.choice(tables).get_changes(table.version)
                if changes is not None:
                    table.apply(changes, now, True)
            self.assertLessEqual(version, table.version)
            self.check_no_return(table, drained[id(table)])
        for table in tables:
            table.apply(store.read(), now, False)
            self.assertEqual(store.records, table.records)
            self.assertEqual(store.read().version, table.version)

    def check_no_return(self, table: TargetTable, drained: set[int]) -> None:
        """Check that no target that this table saw draining is ready again.

        `drained` holds the starts of the targets that it saw draining so far.
        """
        ready = {item.started_ms for item in table.get_ready("orders")}
        self.assertEqual(set(), ready & drained)
        drained.update(
            item.started_ms
            for item in table.records.values()
            if item.phase is TargetPhase.DRAINING
        )
