"""Tests of the items of the platform's store."""

import base64
import json

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameplank.core.common.clock import ManualClock
from sesameplank.core.published.document_version import DocumentVersion
from sesameplank.core.published.target_table import TargetPhase, TargetTable
from sesameplank.core.published.versions import OfferResult
from sesameplank.exceptions import ConfigurationError
from sesameplank.logs import LogLimiter, output
from sesameplank.net import Address
from sesameplank.peers.relayed_documents import TargetsDocument
from sesameplank.platform.headers import PlatformDialect
from sesameplank.platform.items import decode_routing, decode_target
from sesameplank.platform.source import ItemCollector
from sesameplank.platform.store_answers import UnreadableItem, WireItem
from sesameplank.published.follower import Publication

MANY = 3_000
FIXED = settings.get_profile("fixed")
TARGET = {
    "service": "s1",
    "addr": "10.0.0.9:80",
    "zone": "dc-a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "born": 17,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h",
            "prefix": "/a/",
            "type": "safe",
            "timeout_ms": 800,
            "goal_ms": 56,
            "priority": 2,
            "gather": ["s1", "s2"],
            "attempts": 2,
            "top_k": 5,
            "min_share": 0.75,
            "unknown": 1,
        },
        {
            "name": "r2",
            "host": "h",
            "prefix": "/b/",
            "type": "unsafe",
            "timeout_ms": 6000,
            "weighted_services": [
                {"service": "s3", "weight": 3},
                {"service": "s4", "weight": 1},
            ],
        },
    ],
    "services": [{"name": "s1", "health_path": "/h", "max_conns": 26}],
    "limits": {"max_header_bytes": 100, "idle_timeout_ms": 15000},
}


def encode(value: object) -> bytes:
    """Return a value as JSON, as the store's writers encode it."""
    return msgspec.json.encode(value)


class DecodeTargetTests(testtools.TestCase):
    """Only complete items with valid values are decoded as a target."""

    def test_ready_target(self):
        record = decode_target("servers/i-1", encode(TARGET), 9)
        self.assertEqual(("i-1", "s1", "dc-a"), (record.id, record.service, "dc-a"))
        self.assertIs(TargetPhase.READY, record.phase)
        self.assertEqual((9, 17), (record.revision, record.started_ms))

    def test_malformed_items_are_refused(self):
        for change in (
            {"service": 5},
            {"service": ""},
            {"addr": "10.0.0.9"},
            {"state": "resting"},
            {"slots": -1},
            {"slots": "2"},
            {"slots": 10**309},
            {"slots": 70_000},
            {"cold_left_ms": 1e300},
            {"born": 10**400},
            {"born": 2**63},
            {"addr": "10.0.0.9:65536"},
            {"addr": "10.0.0.9:\u0663"},
            {"addr": "10.0.0.9:" + "9" * 5_000},
            {"addr": "a" * 64 + ".example:80"},
            {"addr": "10.0.0.9\0:80"},
            {"service": "s" * 201},
            {"born": 1.5},
            {"seq": None},
        ):
            value = json.dumps({**TARGET, **change}).encode()
            self.assertRaises(ConfigurationError, decode_target, "k", value, 1)
        for name in ("service", "addr", "zone", "slots", "state", "seq"):
            value = encode({k: v for k, v in TARGET.items() if k != name})
            self.assertRaises(ConfigurationError, decode_target, "k", value, 1)

    def test_nested_items_are_refused(self):
        # The decoder raises RecursionError, which once ended the reading of the store.
        for depth in (900, 2_000, 100_000):
            nested = b"[" * depth + b"]" * depth
            item = encode(TARGET)
            for value in (nested, b'{"owner":' + nested + b"}", nested + item):
                self.assertRaises(ConfigurationError, decode_target, "k", value, 1)

    def test_nested_unknown_field_of_a_whole_item(self):
        nested = b'"owner":' + b"[" * 2_000 + b"]" * 2_000
        value = encode(TARGET)[:-1] + b"," + nested + b"}"
        self.assertRaises(ConfigurationError, decode_target, "k", value, 1)

    def test_ids_that_fit_no_header_are_refused(self):
        for name in ("", "a b", "a\r\nX-Evil: 1", "\u00e9", "a\0"):
            key = f"servers/{name}"
            self.assertRaises(ConfigurationError, decode_target, key, encode(TARGET), 1)

    def test_message_is_short(self):
        value = encode({**TARGET, "addr": "x" * 150, "state": "y" * 1_000_000})
        error = self.assertRaises(ConfigurationError, decode_target, "k", value, 1)
        self.assertLess(len(str(error)), 1_000)

    @FIXED
    @given(st.binary(max_size=60))
    def test_random_bytes_are_refused(self, value):
        self.assertRaises(ConfigurationError, decode_target, "k", value, 1)


# Values of all kinds, among them some at the edge of what encodings can carry.
ODD_VALUES = st.one_of(
    st.integers(),
    st.sampled_from((0, -1, 2**31, 2**53 + 1, 2**63 - 1, 2**63, 2**64, 10**309)),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=20),
    st.sampled_from(("10.0.0.9:0", "10.0.0.9:65536", "[::1]:80", "h:1", "::", ":")),
    st.none(),
    st.booleans(),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)


def make_publication(items, version, *, is_whole) -> Publication:
    """Return items as a publication."""
    collector = ItemCollector(LogLimiter(ManualClock()))
    collector.add(items)
    return collector.make_publication(version, is_whole=is_whole)


class OddEntryTests(testtools.TestCase):
    """An entry is refused, or does no harm where it is used."""

    @FIXED
    @given(
        st.dictionaries(
            st.sampled_from(sorted(TARGET)), ODD_VALUES, min_size=1, max_size=1
        ),
        st.text(max_size=20),
    )
    def test_entries_with_odd_fields(self, changes, name):
        value = json.dumps({**TARGET, **changes}).encode()
        text = base64.b64encode(value).decode()
        items = [WireItem("servers/good", 3, base64.b64encode(encode(TARGET)).decode())]
        items.append(WireItem(f"servers/{name}", 4, text))
        version = DocumentVersion(1, 5)
        targets = make_publication(items, version, is_whole=True).targets
        self.assertEqual("good", targets.records[0].id)
        clock = ManualClock()
        table, peers_table = TargetTable(), TargetTable()
        table.apply(targets, 0.0, False)
        payload = TargetsDocument(table, clock).encode(DocumentVersion())
        result = TargetsDocument(peers_table, clock).offer(payload)
        self.assertIs(OfferResult.ACCEPTED, result)
        self.assertEqual(table.records, peers_table.records)
        for record in table.records.values():
            address = Address.parse(record.address)
            self.assertTrue(0 <= address.port <= 65_535)
            self.assertTrue(1 <= record.slots <= 65_535)
            headers = PlatformDialect().make_call_headers(record.id, 1.0)
            self.assertTrue(
                all(b"\r" not in item and b"\n" not in item for _, item in headers)
            )


class DecodeRoutingTests(testtools.TestCase):
    """A configuration is decoded into typed routes, services and limits."""

    def test_routes(self):
        routing = decode_routing(encode(CONFIG))
        gather, split = routing.routes
        self.assertEqual(7, routing.version)
        self.assertEqual(("s1", "s2"), gather.shards)
        self.assertEqual((0.8, 0.056, 2), (gather.timeout_s, gather.objective_s, 2))
        self.assertTrue(gather.idempotent)
        self.assertFalse(split.idempotent)
        self.assertEqual(6.0, split.objective_s)
        self.assertEqual([3.0, 1.0], [item.weight for item in split.services])
        self.assertEqual(26, routing.services["s1"].max_connections)
        self.assertEqual(100, routing.limits.max_header_bytes)
        self.assertEqual(15.0, routing.limits.idle_timeout_s)

    def test_malformed_documents_are_refused(self):
        nested = b'{"version":7,"x":' + b"[" * 2_000 + b"]" * 2_000 + b"}"
        for value in (b"", b"{", b"[]", b'{"version":"7"}', b'{"routes":[]}', nested):
            self.assertRaises(ConfigurationError, decode_routing, value)


class MakePublicationTests(testtools.TestCase):
    """Malformed targets count as removed, and items with unknown keys are ignored."""

    def make(self, key: str, value: bytes, rev: int) -> WireItem:
        return WireItem(key, rev, base64.b64encode(value).decode())

    def test_mixed_items(self):
        items = [
            self.make("op/config", encode(CONFIG), 3),
            self.make("servers/a", encode(TARGET), 4),
            self.make("servers/b", b"\x00", 5),
            WireItem("servers/c", 6, "not base64!"),
            WireItem("servers/d", 7, deleted=True),
            self.make("another/key", b"x", 8),
        ]
        publication = make_publication(items, DocumentVersion(1, 8), is_whole=False)
        self.assertEqual(7, publication.configuration.version)
        self.assertEqual(["a"], [item.id for item in publication.targets.records])
        removed = dict(publication.targets.removed)
        self.assertEqual({"b": 5, "c": 6, "d": 7}, removed)

    def test_refused_items_are_counted(self):
        items = [
            self.make("op/config", b"{}", 3),
            self.make("servers/a", encode(TARGET), 4),
            self.make("servers/b", b"\x00", 5),
            UnreadableItem("servers/c", 6, reason="nested"),
            UnreadableItem("", 6, reason="nested"),
            UnreadableItem("servers/\ud800", 6, reason="nested"),
            UnreadableItem("op/config", 6, reason="nested"),
        ]
        publication = make_publication(items, DocumentVersion(1, 6), is_whole=False)
        self.assertEqual(4, publication.refused_items)
        self.assertEqual(2, publication.refused_configurations)
        self.assertTrue(publication.is_newest_refused)
        items.append(self.make("op/config", encode(CONFIG), 7))
        publication = make_publication(items, DocumentVersion(1, 7), is_whole=False)
        self.assertFalse(publication.is_newest_refused)
        self.assertEqual({"b": 5, "c": 6}, dict(publication.targets.removed))

    def test_last_event_of_a_target_prevails(self):
        items = [
            self.make("servers/a", encode(TARGET), 4),
            WireItem("servers/a", 5, deleted=True),
            self.make("servers/b", b"\x00", 6),
            self.make("servers/b", encode(TARGET), 7),
        ]
        publication = make_publication(items, DocumentVersion(1, 7), is_whole=False)
        self.assertEqual(["b"], [item.id for item in publication.targets.records])
        self.assertEqual((("a", 5),), publication.targets.removed)

    def test_whole_list_names_no_removals(self):
        items = [
            self.make("servers/a", encode(TARGET), 4),
            self.make("servers/b", b"\x00", 5),
        ]
        targets = make_publication(items, DocumentVersion(1, 5), is_whole=True).targets
        self.assertEqual(["a"], [item.id for item in targets.records])
        self.assertEqual((), targets.removed)

    def test_refused_entries_are_logged_at_a_bounded_rate(self):
        lines = []
        self.patch(output, "write", lines.append)
        items = [self.make(f"servers/{n}", b"{}", n) for n in range(MANY)]
        make_publication(items, DocumentVersion(1, MANY), is_whole=False)
        self.assertTrue(0 < len(lines) < MANY / 10, len(lines))
