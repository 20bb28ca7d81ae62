"""Tests that all processes follow the store, beside entries of other writers."""

import time

from sesameplank.standins.front_store import StoreFaultMode

from .front_world import FrontTestCase, RawConnection, make_config, make_request

STABLE_S = 4.0
DUE_S = 3.2  # After the acknowledgement of a change: the bound of 3 s, and a margin.
REQUESTS_PER_FRONT = 6
DEPTH = 2_000
CALLERS = 1_100
CALLER_INTERVAL_S = 0.02
IDLE_TIMEOUT_MS = 60_000
OUTAGE_S = 5.0  # Longer than a watch may last.
NESTED_ENTRY = b'{"owner":' + b"[" * DEPTH + b"]" * DEPTH + b"}"


class FollowedViewTests(FrontTestCase):
    """Guards against processes that serve an old view for as long as they run."""

    front_count = 7

    def ask_all(self, path: str, prefix: str) -> list[int]:
        """Send requests to all processes in turn, and return the statuses."""
        return [
            self.request(
                make_request(path, f"{prefix}-{number}"), number % self.front_count
            ).status
            for number in range(REQUESTS_PER_FRONT * self.front_count)
        ]

    def write_unreadable_entry(self) -> None:
        """Write an entry that no decoder reads, while all processes are in touch."""
        time.sleep(STABLE_S)
        self.store.put("servers/nested", NESTED_ENTRY)
        time.sleep(STABLE_S)

    def test_added_route_is_served_beside_an_unreadable_entry(self):
        self.write_unreadable_entry()
        self.add_route(5)
        time.sleep(DUE_S)
        self.assertEqual({200}, set(self.ask_all("/added5/x", "added")))

    def test_draining_target_is_not_called_beside_an_unreadable_entry(self):
        self.write_unreadable_entry()
        self.list_target("singlea", "single", state="draining", seq=2)
        time.sleep(DUE_S)
        runs = self.get_runs("singlea")
        self.assertEqual({200}, set(self.ask_all("/one/x", "one")))
        self.assertEqual(0, self.get_runs("singlea") - runs)


class ManyCallersTests(FrontTestCase):
    """Guards against a process that no longer follows as it has many connections."""

    def connect_callers(self, count: int, interval_s: float) -> None:
        """Open connections that stay idle until the test ends."""
        for _ in range(count):
            self.enterContext(RawConnection(self.fronts[0].caller_address))
            time.sleep(interval_s)

    def test_change_is_in_force_after_an_outage_beside_many_connections(self):
        limits = {**make_config(4)["limits"], "idle_timeout_ms": IDLE_TIMEOUT_MS}
        self.store.put_config(make_config(4, limits=limits))
        time.sleep(DUE_S)
        self.connect_callers(CALLERS, 0.0)
        self.store.fault_mode = StoreFaultMode.SILENT
        self.connect_callers(round(OUTAGE_S / CALLER_INTERVAL_S), CALLER_INTERVAL_S)
        self.store.fault_mode = StoreFaultMode.NONE
        time.sleep(STABLE_S)
        self.store.put_config(make_config(5))
        time.sleep(DUE_S)
        self.assertEqual(5, self.get_state(0)["gauges"]["config_version"])
