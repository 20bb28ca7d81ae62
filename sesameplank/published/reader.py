"""Client for the platform's configuration service and VM list over HTTP."""

from gevent import Timeout
from geventhttpclient import HTTPClient

from ..conf import PublishedConfiguration, PublishedVms
from ..decoding import decode_json
from ..exceptions import MalformedDocumentError, PlatformError
from ..net import Address

READ_MARGIN_S = 2.0  # Added to the time that the service may wait.


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

        Raises PlatformError on any other response or if there is none in time.
        """
        self.calls += 1
        client = HTTPClient(self.address.host, self.address.port, concurrency=1)
        try:
            with Timeout(wait_s + READ_MARGIN_S):
                response = client.get(path)
                body = bytes(response.read())
        except (Timeout, Exception) as error:
            raise PlatformError(
                f"the platform at {self.address} did not answer GET {path}: "
                f"{error!r}; check its address and health"
            ) from error
        finally:
            client.close()
        if response.status_code == 204:
            return b""
        if response.status_code != 200:
            raise PlatformError(
                f"the platform answered {response.status_code} to GET {path}; "
                "check its health"
            )
        return body

    def decode(self, body: bytes, kind):
        """Return the typed body, or raise PlatformError if it is malformed."""
        try:
            return decode_json(body, kind)
        except MalformedDocumentError as error:
            raise PlatformError(
                f"the platform's answer is malformed: {error}; check its version"
            ) from error
