"""Client for the platform's configuration service and VM list over HTTP."""

import contextlib

from gevent import Timeout

from ..conf import PublishedConfiguration, PublishedVms
from ..decoding import decode_json
from ..exceptions import MalformedDocumentError, PlatformError
from ..forwarding.http_messages import Response, ResponseReader, encode_request
from ..net import Address, open_connection

READ_MARGIN_S = 2.0  # Added to the time that the service may wait.
READ_BYTES = 65_536
MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 16 * 1024 * 1024
OK = 200
NO_CONTENT = 204


class PlatformReader:
    """Makes one call at a time; each counts against the service's rate limit."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.calls = 0

    def read_configuration(
        self, after_version: int, wait_s: float
    ) -> PublishedConfiguration | None:
        """Return the configuration if its version is above `after_version`.

        The call waits up to `wait_s` seconds for such a version and returns None
        if there is none. Raises PlatformError if the call fails.
        """
        path = f"/config?after={after_version}&wait_ms={int(wait_s * 1_000)}"
        body = self.get(path, wait_s)
        return self.decode(body, PublishedConfiguration) if body else None

    def read_vms(self, after_version: int, wait_s: float) -> PublishedVms | None:
        """Return the VM list if its version is above `after_version`.

        It waits and raises as `read_configuration` does.
        """
        path = f"/vms?after={after_version}&wait_ms={int(wait_s * 1_000)}"
        body = self.get(path, wait_s)
        return self.decode(body, PublishedVms) if body else None

    def get(self, path: str, wait_s: float) -> bytes:
        """Return the body of a 200 response, or no bytes for 204 No Content.

        Raises PlatformError on any other response, if it is too large, or if there is
        none in time.
        """
        self.calls += 1
        try:
            with Timeout(wait_s + READ_MARGIN_S):
                response = self.exchange(path)
        except (Timeout, OSError) as error:
            raise PlatformError(
                f"the platform at {self.address} did not answer GET {path}: "
                f"{error!r}; check its address and health"
            ) from error
        if response.status == NO_CONTENT:
            return b""
        if response.status != OK:
            raise PlatformError(
                f"the platform answered {response.status} to GET {path}; "
                "check its health"
            )
        return bytes(response.body)

    def exchange(self, path: str) -> Response:
        """Send one request on a new connection and return its response.

        Raises OSError if it isn't whole, malformed or too large.
        """
        headers = [(b"Host", str(self.address).encode()), (b"Connection", b"close")]
        reader = ResponseReader(MAX_HEADER_BYTES, MAX_BODY_BYTES)
        with contextlib.closing(open_connection(self.address, READ_MARGIN_S)) as sock:
            sock.settimeout(None)
            sock.sendall(encode_request(b"GET", path.encode(), headers, b""))
            while not reader.complete and not reader.is_corrupt:
                data = sock.recv(READ_BYTES)
                if not data:
                    reader.finish()
                    break
                reader.feed(data)
        if reader.is_corrupt or not reader.complete:
            raise ConnectionError(
                "the response is cut off, malformed or larger than "
                f"{MAX_BODY_BYTES} bytes"
            )
        return reader.complete.pop()

    def decode(self, body: bytes, kind):
        """Return the typed body, or raise PlatformError if it is malformed."""
        try:
            return decode_json(body, kind)
        except MalformedDocumentError as error:
            raise PlatformError(
                f"the platform's answer is malformed: {error}; check its version"
            ) from error
