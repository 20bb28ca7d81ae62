"""Sends search calls and bookings to targets."""

from abc import ABC, abstractmethod

import msgspec

from ..conf import Configuration
from ..core.clock import Clock
from ..core.messages import (
    CancelRequest,
    TargetBooking,
    TargetBookingAnswer,
    TargetHealth,
    TargetSearch,
    TargetSearchAnswer,
)
from ..core.outcomes import Failure, FailureReason, Ran
from ..ids import RequestId, TargetId
from ..net import Address
from .pool import TargetPool

UNKNOWN_TARGET = Failure(FailureReason.CONNECT, Ran.NOT_RUN, "not in the configuration")


class Dispatcher(ABC):
    """Carries calls to targets; deadlines are seconds of the process's clock."""

    @abstractmethod
    def search(
        self, target: TargetId, message: TargetSearch, deadline_at: float
    ) -> TargetSearchAnswer | Failure:
        """Return the target's answer to a search call, or a Failure."""

    def cancel(
        self, target: TargetId, request_id: RequestId, deadline_at: float
    ) -> None:
        """Ask a target to drop a search call; whether it did is not known."""
        return

    @abstractmethod
    def book(
        self,
        target: TargetId,
        message: TargetBooking,
        deadline_at: float,
        answer_by: float,
    ) -> TargetBookingAnswer | Failure:
        """Return the target's answer to a booking, or a Failure.

        Nothing is sent after the deadline; the answer is awaited longer.
        """


class DirectDispatcher(Dispatcher):
    """Calls targets on connections of this process.

    `connection_share` divides each target's connection limit.
    """

    def __init__(self, clock: Clock, connection_share: int) -> None:
        self.clock = clock
        self.connection_share = connection_share
        self.pools: dict[TargetId, TargetPool] = {}

    def __enter__(self) -> "DirectDispatcher":
        return self

    def __exit__(self, *exc_info: object) -> None:
        for pool in self.pools.values():
            pool.close()

    def update_targets(self, configuration: Configuration) -> None:
        """Open pools for new targets and close those of removed ones."""
        for target_id in set(self.pools) - set(configuration.targets):
            self.pools.pop(target_id).close()
        for target_id, target in configuration.targets.items():
            address = Address.parse(target.address)
            size = max(1, target.connections // self.connection_share)
            pool = self.pools.get(target_id)
            if pool and (pool.address, pool.size) == (address, size):
                continue
            if pool:
                pool.close()
            self.pools[target_id] = TargetPool(address, size, self.clock)

    def search(
        self, target: TargetId, message: TargetSearch, deadline_at: float
    ) -> TargetSearchAnswer | Failure:
        """Return the target's answer to a search call, or a Failure."""
        return self.call(target, "/search", message, TargetSearchAnswer, deadline_at)

    def cancel(
        self, target: TargetId, request_id: RequestId, deadline_at: float
    ) -> None:
        """Ask a target to drop a search call, by its request id."""
        message = CancelRequest(request_id)
        self.call(target, "/cancel", message, CancelRequest, deadline_at)

    def book(
        self,
        target: TargetId,
        message: TargetBooking,
        deadline_at: float,
        answer_by: float,
    ) -> TargetBookingAnswer | Failure:
        """Return the target's answer to a booking, or a Failure."""
        return self.call(
            target, "/book", message, TargetBookingAnswer, deadline_at, answer_by
        )

    def get_health(
        self, target: TargetId, deadline_at: float
    ) -> TargetHealth | Failure:
        """Return the target's health report, or a Failure."""
        pool = self.pools.get(target)
        if pool is None:
            return UNKNOWN_TARGET
        return pool.call(
            "GET",
            "/health",
            b"",
            deadline_at,
            lambda payload: decode_answer(payload, TargetHealth),
        )

    def call(self, target, path, message, answer_type, deadline_at, answer_by=None):
        """Send one message and return the decoded answer to it, or a Failure."""
        pool = self.pools.get(target)
        if pool is None:
            return UNKNOWN_TARGET

        def decode(payload: bytes):
            answer = decode_answer(payload, answer_type)
            if answer and answer.request_id != message.request_id:
                return Failure(FailureReason.FOREIGN, Ran.UNKNOWN, answer.request_id)
            return answer

        body = msgspec.json.encode(message)
        return pool.call("POST", path, body, deadline_at, decode, answer_by)


def decode_answer(payload: bytes, answer_type):
    """Return the typed answer, or a Failure for a malformed one."""
    try:
        return msgspec.json.decode(payload, type=answer_type)
    except msgspec.DecodeError as error:
        return Failure(FailureReason.BAD_ANSWER, Ran.UNKNOWN, str(error))
