"""A stand-in for the platform's store: paged reads, watches and injected faults."""

import base64
from enum import Enum
from itertools import accumulate
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent.event import Event

from ..core.published.routes import RequestLimits
from ..forwarding.caller_server import CallerServer
from ..forwarding.http_messages import Request
from ..forwarding.request_handling import Reply, RequestContext
from ..net import Address
from ..platform.items import CONFIG_KEY, TARGET_PREFIX
from ..platform.store import (
    ERA,
    HISTORY_GONE,
    RANGE_PATH,
    WATCH_PATH,
)
from ..platform.store_answers import WireItem

PAGE_ITEMS = 5
MAX_PAGE_BYTES = 1_000_000
UNRESPONSIVE_S = 60.0
WRONG_ERA = 10**17


class StoreFaultMode(Enum):
    """The fault that the store injects into each call.

    `BUSY` responds with 503; `SILENT` delays the response by UNRESPONSIVE_S. `OLD`
    responds as an old instance, which holds the last copy and names the era.
    """

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    OLD = "old"


class RawItem(WireItem):
    """An item that the store sends as the bytes `body`, whatever they are."""

    body: bytes = b""


class RawPage(msgspec.Struct):
    """A page of encoded items."""

    items: list[msgspec.Raw]
    has_more: bool
    as_of: int


class RawEvents(msgspec.Struct):
    """Encoded events up to the revision `as_of`."""

    events: list[msgspec.Raw]
    as_of: int


class StoreStandin:
    """A key-value store with one increasing revision.

    As a context manager, it serves the store over HTTP.

    `compacted_revision` is the revision up to which the event history has been
    discarded. `era` counts the restores from a copy, and `lost_items` holds the
    latest items, or deletions, that the last restore lost. `refused_hosts` are the
    callers that it refuses, and `silent_hosts` those that get no response for
    UNRESPONSIVE_S. The next `wrong_era_answers` responses name WRONG_ERA, those to
    `wrong_era_host` alone unless that is empty.
    """

    def __init__(self, address: Address, now) -> None:
        self.items: dict[str, WireItem] = {}
        self.events: list[WireItem] = []
        self.revision = 1
        self.compacted_revision = 0
        self.era = 1
        self.copied_items: dict[str, WireItem] = {}
        self.copied_revision = 1
        self.lost_items: dict[str, WireItem] = {}
        self.fault_mode = StoreFaultMode.NONE
        self.refused_hosts: set[str] = set()
        self.wrong_era_answers = 0
        self.wrong_era_host = ""
        self.silent_hosts: set[str] = set()
        self.changed = Event()
        self.calls = 0
        self.server = CallerServer(address, self.serve, RequestLimits, now)

    def __enter__(self) -> "StoreStandin":
        self.server.__enter__()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.server.__exit__()

    def put(self, key: str, value: bytes) -> None:
        """Write an item under the next revision."""
        self.revision += 1
        text = base64.b64encode(value).decode()
        self.record_event(WireItem(key, self.revision, text))

    def put_raw(self, key: str, body: bytes) -> None:
        """Write an item that is sent as these bytes, with `%d` as its revision."""
        self.revision += 1
        body = body.replace(b"%d", b"%d" % self.revision)
        self.record_event(RawItem(key, self.revision, body=body))

    def put_config(self, document: dict) -> None:
        """Publish a configuration."""
        self.put(CONFIG_KEY, msgspec.json.encode(document))

    def put_target(self, target: str, document: dict) -> None:
        """Write the item that a target publishes about itself."""
        self.put(TARGET_PREFIX + target, msgspec.json.encode(document))

    def remove_target(self, target: str) -> None:
        """Remove the item of a target."""
        self.revision += 1
        self.record_event(WireItem(TARGET_PREFIX + target, self.revision, deleted=True))

    def record_event(self, item: WireItem) -> None:
        """Apply an event to the items, store it in the history and wake the watches."""
        self.items.pop(item.key, None)
        if not item.deleted:
            self.items[item.key] = item
        self.events.append(item)
        self.changed.set()
        self.changed.clear()

    def compact(self) -> None:
        """Discard the event history and wake the watches."""
        self.compacted_revision = self.revision
        self.events.clear()
        self.changed.set()
        self.changed.clear()

    def copy(self) -> None:
        """Keep a copy of the content, to which `restore` returns."""
        self.copied_items = dict(self.items)
        self.copied_revision = self.revision

    def restore(self) -> None:
        """Return to the copy: later writes are lost and a new era begins."""
        self.lost_items = {
            key: WireItem(key, self.revision, deleted=True)
            for key in self.copied_items
            if key not in self.items
        }
        self.lost_items |= {
            key: item
            for key, item in self.items.items()
            if item.rev > self.copied_revision
        }
        self.items = dict(self.copied_items)
        self.revision = self.copied_revision
        self.era += 1
        self.compact()

    def write_lost_items(self) -> None:
        """Write the lost items again, except those that were written meanwhile."""
        lost_items, self.lost_items = self.lost_items, {}
        for item in lost_items.values():
            known = self.items.get(item.key)
            is_written = known is not None and known.rev > self.copied_revision
            if is_written or (item.deleted and known is None):
                continue
            self.revision += 1
            self.record_event(msgspec.structs.replace(item, rev=self.revision))

    def serve(self, request: Request, context: RequestContext) -> Reply:
        """Respond to a call, and name the era in the response."""
        if context.caller_host in self.silent_hosts:
            gevent.sleep(UNRESPONSIVE_S)
        if context.caller_host in self.refused_hosts:
            return Reply(503)
        reply = self.answer(request)
        reply.headers.append((ERA, b"%d" % self.take_era(context.caller_host)))
        return reply

    def take_era(self, host: str) -> int:
        """Return the era that the next response, to a host, names."""
        if not self.wrong_era_answers or self.wrong_era_host not in ("", host):
            return self.era
        self.wrong_era_answers -= 1
        return WRONG_ERA

    def answer(self, request: Request) -> Reply:
        """Respond to a read or a watch, after injecting the fault in force."""
        self.calls += 1
        if self.fault_mode is StoreFaultMode.SILENT:
            gevent.sleep(UNRESPONSIVE_S)
        if self.fault_mode is StoreFaultMode.BUSY:
            return Reply(503)
        if self.fault_mode is StoreFaultMode.OLD:
            return self.answer_as_old_instance(request)
        text = request.target.partition(b"?")[2].decode()
        query = parse_qs(text, errors="surrogateescape")
        prefix = query.get("prefix", [""])[0]
        after = query.get("after", [""])[0]
        if request.path == RANGE_PATH:
            return self.read(prefix, after)
        if request.path == WATCH_PATH:
            return self.watch(prefix, int(after), int(query["wait_ms"][0]) / 1_000)
        return Reply(404)

    def answer_as_old_instance(self, request: Request) -> Reply:
        """Respond with the whole copy to a read, and without events to a watch."""
        items = [encode_item(item) for item in self.copied_items.values()]
        answer = RawPage(items, has_more=False, as_of=self.copied_revision)
        if request.path == WATCH_PATH:
            answer = RawEvents([], self.copied_revision)
        return Reply(200, body=msgspec.json.encode(answer))

    def read(self, prefix: str, after: str) -> Reply:
        """Return the next page of items in the order of their keys."""
        keys = [key for key in self.items if key.startswith(prefix)]
        start = encode_key(after)
        rest = [key for key in keys if not after or encode_key(key) > start]
        rest.sort(key=encode_key)
        page = self.take_page([encode_item(self.items[key]) for key in rest])
        has_more = len(rest) > len(page)
        body = msgspec.json.encode(RawPage(page, has_more, self.revision))
        return Reply(200, body=body)

    def take_page(self, items: list[msgspec.Raw]) -> list[msgspec.Raw]:
        """Return the first items, up to the limits of a page, and at least one."""
        sizes = accumulate(len(bytes(item)) for item in items)
        fitting = sum(size <= MAX_PAGE_BYTES for size in sizes)
        return items[: min(PAGE_ITEMS, max(1, fitting))]

    def watch(self, prefix: str, after: int, wait_s: float) -> Reply:
        """Return the events after a revision, waiting up to `wait_s` seconds for one.

        Responds with HISTORY_GONE if the events after the revision have been discarded.
        """
        with gevent.Timeout(wait_s, exception=False):
            while self.has_history(after) and not self.find_events(prefix, after):
                self.changed.wait()
        if not self.has_history(after):
            return Reply(HISTORY_GONE)
        events = [encode_item(item) for item in self.find_events(prefix, after)]
        return Reply(200, body=msgspec.json.encode(RawEvents(events, self.revision)))

    def has_history(self, after: int) -> bool:
        """Return whether the store knows a revision and all events after it."""
        return self.compacted_revision <= after <= self.revision

    def find_events(self, prefix: str, after: int) -> list[WireItem]:
        """Return the events after a revision whose key has the prefix."""
        return [
            item
            for item in self.events
            if item.rev > after and item.key.startswith(prefix)
        ]


def encode_key(key: str) -> bytes:
    """Return the bytes of a key, by which the store orders its items."""
    return key.encode("utf-8", "surrogatepass")


def encode_item(item: WireItem) -> msgspec.Raw:
    """Return an item as JSON."""
    if isinstance(item, RawItem):
        return msgspec.Raw(item.body)
    return msgspec.Raw(msgspec.json.encode(item))
