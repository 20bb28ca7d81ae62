"""The interface between the forwarder and the HTTP headers of a platform.

The forwarder uses the types of this module and knows no header of a platform. An
adapter for each platform implements `Dialect`, which translates these types from
and to the platform's headers.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable

import msgspec

from ..core.common.outcomes import Failure, FailureReason, Ran
from ..core.forwarding.placement import LoadReport
from ..core.limits.target_limits import LimitStatement
from ..ids import RequestId, TargetId
from .http_messages import Headers, Request, Response


class RequestMetadata(msgspec.Struct, frozen=True):
    """The id and the time limit that a caller sent with its request.

    `request_id` is None if the caller sent no id, and `timeout_s`, in seconds, is
    None if it set no time limit. `error` says what is wrong with a header that cannot
    be read, and how to correct it; it is None if there is none.
    """

    request_id: RequestId | None
    timeout_s: float | None
    error: str | None = None


class ResponseMetadata(msgspec.Struct, frozen=True):
    """What a response says besides its answer.

    `request_id` is the id of the request that it belongs to, and `idle_timeout_s` how
    long the target keeps an idle connection open, in seconds; each is None if the
    response does not contain it. `limit` is what it says of the target's rate limit,
    None if it comes from another target. `is_leaving` says that the target leaves, and
    `pause_s` for how many seconds it wants no requests from this process, None if it
    does not say so. `not_run` says that the target did not run the request.
    """

    request_id: RequestId | None
    idle_timeout_s: float | None
    limit: LimitStatement | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    not_run: bool = False


class TargetAnswer(msgspec.Struct, frozen=True):
    """The result of a call, as a target's response reports it.

    `not_run` is true if the target reports that it did not run the request, and
    `is_other_target` if a different target now listens at the address; `answered_by`
    is the id of the target that answered, None if the response does not name it.
    `signature` shows that the target itself produced the body, and is None if
    absent. `is_usable` is false if the body has an encoding that was not requested.
    `load` is None if the target reports no load.
    """

    status: int
    not_run: bool
    is_other_target: bool
    signature: str | None
    is_usable: bool
    load: LoadReport | None
    answered_by: TargetId | None = None

    @property
    def is_success(self) -> bool:
        """Return whether the status is a success (2xx)."""
        return 200 <= self.status < 300


def find_failure(answer: TargetAnswer) -> Failure | None:
    """Return why an answer to a call that ran cannot be used, or None if it can."""
    if answer.signature is None or not answer.is_usable:
        return Failure(FailureReason.BAD_ANSWER, Ran.UNKNOWN, "unsigned")
    if not answer.is_success:
        return Failure(FailureReason.REFUSED, Ran.ANSWERED)
    return None


class Dialect(ABC):
    """A translator between the forwarder's types and one platform's headers."""

    @abstractmethod
    def read_request_metadata(self, request: Request) -> RequestMetadata:
        """Return the request id and the time limit from a caller's headers."""

    @abstractmethod
    def get_forwarded_headers(self, request: Request) -> Headers:
        """Return the caller's headers that are forwarded with every call."""

    @abstractmethod
    def make_call_headers(self, target: TargetId, remaining_s: float) -> Headers:
        """Return the headers to add to one call.

        `remaining_s` is the time until the deadline of the request in seconds.
        """

    @abstractmethod
    def read_response_metadata(self, response: Response) -> ResponseMetadata:
        """Return what a target's headers say besides its answer."""

    @abstractmethod
    def read_answer(self, response: Response) -> TargetAnswer:
        """Return the result that a target's response reports."""

    @abstractmethod
    def make_merged_headers(
        self, request_id: RequestId, signatures: Iterable[str], missing: int
    ) -> Headers:
        """Return the headers of a response merged from the answers of many shards.

        `signatures` are those of the merged answers, and `missing` is the number
        of shards without an answer.
        """

    @abstractmethod
    def make_refusal_headers(
        self, request_id: RequestId | None, retry_after_s: float | None
    ) -> Headers:
        """Return the headers of an error response that the forwarder itself produces.

        `retry_after_s` is the delay before a retry in seconds, or None.
        """
