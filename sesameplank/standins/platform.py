"""Stand-in for the platform: configuration service and VM list."""

import time
from collections import Counter
from urllib.parse import parse_qs

import msgspec
from gevent.event import Event

from ..conf import PublishedConfiguration, PublishedVms, Vm
from ..ids import ConfigVersion


class Topic:
    """One published value with a version that readers can wait on."""

    def __init__(self) -> None:
        self.payloads: dict[int, bytes] = {}
        self.version = 0
        self.frozen_version: int | None = None
        self.changed = Event()

    @property
    def answered_version(self) -> int:
        """The version that readers get, which may be stale."""
        if self.frozen_version is None:
            return self.version
        return min(self.version, self.frozen_version)

    def publish(self, version: int, payload: bytes) -> None:
        """Replace the value and wake every waiting reader."""
        self.payloads[version] = payload
        self.version = version
        self.wake()

    def freeze(self, version: int | None) -> None:
        """Answer no newer version than this from now on; None thaws."""
        self.frozen_version = version
        self.wake()

    def wake(self) -> None:
        """Let waiting readers look again."""
        changed, self.changed = self.changed, Event()
        changed.set()

    def read(self, after: int, wait_s: float) -> bytes:
        """Return the value if newer, waiting for it, or empty bytes."""
        deadline = time.monotonic() + wait_s
        while self.answered_version <= after:
            remaining = deadline - time.monotonic()
            if remaining <= 0 or not self.changed.wait(remaining):
                break
        answered = self.answered_version
        return self.payloads.get(answered, b"") if answered > after else b""


class PlatformStandin:
    """Serves the configuration and the VM list over HTTP."""

    def __init__(self) -> None:
        self.config = Topic()
        self.vms = Topic()
        self.calls = 0
        self.calls_by_second: Counter[int] = Counter()
        self.published_versions: list[int] = []
        self.down = False

    @property
    def peak_calls_per_s(self) -> int:
        """The most calls that began in one second."""
        return max(self.calls_by_second.values(), default=0)

    def set_down(self, down: bool) -> None:
        """Refuse every call, waiting ones included, or serve again."""
        self.down = down
        self.config.wake()
        self.vms.wake()

    def publish_config(self, document: bytes, version: int | None = None) -> int:
        """Publish a document as it is, valid or not; return its version."""
        version = version or self.config.version + 1
        published = PublishedConfiguration(
            ConfigVersion(version), msgspec.Raw(document), time.time()
        )
        self.published_versions.append(version)
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
        """Answer that the service is down."""
        start_response("503 Service Unavailable", [("Content-Length", "0")])
        return [b""]
