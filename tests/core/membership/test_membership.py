"""Tests of membership under seeded schedules of loss, delays, pauses and restarts."""

import heapq
import random

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameplank.conf import PublishedVms, Vm
from sesameplank.core.membership.members import make_initial_record
from sesameplank.core.membership.membership import (
    CONFIRM_AFTER_S,
    SUSPECT_AFTER_S,
    Membership,
)
from sesameplank.core.membership.peer_messages import (
    Health,
    MemberUpdates,
    Phase,
    ProbeAnswer,
    ProbeRequest,
)

CONVERGENCE_S = 5.0
TICK_S = 0.25
MAX_DELAY_S = 0.05


class Network:
    """Simulates processes on a network that loses, repeats and reorders messages."""

    def __init__(self, count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.vms = tuple(
            Vm(f"e{number:02d}", f"10.0.0.{number}:80", f"10.0.0.{number}:81", "dc")
            for number in range(count)
        )
        self.starts = 0
        self.processes: dict[str, Membership] = {}
        self.paused: set[str] = set()
        self.backlog: dict[str, list] = {}
        self.blocked: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.duplicates = 0.0
        self.events: list = []
        self.event_count = 0
        for vm in self.vms:
            self.start(vm)

    def start(self, vm: Vm) -> None:
        self.starts += 1
        own = msgspec.structs.replace(
            make_initial_record(vm), incarnation=self.starts, epoch=1_000 * self.starts
        )
        process = Membership(own, random.Random(self.rng.random()), self.now)
        self.processes[vm.id] = process
        self.deliver(vm.id, process.on_published(PublishedVms(1, self.vms), self.now))

    def kill(self, entry: str) -> None:
        del self.processes[entry]

    def pause(self, entry: str) -> None:
        self.paused.add(entry)
        self.backlog[entry] = []

    def resume(self, entry: str) -> None:
        self.paused.discard(entry)
        process = self.processes[entry]
        self.deliver(entry, process.on_pause(self.now))
        for sender, message in self.backlog.pop(entry):
            self.deliver(entry, process.on_message(sender, message, self.now))

    def split(self, left: set[str]) -> None:
        self.blocked = {
            (a, b)
            for a in self.processes
            for b in self.processes
            if (a in left) != (b in left)
        }

    def deliver(self, sender: str, messages) -> None:
        for outgoing in messages:
            copies = 1 + (self.rng.random() < self.duplicates)
            for _ in range(copies):
                if (sender, outgoing.peer) in self.blocked:
                    continue
                if self.rng.random() < self.loss:
                    continue
                self.event_count += 1
                at = self.now + self.rng.uniform(0.0005, MAX_DELAY_S)
                heapq.heappush(
                    self.events,
                    (at, self.event_count, sender, outgoing.peer, outgoing.message),
                )

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            tick_at = self.now + TICK_S
            while self.events and self.events[0][0] <= tick_at:
                self.now, _, sender, peer, message = heapq.heappop(self.events)
                self.receive(sender, peer, message)
            self.now = tick_at
            for entry, process in list(self.processes.items()):
                if entry not in self.paused:
                    self.deliver(entry, process.on_tick(self.now))

    def receive(self, sender: str, peer: str, message) -> None:
        if peer in self.paused:
            self.backlog[peer].append((sender, message))
        elif peer in self.processes:
            process = self.processes[peer]
            self.deliver(peer, process.on_contact(sender, self.now))
            self.deliver(peer, process.on_message(sender, message, self.now))

    def get_views(self) -> set[tuple]:
        return {
            tuple(self.processes[entry].get_present())
            for entry in self.processes
            if entry not in self.paused
        }

    def assert_views_agree(self, test, expected) -> None:
        test.assertEqual({tuple(sorted(expected))}, self.get_views())


class MembershipTests(testtools.TestCase):
    """All views agree within `CONVERGENCE_S` after the last change or link fault."""

    def test_views_agree_after_a_death(self):
        for count in (2, 3, 8, 32):
            for seed in range(5):
                network = Network(count, seed)
                network.run(3.0)
                network.assert_views_agree(self, network.processes)
                network.kill("e01")
                network.run(CONVERGENCE_S)
                network.assert_views_agree(self, network.processes)

    def test_views_agree_after_a_restart(self):
        for seed in range(10):
            network = Network(8, seed)
            network.run(3.0)
            network.kill("e03")
            network.run(network.rng.uniform(0.0, 8.0))
            network.start(network.vms[3])
            network.run(CONVERGENCE_S)
            network.assert_views_agree(self, network.processes)
            epochs = {p.members["e03"].epoch for p in network.processes.values()}
            self.assertEqual({network.processes["e03"].own.epoch}, epochs)

    def test_each_part_of_a_partition_keeps_its_own_view(self):
        for seed in range(10):
            network = Network(8, seed)
            network.run(3.0)
            left = set(network.rng.sample(sorted(network.processes), 4))
            network.split(left)
            network.run(CONVERGENCE_S)
            right = set(network.processes) - left
            self.assertEqual(
                {tuple(sorted(left)), tuple(sorted(right))}, network.get_views()
            )
            network.blocked = set()
            network.run(CONVERGENCE_S)
            network.assert_views_agree(self, network.processes)

    def test_one_way_loss_marks_no_entry_dead(self):
        for seed in range(10):
            network = Network(8, seed)
            network.run(3.0)
            network.blocked = {("e00", "e01")}
            for _ in range(20):
                network.run(1.0)
                network.assert_views_agree(self, network.processes)

    def test_paused_process_is_removed_and_rejoins(self):
        for seed in range(10):
            network = Network(8, seed)
            network.run(3.0)
            network.pause("e02")
            network.run(20.0)
            network.assert_views_agree(self, set(network.processes) - {"e02"})
            network.resume("e02")
            network.run(CONVERGENCE_S)
            network.assert_views_agree(self, network.processes)

    def test_resumed_process_declares_no_entry_dead(self):
        network = Network(8, 1)
        network.run(3.0)
        network.pause("e02")
        network.run(20.0)
        network.resume("e02")
        resumed = network.processes["e02"]
        resumed.on_tick(network.now)
        self.assertEqual(8, len(resumed.get_present()))

    def test_suspected_process_refutes_the_suspicion(self):
        network = Network(8, 1)
        network.run(3.0)
        record = network.processes["e00"].members["e05"]
        suspect = msgspec.structs.replace(record, health=Health.SUSPECT)
        update = MemberUpdates((suspect,))
        messages = network.processes["e00"].on_message("e01", update, network.now)
        network.deliver("e00", messages)
        network.run(CONVERGENCE_S)
        network.assert_views_agree(self, network.processes)
        self.assertTrue(network.processes["e00"].members["e05"].epoch > record.epoch)

    def test_report_of_a_death_does_not_override_recent_contact(self):
        network = Network(8, 1)
        network.run(3.0)
        process = network.processes["e00"]
        entry = process.neighbours[0]
        dead = msgspec.structs.replace(process.members[entry], health=Health.DEAD)
        process.on_message("e07", MemberUpdates((dead,)), network.now)
        self.assertIn(entry, process.get_present())

    def test_probe_answer_does_not_count_as_own_contact(self):
        network = Network(8, 1)
        network.run(3.0)
        network.kill("e03")
        process = network.processes["e00"]
        answer = ProbeAnswer("e03", 0)
        process.on_message("e01", answer, network.now + 5.0)
        messages = process.on_message("e02", ProbeRequest("e03"), network.now + 5.0)
        self.assertFalse(
            any(isinstance(item.message, ProbeAnswer) for item in messages)
        )

    def test_leaving_entry_is_not_offered_to_callers(self):
        network = Network(8, 1)
        network.run(3.0)
        leaving = network.processes["e04"]
        network.deliver("e04", leaving.leave(Phase.LEAVING, network.now))
        network.run(1.0)
        for process in network.processes.values():
            self.assertNotIn("e04", process.get_serving())
            self.assertIn("e04", process.get_present())
        network.deliver("e04", leaving.leave(Phase.LEFT, network.now))
        network.kill("e04")
        network.run(1.0)
        network.assert_views_agree(self, network.processes)

    def test_outdated_list_does_not_restore_a_left_entry(self):
        network = Network(4, 1)
        network.run(3.0)
        leaving = network.processes["e01"]
        network.deliver("e01", leaving.leave(Phase.LEFT, network.now))
        network.kill("e01")
        network.run(1.0)
        outdated = PublishedVms(2, network.vms)
        for entry, process in network.processes.items():
            network.deliver(entry, process.on_published(outdated, network.now))
        network.run(1.0)
        network.assert_views_agree(self, network.processes)

    def test_unlisted_entry_is_added_by_its_own_record(self):
        network = Network(4, 1)
        network.run(3.0)
        extra = Vm("e99", "10.0.0.99:80", "10.0.0.99:81", "dc")
        network.start(extra)
        network.run(CONVERGENCE_S)
        network.assert_views_agree(self, network.processes)

    def test_listed_entry_is_heard_only_with_its_own_record(self):
        network = Network(2, 1)
        process = network.processes["e00"]
        self.assertEqual(["e00", "e01"], process.get_present())
        self.assertEqual(["e00"], process.get_heard())
        network.run(2.0)
        self.assertEqual(["e00", "e01"], process.get_heard())

    def test_neighbours_are_bounded_at_every_size(self):
        for count in (2, 8, 100):
            network = Network(count, 1)
            degrees = [len(p.neighbours) for p in network.processes.values()]
            self.assertTrue(max(degrees) <= 6)

    def test_detection_is_faster_than_convergence(self):
        self.assertTrue(SUSPECT_AFTER_S + CONFIRM_AFTER_S + 2 * TICK_S < CONVERGENCE_S)

    @settings(max_examples=80)
    @given(st.integers(0, 2**32), st.floats(0.0, 0.3), st.floats(0.0, 0.3))
    def test_views_agree_after_any_schedule(self, seed, loss, duplicates):
        network = Network(8, seed)
        network.loss, network.duplicates = loss, duplicates
        actions = random.Random(seed)
        for _ in range(12):
            network.run(actions.uniform(0.1, 3.0))
            self.apply_random_action(network, actions)
        network.loss = 0.0
        network.blocked = set()
        for entry in sorted(network.paused):
            network.resume(entry)
        network.run(CONVERGENCE_S)
        network.assert_views_agree(self, network.processes)

    def apply_random_action(self, network, actions):
        """Apply one random action to the network."""
        entry = actions.choice(network.vms).id
        kind = actions.choice(("kill", "start", "pause", "wake", "split", "heal"))
        if kind == "kill" and entry in network.processes and len(network.processes) > 2:
            network.paused.discard(entry)
            network.kill(entry)
        elif kind == "start" and entry not in network.processes:
            network.start(next(vm for vm in network.vms if vm.id == entry))
        elif kind == "pause" and entry in network.processes:
            if entry not in network.paused:
                network.pause(entry)
        elif kind == "wake" and entry in network.paused:
            network.resume(entry)
        elif kind == "split":
            alive = sorted(network.processes)
            network.split(set(actions.sample(alive, len(alive) // 2)))
        elif kind == "heal":
            network.blocked = set()
