"""What the forwarder needs from the platform's manner of speaking.

The forwarder decides in the types of this module; an adapter translates them
from and to the headers of one platform.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable

import msgspec

from ..core.placement import LoadReport
from ..ids import RequestId, TargetId
from .http_messages import Headers, Request, Response


class RequestMetadata(msgspec.Struct, frozen=True):
    """What a caller says of its request.

    `request_id` is None if it gave none, `timeout_s` if it set no time limit.
    """

    request_id: RequestId | None
    timeout_s: float | None


class ResponseMetadata(msgspec.Struct, frozen=True):
    """Whose response it is and how long the target keeps the connection.

    Both are None when the response does not say.
    """

    request_id: RequestId | None
    idle_timeout_s: float | None


class TargetAnswer(msgspec.Struct, frozen=True):
    """What a target's response says.

    `not_run` is the target's word that it did not run the request, and
    `is_other_target` that another target listens at the address now.
    `signature` marks the body as the target's own; `is_usable` is False for a
    body in an encoding that nobody asked for.
    """

    status: int
    not_run: bool
    is_other_target: bool
    signature: str | None
    is_usable: bool
    load: LoadReport | None

    @property
    def is_success(self) -> bool:
        """Tell whether the target served the request."""
        return 200 <= self.status < 300


class Dialect(ABC):
    """Translates between the forwarder's types and one platform's headers."""

    @abstractmethod
    def read_request_metadata(self, request: Request) -> RequestMetadata:
        """Return what a caller says of its request."""

    @abstractmethod
    def get_forwarded_headers(self, request: Request) -> Headers:
        """Return the caller's headers that every call for the request bears."""

    @abstractmethod
    def make_call_headers(self, target: TargetId, remaining_s: float) -> Headers:
        """Return the headers of one call to a target besides; time in seconds."""

    @abstractmethod
    def read_response_metadata(self, response: Response) -> ResponseMetadata:
        """Return whose response it is and how to go on with the connection."""

    @abstractmethod
    def read_answer(self, response: Response) -> TargetAnswer:
        """Return what a target's response says."""

    @abstractmethod
    def make_merged_headers(
        self, request_id: RequestId, signatures: Iterable[str], missing: int
    ) -> Headers:
        """Return the headers of an answer that merges parts of many shards."""

    @abstractmethod
    def make_refusal_headers(
        self, request_id: RequestId | None, retry_after_s: float | None
    ) -> Headers:
        """Return the headers of an answer of the forwarder's own."""
