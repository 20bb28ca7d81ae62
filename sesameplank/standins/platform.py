"""Stand-in for the platform: configuration service and VM list."""

import time
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent.event import Event

from ..conf import PublishedConfiguration, PublishedVms, Vm
from ..ids import ConfigVersion


class Topic:
    """One published value with a version that readers can wait on."""

    def __init__(self) -> None:
        self.version = 0
        self.payload = b""
        self.changed = Event()

    def publish(self, version: int, payload: bytes) -> None:
        """Replace the value and wake every waiting reader."""
        self.version = version
        self.payload = payload
        changed, self.changed = self.changed, Event()
        changed.set()

    def read(self, after: int, wait_s: float) -> bytes:
        """Return the value if newer, waiting for it, or empty bytes."""
        deadline = time.monotonic() + wait_s
        while self.version <= after:
            remaining = deadline - time.monotonic()
            if remaining <= 0 or not self.changed.wait(remaining):
                break
        return self.payload if self.version > after else b""


class PlatformStandin:
    """Serves the configuration and the VM list over HTTP."""

    def __init__(self) -> None:
        self.config = Topic()
        self.vms = Topic()
        self.calls = 0
        self.down = False

    def publish_config(self, document: bytes, version: int | None = None) -> int:
        """Publish a document as it is, valid or not; return its version."""
        version = version or self.config.version + 1
        published = PublishedConfiguration(
            ConfigVersion(version), msgspec.Raw(document), time.time()
        )
        self.config.publish(version, msgspec.json.encode(published))
        return version

    def publish_vms(self, vms: tuple[Vm, ...]) -> int:
        """Publish a VM list; return its version."""
        version = self.vms.version + 1
        self.vms.publish(version, msgspec.json.encode(PublishedVms(version, vms)))
        return version

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""
        self.calls += 1
        topic = {"/config": self.config, "/vms": self.vms}.get(environ["PATH_INFO"])
        if self.down or topic is None:
            gevent.sleep(0)
            start_response("503 Service Unavailable", [("Content-Length", "0")])
            return [b""]
        query = parse_qs(environ.get("QUERY_STRING", ""))
        after = int(query.get("after", ["0"])[0])
        wait_s = int(query.get("wait_ms", ["0"])[0]) / 1_000
        body = topic.read(after, wait_s)
        status = "200 OK" if body else "204 No Content"
        start_response(status, [("Content-Length", str(len(body)))])
        return [body]
