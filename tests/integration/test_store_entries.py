"""Tests of entries of other writers in the platform's store, with real processes."""

import json
import time

import msgspec

from .front_world import FrontTestCase, make_config, make_request

PROPAGATION_S = 3.0
IDLE_S = 3.0  # Without calls, so that links are probed.
UNROUTED_SERVICES = 40
LARGE_VALUE = b"x" * 1_000_000
LARGE_ENTRIES = 16  # A response holds 16 MiB at most.
LARGE_ROUNDS = 4
SETTLE_S = 1.0
CLOSED_ADDRESS = "127.0.0.1:1"
DEPTH = 2_000
NESTED = b"[" * DEPTH + b"]" * DEPTH


def encode(**fields) -> bytes:
    """Return an entry of a target as JSON; `fields` replace its usual ones."""
    entry = {
        "service": "single",
        "addr": "127.0.0.1:1",
        "zone": "dc-0",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": 1,
    }
    return json.dumps({**entry, **fields}).encode()


ENTRIES = {
    "servers/nested-field": b'{"owner":' + NESTED + b"}",
    "servers/nested-in-a-whole-entry": encode()[:-1] + b',"owner":' + NESTED + b"}",
    "servers/nested-list": NESTED,
    "servers/many-slots": encode(slots=10**309),
    "servers/long-warm-up": encode(cold_left_ms=1e300),
    "servers/late-start": encode(born=10**400),
    "servers/high-port": encode(addr="127.0.0.1:70000"),
    "servers/long-port": encode(addr="127.0.0.1:" + "9" * 5_000),
    "servers/long-host": encode(addr="a" * 64 + ".example:80"),
    "servers/long-service": encode(service="s" * 900_000),
    "servers/not-utf-8": encode().replace(b"dc-0", b"\xff"),
    "servers/half-a-surrogate": encode().replace(b"dc-0", b"\\ud800"),
    "servers/line\r\nbreak": encode(),
    "servers/\u00e9": encode(),
    "servers/": encode(),
}


NUMBERS = {
    "400-digits": b"9" * 400,
    "4300-digits": b"9" * 4_300,
    "5000-digits": b"9" * 5_000,
    "below-64-bits": b"-" + b"9" * 400,
    "beyond-64-bits": b"9223372036854775808",
    "exponent": b"1e400",
    "nested": NESTED,
    "text": b'"1"',
    "nothing": b"null",
}
PLACE = "@"


def replace_value(document: bytes, value: bytes) -> bytes:
    """Return a JSON text with a value in the place of the text PLACE."""
    return document.replace(json.dumps(PLACE).encode(), value)


NUMBER_ENTRIES = {
    f"servers/{field}-{name}": replace_value(encode(**{field: PLACE}), value)
    for field in ("slots", "seq", "born", "cold_left_ms")
    for name, value in NUMBERS.items()
} | {
    "servers/negative-slots": encode(slots=-1),
    "servers/negative-seq": encode(seq=-1),
    "servers/negative-born": encode(born=-1),
    "servers/two-slots": encode()[:-1] + b',"slots":' + NUMBERS["400-digits"] + b"}",
    "servers/port-below-0": encode(addr="127.0.0.1:-1"),
    "servers/port-0": encode(addr="127.0.0.1:0"),
    "servers/port-65536": encode(addr="127.0.0.1:65536"),
}


def make_odd_configurations() -> list[bytes]:
    """Return configurations of high versions, each with one odd whole number."""
    document = make_config(90)
    holders = (
        (document, "version"),
        (document["routes"][0], "attempts"),
        (document["routes"][0], "priority"),
        (document["routes"][0], "top_k"),
        (document["services"][0], "max_conns"),
        (document["limits"], "max_body_bytes"),
    )
    configurations = []
    for holder, field in holders:
        kept, holder[field] = holder[field], PLACE
        encoded = msgspec.json.encode(document)
        configurations += [replace_value(encoded, value) for value in NUMBERS.values()]
        holder[field] = kept
    return configurations


ODD_KEYS = (
    "",
    "op/config ",
    "servers/+",
    "servers/%2F",
    "servers/%",
    "servers/a&prefix=x",
    "servers/a\0",
    "servers/a b",
    "servers/\u00e9",
    "servers/\u0e01" * 15,
)
ODD_KEY_BODIES = (
    ("servers/a\udcff", b'{"key":"servers/a\xff","rev":%d,"value":"eA=="}'),
    ("servers/a\udcfe", b'{"key":"servers/a\\udcfe","rev":%d,"value":"eA=="}'),
    ("servers/a\ud800", b'{"key":"servers/a\\ud800","rev":%d,"value":"eA=="}'),
)
NOT_AN_INTEGER = b'{"key":"servers/singlea","rev":"%d","value":"eA=="}'
NAMELESS_ITEM = "servers/nothing"
BODIES = (
    ("servers/text-revision", b'{"key":"servers/text-revision","rev":"%d"}'),
    (
        "servers/long-revision",
        b'{"key":"servers/long-revision","rev":%d' + b"0" * 4_300 + b"}",
    ),
    ("servers/no-revision", b'{"key":"servers/no-revision","value":"eA=="}'),
    ("servers/no-text", b'{"key":"servers/no-text","rev":%d,"value":5}'),
    (
        "servers/nested-item",
        b'{"key":"servers/nested-item","rev":%d,"owner":' + NESTED + b"}",
    ),
    (NAMELESS_ITEM, b"null"),
    *ODD_KEY_BODIES,
)


class OtherWritersTests(FrontTestCase):
    """Guards against an entry that ends the reading of the store in each process."""

    front_count = 3

    def wait_for_tables(self) -> None:
        """Wait until each process has read the store up to its last change."""
        for front in range(self.front_count):
            self.wait_for_state(
                front,
                lambda state: (
                    state["gauges"]["targets_revision"] >= self.store.revision
                ),
            )

    def move_route(self, version: int, service: str) -> None:
        """Publish a version that moves the plain route, and wait until it is due."""
        document = make_config(version)
        document["routes"][1]["service"] = service
        self.store.put_config(document)
        time.sleep(PROPAGATION_S)

    def check_changes_are_learnt(self, version: int) -> None:
        """Move a route to a new target, which has to get all its requests."""
        service = f"moved{version}"
        self.add_target(f"{service}a", service)
        self.move_route(version, service)
        for number in range(6 * self.front_count):
            data = make_request("/one/x", f"v{version}-{number}")
            response = self.request(data, number % self.front_count)
            self.assertEqual(200, response.status, number)
        self.assertEqual(6 * self.front_count, self.get_runs(f"{service}a"))

    def check_tasks(self) -> None:
        """Check that no background task has failed."""
        for front in range(self.front_count):
            tasks = self.get_state(front)["tasks"]
            self.assertEqual(set(), {k for k, v in tasks.items() if v["failures"]})

    def test_entries_cost_only_themselves(self):
        for key, value in ENTRIES.items():
            self.store.put(key, value)
        self.wait_for_tables()
        self.check_changes_are_learnt(5)
        self.restart()
        self.check_changes_are_learnt(8)
        self.check_tasks()
        targets = self.get_state(0)["targets"]
        self.assertEqual(set(self.targets), set(targets))

    def restart(self) -> None:
        """Kill all processes, start them again and wait until they are ready."""
        for front in self.fronts:
            front.process.kill()
            front.process.wait()
            front.start()
        for front in self.fronts:
            self.wait_for(front.is_ready, "ready")

    def read_logs(self) -> str:
        """Return what all processes have logged."""
        return "".join(front.log_path.read_text() for front in self.fronts)

    def test_odd_numbers_cost_only_their_entries(self):
        for key, value in NUMBER_ENTRIES.items():
            self.store.put(key, value)
        self.wait_for_tables()
        log = self.read_logs()
        for key in NUMBER_ENTRIES:
            self.assertIn(f"event=target_entry_refused key={key} ", log)
        self.check_changes_are_learnt(5)
        self.restart()
        self.check_changes_are_learnt(8)
        self.check_tasks()
        self.assertEqual(set(self.targets), set(self.get_state(0)["targets"]))

    def test_configurations_with_odd_numbers_leave_the_last_one_in_force(self):
        for configuration in make_odd_configurations():
            self.store.put("op/config", configuration)
            time.sleep(0.01)
        self.wait_for_tables()
        time.sleep(SETTLE_S)
        for front in range(self.front_count):
            self.assertEqual(3, self.get_state(front)["gauges"]["config_version"])
        self.check_changes_are_learnt(5)
        self.check_tasks()

    def test_large_entry_without_a_key_does_not_end_the_reading(self):
        self.store.put("", LARGE_VALUE)
        self.wait_for_tables()
        self.check_changes_are_learnt(5)
        self.restart()
        self.check_changes_are_learnt(8)
        self.check_tasks()

    def test_keys_that_a_page_ends_with_do_not_end_the_reading(self):
        for key in ODD_KEYS:
            self.store.put(key, LARGE_VALUE)
        for key, body in ODD_KEY_BODIES:
            self.store.put_raw(key, body.replace(b"eA==", b"eHh4" * 300_000))
        self.wait_for_tables()
        self.restart()
        self.check_changes_are_learnt(5)
        self.check_tasks()
        self.assertEqual(set(self.targets), set(self.get_state(0)["targets"]))

    def test_items_that_cannot_be_decoded_cost_only_themselves(self):
        for key, body in BODIES:
            self.store.put_raw(key, body)
        self.check_changes_are_learnt(5)
        self.restart()
        self.check_changes_are_learnt(8)
        self.check_tasks()
        self.assertEqual(set(self.targets), set(self.get_state(0)["targets"]))
        log = self.read_logs()
        for key, _ in BODIES:
            name = key.encode(errors="replace").decode()
            self.assertTrue(key == NAMELESS_ITEM or name in log, name)

    def test_item_that_replaces_a_good_one_removes_only_its_target(self):
        self.store.put_raw("servers/singlea", NOT_AN_INTEGER)
        self.check_changes_are_learnt(5)
        for front in range(self.front_count):
            listed = self.get_state(front)["targets"]
            self.assertEqual({"singlea"}, set(self.targets) - set(listed))
        self.list_target("singlea", "single", seq=2)
        self.check_changes_are_learnt(8)
        self.assertIn("singlea", self.get_state(1)["targets"])

    def test_entry_that_replaces_a_good_one_removes_only_its_target(self):
        for key, value in (
            ("servers/singlea", ENTRIES["servers/nested-in-a-whole-entry"]),
            ("servers/shard0a", ENTRIES["servers/many-slots"]),
            ("servers/shard1b", ENTRIES["servers/high-port"]),
        ):
            self.store.put(key, value)
        self.wait_for_tables()
        for front in range(self.front_count):
            listed = self.get_state(front)["targets"]
            removed = {"singlea", "shard0a", "shard1b"}
            self.assertEqual(set(self.targets) - removed, set(listed))
        self.list_target("singlea", "single", seq=2)
        self.check_changes_are_learnt(5)
        self.assertIn("singlea", self.get_state(1)["targets"])

    def test_entries_of_services_without_a_route_do_not_cost_the_links(self):
        for number in range(UNROUTED_SERVICES):
            entry = encode(service=f"unrouted{number}", addr=CLOSED_ADDRESS)
            self.store.put(f"servers/unrouted{number}", entry)
        self.wait_for_tables()
        time.sleep(IDLE_S)
        for number in range(6 * self.front_count):
            front = number % self.front_count
            lost = self.get_state(front)["gauges"]["targets_lost"]
            self.assertEqual(0, lost, "its links to targets are lost")
            data = make_request("/one/x", f"idle{number}")
            self.assertEqual(200, self.request(data, front).status)

    def test_changes_that_exceed_one_response_are_read_in_pages(self):
        for _ in range(LARGE_ROUNDS):
            for number in range(LARGE_ENTRIES):
                self.store.put(f"servers/large{number}", LARGE_VALUE)
            self.wait_for_tables()
            time.sleep(SETTLE_S)  # All processes that read wait for changes again.
        self.check_changes_are_learnt(5)

    def test_configuration_that_cannot_be_read_leaves_the_last_one_in_force(self):
        document = msgspec.json.encode(make_config(9))
        self.store.put("op/config", document[:-1] + b',"owner":' + NESTED + b"}")
        self.wait_for_tables()
        self.assertEqual(200, self.request(make_request("/one/x", "kept")).status)
        self.check_changes_are_learnt(10)
        self.check_tasks()
