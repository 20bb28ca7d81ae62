"""Tests of odd documents on all components that apply a published document.

A document is either refused or in force as a whole, in both interfaces.
"""

import itertools
import json
import random

import msgspec
import testtools

from sesameplank.conf import PublishedConfiguration, PublishedVms, Vm
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.forwarding.extra_load import ExtraLoadBounds
from sesameplank.core.membership.peer_messages import Heartbeat
from sesameplank.core.published.target_table import (
    TargetChanges,
    TargetPhase,
    TargetRecord,
)
from sesameplank.core.published.versions import OfferResult
from sesameplank.entry import Entry, EntrySettings
from sesameplank.exceptions import ConfigurationError
from sesameplank.forwarding.front import Front, FrontSettings
from sesameplank.net import Address
from sesameplank.peers.frames import EnvelopeKind
from sesameplank.peers.relayed_documents import ConfigurationDocument, VmDocument
from sesameplank.platform.headers import PlatformDialect
from sesameplank.platform.items import decode_routing
from sesameplank.standins.deployments import VATUWAQA, make_configuration

from .integration.front_world import SHARD_SERVICES, make_config

BASE = msgspec.json.decode(msgspec.json.encode(make_configuration(VATUWAQA, "127.9")))
VMS = (Vm("e1", "127.0.0.1:1", "127.0.0.1:2", "dc"),)
VERSION = 9
BOUNDED_INTEGERS = (-(2**62), -1, 0, 1, 2, 2**16, 2**31 - 1, 2**31, 2**53, 2**62)
INTEGERS = (*BOUNDED_INTEGERS, -(2**70), 2**63, 2**64, 10**308, 10**309, 10**4000)
NUMBERS = (0, -1, 1e308, -1e308, 1e-320, 10**309, 10**400)
STRINGS = ("", "\0", "\n", "\u00e9", "\u2028", "/", "%2f", "\ud800", "a" * 100_000)
ADDRESSES = ("x", ":80", "1.2.3.4", "1.2.3.4:99999", "1.2.3.4:\u0663", "1.2.3.4:-1")


def make_front() -> Front:
    """Return a forwarding process that isn't started, with targets."""
    clock = ManualClock(100.0)
    address = Address("10.0.0.1", 1)
    settings = FrontSettings(
        "10.0.0.1", "dc", address, address, (), 1, 5.0, ExtraLoadBounds()
    )
    front = Front(
        settings, None, decode_routing, PlatformDialect(), clock, random.Random(1)
    )
    records = tuple(
        TargetRecord(
            f"{service}{replica}",
            service,
            "10.0.0.9:80",
            "dc",
            2,
            TargetPhase.READY,
            revision=3,
        )
        for service in (*SHARD_SERVICES, "single")
        for replica in "ab"
    )
    front.table.apply(TargetChanges(5, records, is_whole=True), 100.0, False)
    return front


def make_entry() -> Entry:
    """Return an entry that isn't started."""
    address = Address("127.0.0.1", 1)
    return Entry(EntrySettings("e1", "dc", address, address, address, 1.0, 1.0, 1))


def change_route(number: int, **changes) -> dict:
    """Return a forwarding configuration with a changed route."""
    document = make_config(VERSION)
    document["routes"][number].update(changes)
    return document


def make_routings():
    """Yield odd configurations of forwarding."""
    for version in INTEGERS:
        yield make_config(version)
    fields = ("timeout_ms", "goal_ms", "attempts", "priority", "top_k", "min_share")
    for number, field in itertools.product((0, 1), fields):
        for value in (*NUMBERS, *INTEGERS):
            yield change_route(number, **{field: value})
    for weights in itertools.product(NUMBERS, NUMBERS):
        services = [{"service": "single", "weight": item} for item in weights]
        yield change_route(1, service="", weighted_services=services)
    for value in INTEGERS:
        services = [{"name": "shard0", "max_conns": value}]
        yield make_config(VERSION, services=services)
    for field, value in itertools.product(
        ("max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"),
        (*NUMBERS, *INTEGERS),
    ):
        yield make_config(VERSION, limits={field: value})
    for field, text in itertools.product(("name", "host", "prefix", "type"), STRINGS):
        yield change_route(1, **{field: text})
    for text in STRINGS:
        yield change_route(1, service=text)
        yield change_route(0, gather=[text, text])
    routes = make_config(VERSION)["routes"]
    services = make_config(VERSION)["services"]
    yield make_config(VERSION, routes=[])
    yield make_config(VERSION, services=[])
    yield make_config(VERSION, routes=routes * 2, services=services * 2)
    yield change_route(0, gather=[])
    yield change_route(0, service="single")
    many = [{**routes[1], "name": f"r{n}", "prefix": f"/{n}/"} for n in range(10_000)]
    yield make_config(VERSION, routes=many)


def change_target(**changes) -> dict:
    """Return an entry's configuration with a changed target."""
    targets = dict(BASE["targets"])
    first = next(iter(targets))
    targets[first] = {**targets[first], **changes}
    return {**BASE, "targets": targets}


def make_configurations():
    """Yield odd configurations of entries."""
    for address in ADDRESSES:
        yield change_target(address=address)
    for field, value in itertools.product(("slots", "connections"), INTEGERS):
        yield change_target(**{field: value})
    for text in STRINGS:
        yield change_target(data_centre=text)
        yield {**BASE, "callers": {text: {}}}
        target = {"address": "9.9.9.9:1", "data_centre": "x"}
        yield {**BASE, "targets": {**BASE["targets"], text: target}}
    for field in ("default_deadline_ms", "max_deadline_ms"):
        for value in INTEGERS:
            yield {**BASE, "presets": {"ordinary": {field: value}}}
    for name in ("targets", "collections", "callers"):
        yield {**BASE, name: {}}


class OddDocumentTests(testtools.TestCase):
    """Guards against a version that counts as in force but isn't applied."""

    def test_front_refuses_a_configuration_or_uses_all_of_it(self):
        used = 0
        for document in make_routings():
            encoded = json.dumps(document).encode()
            try:
                version = decode_routing(encoded).version
            except ConfigurationError:
                continue
            front = make_front()
            published = PublishedConfiguration(version, msgspec.Raw(encoded))
            self.assertIs(OfferResult.ACCEPTED, front.store.offer(published))
            self.assertIs(front.store.current.configuration, front.forwarder.routing)
            self.use_front(front)
            used += 1
        self.assertGreater(used, 300)

    def use_front(self, front: Front) -> None:
        """Run what a process does all the time with the version in force."""
        front.get_addresses()
        for task in front.housekeeping.tasks:
            task.function()
        front.render_metrics()
        msgspec.json.encode(front.get_state())
        heartbeat = Heartbeat(1, 1, False, front.relay.get_versions())
        front.links.encode(EnvelopeKind.ONE_WAY, heartbeat)

    def test_versions_beyond_every_encoding_are_refused(self):
        entry = make_entry()
        for document, rest in (
            (ConfigurationDocument(entry.store), {"document": BASE}),
            (
                VmDocument(entry.coordination.vms),
                {"vms": [msgspec.to_builtins(VMS[0])]},
            ),
        ):
            for version in (-1, 2**63, 10**20, 10**400):
                payload = json.dumps({"version": version, **rest}).encode()
                self.assertIs(OfferResult.REFUSED, document.offer(payload))
        entry.metrics.render()

    def test_entry_refuses_a_configuration_or_uses_all_of_it(self):
        results = []
        for document in make_configurations():
            entry = make_entry()
            encoded = json.dumps(document).encode()
            published = PublishedConfiguration(VERSION, msgspec.Raw(encoded))
            results.append(entry.store.offer(published))
            if results[-1] is OfferResult.ACCEPTED:
                entry.coordination.vms.offer(PublishedVms(1, VMS))
                entry.direct_dispatcher.update_pools()
                entry.metrics.render()
        self.assertEqual({OfferResult.ACCEPTED, OfferResult.REFUSED}, set(results))
