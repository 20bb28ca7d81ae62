"""Tests of several processes: membership, relayed versions, stops and restarts."""

import gevent
import msgspec

from sesameplank.standins.front_store import StoreFaultMode
from sesameplank.standins.front_targets import TargetFaultMode

from .front_world import FrontTestCase, RawConnection, make_config, make_request


class FrontFleetTests(FrontTestCase):
    """Three processes that discover each other by the addresses of two of them."""

    front_count = 3

    def get_addresses(self, front: int = 0) -> set[str]:
        process = self.fronts[front]
        answer = process.get(process.directory_address, "/resolve?name=x&zone=dc-0")
        return set(msgspec.json.decode(bytes(answer.body))["addrs"])

    def wait_for_addresses(self, *numbers: int, front: int = 0) -> None:
        expected = {str(self.fronts[number].caller_address) for number in numbers}
        self.wait_for(
            lambda: self.get_addresses(front) == expected, f"addresses of {numbers}"
        )

    def test_directory_lists_all_processes_except_one_that_is_leaving(self):
        self.wait_for_addresses(0, 1, 2)
        self.terminate(self.fronts[2])
        self.wait_for_addresses(0, 1)
        self.assertEqual(200, self.request(make_request("/one/x"), 2).status)
        self.assertFalse(self.fronts[2].is_ready())
        self.assertEqual(0, self.fronts[2].process.wait())

    def test_killed_process_is_delisted_until_it_restarts(self):
        self.wait_for_addresses(0, 1, 2)
        self.fronts[2].process.kill()
        self.fronts[2].process.wait()
        self.wait_for_addresses(0, 1)
        self.fronts[2].start()
        self.wait_for_addresses(0, 1, 2)

    def test_stop_finishes_requests_and_closes_keep_alive_connections(self):
        for name in ("singlea", "singleb"):
            self.targets[name].fault_mode = TargetFaultMode.LATE
        with RawConnection(self.fronts[0].caller_address) as client:
            client.sock.sendall(make_request("/book/x", "s1", 2500, "POST", b"1"))
            self.wait_for(
                lambda: self.get_runs("singlea", "singleb") == 1, "the run at a target"
            )
            self.terminate(self.fronts[0])
            answer = client.read()
            self.assertEqual(200, answer.status)
            self.assertEqual("close", answer.get(b"connection"))
            self.assertTrue(client.is_closed())
        self.assertEqual(0, self.fronts[0].process.wait())

    def test_new_versions_take_effect_at_every_process(self):
        self.wait_for_addresses(0, 1, 2)
        for version in (8, 12):
            config = make_config(version)
            config["routes"] = config["routes"][: 1 if version == 8 else 3]
            self.store.put_config(config)
            expected = 404 if version == 8 else 200
            for front in range(3):
                self.wait_for(
                    lambda front=front, expected=expected: (
                        self.request(make_request("/one/x"), front).status == expected
                    ),
                    f"version {version} at {front}",
                )

    def test_store_restored_from_a_copy_is_followed_by_every_process(self):
        self.wait_for_addresses(0, 1, 2)
        self.store.copy()
        self.list_target("shard0a", "shard0", "draining", 2)
        self.store.put_config(make_config(8))
        for _ in range(20):  # Revisions of the next era stay below these.
            self.list_target("shard1a", "shard1")
        for front in range(3):
            self.wait_for_state(front, lambda state: self.is_phase(state, "draining"))
        self.store.restore()
        self.add_target("new", "single")
        for front in range(3):
            self.wait_for_state(front, lambda state: "new" in state["targets"])
            state = self.get_state(front)
            self.assertEqual(2, state["gauges"]["targets_era"])
            self.assertEqual(8, state["gauges"]["config_version"])
        runs = self.get_runs("shard0a")
        for number in range(12):
            answer = self.request(make_request("/all/x", f"n{number}"), number % 3)
            self.assertEqual(200, answer.status)
        self.assertEqual(runs, self.get_runs("shard0a"))

    def is_phase(self, state: dict, phase: str) -> bool:
        return state["targets"]["shard0a"]["phase"] == phase

    def test_process_that_starts_without_the_store_reads_from_its_peers(self):
        self.wait_for_addresses(0, 1, 2)
        self.fronts[2].process.kill()
        self.fronts[2].process.wait()
        self.store.fault_mode = StoreFaultMode.BUSY
        self.fronts[2].start()
        self.wait_for(self.fronts[2].is_ready, "ready from peers alone")
        self.assertEqual(200, self.request(make_request("/all/x", "n1"), 2).status)

    def test_processes_without_configuration_answer_503(self):
        self.store.fault_mode = StoreFaultMode.SILENT
        for front in self.fronts:
            front.process.kill()
            front.process.wait()
            front.start()
        self.wait_for(lambda: self.try_request() == 503, "503 without configuration")
        self.assertFalse(self.fronts[0].is_ready())
        self.store.fault_mode = StoreFaultMode.NONE
        self.wait_for(lambda: self.try_request() == 200, "served again")

    def try_request(self) -> int:
        try:
            return self.request(make_request("/one/x")).status
        except OSError:
            return 0

    def test_changed_settings_file_is_reloaded_without_a_signal(self):
        front = self.fronts[0]
        text = front.settings_path.read_text()
        front.settings_path.write_text(
            text.replace("seeds=", f"seeds={self.block}.1.9:8106,")
        )
        self.wait_for(
            lambda: "event=reloaded peers=3" in front.log_path.read_text(), "reloaded"
        )
        front.settings_path.write_text("ip=1\n")
        self.wait_for(
            lambda: "event=reload_failed" in front.log_path.read_text(),
            "a failed reload",
        )
        self.assertEqual(200, self.request(make_request("/one/x", "still")).status)

    def test_signal_reloads_the_settings_file(self):
        front = self.fronts[0]
        front.settings_path.write_text(
            front.settings_path.read_text().replace(
                "seeds=", f"seeds={self.block}.1.9:8106,"
            )
        )
        front.process.send_signal(1)
        self.wait_for(
            lambda: "event=reloaded" in front.log_path.read_text(), "reloaded"
        )
        gevent.sleep(0.1)
        self.assertEqual(200, self.request(make_request("/one/x")).status)


class StopUnderLoadTests(FrontTestCase):
    """A stopping process answers each request that runs at a target."""

    grace_s = 4.0

    def is_refusing(self) -> bool:
        try:
            with RawConnection(self.fronts[0].caller_address):
                return False
        except ConnectionRefusedError:
            return True

    def test_late_request_on_an_idle_connection_runs_only_if_it_is_answered(self):
        with (
            RawConnection(self.fronts[0].caller_address) as idle,
            RawConnection(self.fronts[0].caller_address) as busy,
        ):
            idle.request(make_request("/one/x", "first"))
            self.terminate(self.fronts[0])
            gevent.sleep(1.0)
            for name in ("singlea", "singleb"):
                self.targets[name].delay_s = 2.2
            busy.sock.sendall(make_request("/one/x", "busy", 2900))
            self.wait_for(self.is_refusing, "no new connections")
            answered = {"first"}
            try:
                idle.request(make_request("/one/x", "late", 2900))
                answered.add("late")
            except OSError:
                pass  # The process closed the idle connection, as expected.
            self.assertEqual(200, busy.read().status)
            answered.add("busy")
        self.assertEqual(0, self.fronts[0].process.wait())
        runs = set(self.targets["singlea"].executed_ids) | set(
            self.targets["singleb"].executed_ids
        )
        self.assertEqual(set(), runs - answered)

    def test_no_request_that_reached_a_target_is_cut_off(self):
        for name in ("singlea", "singleb"):
            self.targets[name].delay_s = 0.03
        answered: set[str] = set()
        sent = 0

        def call_repeatedly(caller: int) -> None:
            nonlocal sent
            number = 0
            while self.fronts[0].process.poll() is None:
                try:
                    with RawConnection(self.fronts[0].caller_address) as client:
                        while True:
                            number += 1
                            sent += 1
                            request_id = f"c{caller}-{number}"
                            client.request(make_request("/one/x", request_id))
                            answered.add(request_id)
                except OSError:
                    gevent.sleep(0.002)

        callers = [gevent.spawn(call_repeatedly, n) for n in range(8)]
        self.wait_for(lambda: len(answered) > 20, "answers")
        self.terminate(self.fronts[0])
        gevent.joinall(callers)
        self.assertEqual(0, self.fronts[0].process.wait())
        runs = set(self.targets["singlea"].executed_ids) | set(
            self.targets["singleb"].executed_ids
        )
        self.assertEqual(set(), runs - answered)
        self.assertGreater(sent, len(answered) - 1)
