"""A stand-in for the platform: the configuration service and the VM list."""

import time
from collections import Counter
from urllib.parse import parse_qs

import msgspec
from gevent.event import Event

from ..conf import PublishedConfiguration, PublishedVms, Vm
from ..ids import ConfigVersion


class Topic:
    """One published value, whose next version readers can wait for."""

    def __init__(self) -> None:
        self.payloads: dict[int, bytes] = {}
        self.version = 0
        self.frozen_version: int | None = None
        self.changed = Event()

    @property
    def served_version(self) -> int:
        """The version that readers get, an old one while the topic is frozen."""
        if self.frozen_version is None:
            return self.version
        return min(self.version, self.frozen_version)

    def publish(self, version: int, payload: bytes) -> None:
        """Publish a new version of the value and wake the waiting readers."""
        self.payloads[version] = payload
        self.version = version
        self.wake()

    def freeze(self, version: int | None) -> None:
        """Serve no version newer than this one; None removes the limit."""
        self.frozen_version = version
        self.wake()

    def wake(self) -> None:
        """Make waiting readers check the served version again."""
        changed, self.changed = self.changed, Event()
        changed.set()

    def read(self, after: int, wait_s: float) -> bytes:
        """Return the value if its version is newer than `after`, else empty bytes.

        Waits up to `wait_s` seconds for a newer version.
        """
        deadline = time.monotonic() + wait_s
        while self.served_version <= after:
            remaining = deadline - time.monotonic()
            if remaining <= 0 or not self.changed.wait(remaining):
                break
        served = self.served_version
        return self.payloads.get(served, b"") if served > after else b""


class PlatformStandin:
    """Serves the configuration and the VM list over HTTP with long polling."""

    def __init__(self) -> None:
        self.config = Topic()
        self.vms = Topic()
        self.calls = 0
        self.calls_by_second: Counter[int] = Counter()
        self.published_versions: list[int] = []
        self.down = False

    @property
    def peak_calls_per_s(self) -> int:
        """The highest number of calls received in one second."""
        return max(self.calls_by_second.values(), default=0)

    def set_down(self, down: bool) -> None:
        """Refuse all calls, including those that are waiting, or serve again."""
        self.down = down
        self.config.wake()
        self.vms.wake()

    def publish_config(self, document: bytes, version: int | None = None) -> int:
        """Publish a document without validating it, and return its version."""
        version = version or self.config.version + 1
        published = PublishedConfiguration(
            ConfigVersion(version), msgspec.Raw(document), time.time()
        )
        self.published_versions.append(version)
        self.config.publish(version, msgspec.json.encode(published))
        return version

    def publish_vms(self, vms: tuple[Vm, ...]) -> int:
        """Publish a VM list and return its version."""
        version = self.vms.version + 1
        self.vms.publish(version, msgspec.json.encode(PublishedVms(version, vms)))
        return version

    def __call__(self, environ, start_response):
        """Respond to one HTTP request.

        The status is 204 if there is no version newer than the caller's.
        """
        self.calls += 1
        self.calls_by_second[int(time.monotonic())] += 1
        topic = {"/config": self.config, "/vms": self.vms}.get(environ["PATH_INFO"])
        if self.down or topic is None:
            return self.refuse(start_response)
        query = parse_qs(environ.get("QUERY_STRING", ""))
        after = int(query.get("after", ["0"])[0])
        wait_s = int(query.get("wait_ms", ["0"])[0]) / 1_000
        body = topic.read(after, wait_s)
        if self.down:
            return self.refuse(start_response)
        status = "200 OK" if body else "204 No Content"
        start_response(status, [("Content-Length", str(len(body)))])
        return [body]

    def refuse(self, start_response):
        """Respond with status 503."""
        start_response("503 Service Unavailable", [("Content-Length", "0")])
        return [b""]
