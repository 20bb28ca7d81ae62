"""Sending of search calls and bookings to targets."""

import functools
import sys
from abc import ABC, abstractmethod
from typing import Any

import gevent
import msgspec
from gevent.pool import Pool

from ..conf import Configuration
from ..core.common.clock import Clock
from ..core.common.outcomes import Failure, FailureReason, Ran
from ..core.forwarding.target_reach import ProbedTarget, TargetReach
from ..core.limits.target_limits import (
    LimitNews,
    LimitStatement,
    TargetLimits,
    UnreadableLimit,
)
from ..core.membership.homes import HOLD_DOWN_S, ConnectionPlan, get_connection_share
from ..core.published.leaving import LeavingSource, LeavingTargets
from ..core.quarantine.sent_request import SentRequest
from ..core.search.messages import (
    CancelRequest,
    TargetBooking,
    TargetBookingAnswer,
    TargetHealth,
    TargetSearch,
    TargetSearchAnswer,
)
from ..crash_guard import CrashGuard
from ..decoding import decode_json
from ..exceptions import MalformedDocumentError
from ..ids import RequestId, TargetId
from ..net import Address, is_refusing
from .fingerprints import find_message_fingerprint
from .pool import TargetPool

WARM_INTERVAL_S = 0.5
WARM_UP_TIMEOUT_S = 1.0
MAX_CONCURRENT_OPENS = 32
HEALTH_PATH = "/health"
LIMIT_PATHS = frozenset(("/search", "/book", HEALTH_PATH))
NEW_WORK_PATHS = frozenset(("/search", "/book"))
# Failures that lost links to targets lead to, among other reasons.
SILENT_REASONS = frozenset(
    {FailureReason.CONNECT, FailureReason.RESET, FailureReason.TIMEOUT}
)
TARGET_LEAVING = Failure(FailureReason.REFUSED, Ran.NOT_RUN, "the target is leaving")
BROKEN_OFF_REASONS = frozenset(
    {FailureReason.RESET, FailureReason.TRUNCATED, FailureReason.BAD_ANSWER}
)
CRASH_CHECK_TIMEOUT_S = 0.1
QUARANTINED = Failure(
    FailureReason.QUARANTINED, Ran.NOT_RUN, "such requests crash targets"
)
NO_POOL = Failure(FailureReason.CONNECT, Ran.NOT_RUN, "not in the configuration")


class RequestIdOnly(msgspec.Struct):
    """The request id of any call that carries one."""

    request_id: RequestId = RequestId("")


class StatedLimit(msgspec.Struct):
    """The rate limit in any answer of a target."""

    limit_per_s: Any = None


def read_limit(value: object) -> LimitStatement:
    """Return what the value of `limit_per_s` says, as it was decoded from JSON."""
    if value is None:
        return LimitNews(None)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and 0.0 <= value <= sys.float_info.max:
        return LimitNews(float(value))
    return UnreadableLimit("not a number of at least 0 that a float can hold")


class Dispatcher(ABC):
    """Sends calls to targets; deadlines are in seconds of the process's clock."""

    @abstractmethod
    def search(
        self, target: TargetId, message: TargetSearch, deadline_at: float
    ) -> TargetSearchAnswer | Failure:
        """Return the target's answer to a search call, or a Failure."""

    def cancel(
        self, target: TargetId, request_id: RequestId, deadline_at: float
    ) -> None:
        """Request that a target cancel a search call.

        The outcome is not reported. The default implementation does nothing.
        """
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

        Nothing is sent after `deadline_at`, but the answer is awaited until
        `answer_by`.
        """


class MessageDispatcher(Dispatcher):
    """Encodes the messages of calls, decodes the answers, and notes leaving targets.

    Subclasses set `leaving` and implement `exchange`. A leaving target gets health
    polls and cancellations, but no search calls or bookings.
    """

    leaving: LeavingTargets

    @abstractmethod
    def exchange(self, target, path, body, deadline_at, decode, answer_by=None):
        """Send one encoded message and return the decoded answer, or a Failure.

        Times are in seconds of the process's clock: nothing is sent to the target
        after `deadline_at`, and the answer is awaited until `answer_by`, which is
        `deadline_at` if it is None.
        """

    def search(
        self, target: TargetId, message: TargetSearch, deadline_at: float
    ) -> TargetSearchAnswer | Failure:
        """Return the target's answer to a search call, or a Failure."""
        return self.call(target, "/search", message, TargetSearchAnswer, deadline_at)

    def cancel(
        self, target: TargetId, request_id: RequestId, deadline_at: float
    ) -> None:
        """Request that a target cancel the search call with a request id."""
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
        return self.exchange(
            target,
            HEALTH_PATH,
            b"",
            deadline_at,
            lambda payload: decode_answer(payload, TargetHealth),
        )

    def call(self, target, path, message, answer_type, deadline_at, answer_by=None):
        """Send one message and return the decoded answer, or a Failure."""
        if path in NEW_WORK_PATHS and self.leaving.is_leaving(target):
            return TARGET_LEAVING

        def decode(payload: bytes):
            return decode_matching_answer(payload, answer_type, message.request_id)

        body = msgspec.json.encode(message)
        answer = self.exchange(target, path, body, deadline_at, decode, answer_by)
        if getattr(answer, "draining", False):
            self.leaving.mark(target, LeavingSource.ANSWER)
        return answer


class DirectDispatcher(MessageDispatcher):
    """Calls targets on connections of this process.

    The connection plan limits the connections to each target.
    """

    def __init__(
        self,
        clock: Clock,
        plan: ConnectionPlan,
        leaving: LeavingTargets,
        limits: TargetLimits,
        reach: TargetReach,
        crash_guard: CrashGuard,
    ) -> None:
        self.clock = clock
        self.crash_guard = crash_guard
        self.plan = plan
        self.leaving = leaving
        self.limits = limits
        self.reach = reach
        self.configuration: Configuration | None = None
        self.pools: dict[TargetId, TargetPool] = {}

    def __enter__(self) -> "DirectDispatcher":
        return self

    def __exit__(self, *exc_info: object) -> None:
        for pool in self.pools.values():
            pool.close()

    def update_targets(self, configuration: Configuration) -> None:
        """Use the targets of a configuration, and update the pools to match."""
        self.configuration = configuration
        self.update_pools()

    def update_pools(self) -> None:
        """Open, close or replace pools to match the configuration and the plan."""
        targets = self.configuration.targets if self.configuration else {}
        for target_id in set(self.pools) - set(targets):
            self.pools.pop(target_id).close()
        self.limits.keep_only(targets.__contains__)
        now = self.clock.now()
        for target_id, target in targets.items():
            address = Address.parse(target.address)
            size = self.plan.get_connection_limit(target_id, target.connections, now)
            pool = self.pools.get(target_id)
            if pool and (pool.address, pool.size) == (address, size):
                continue
            if pool:
                self.pools.pop(target_id).close()
            if size:
                admit = functools.partial(self.admit, target_id)
                self.pools[target_id] = TargetPool(address, size, self.clock, admit)

    def run_round(self) -> None:
        """Update the pools, open connections, and wait for WARM_INTERVAL_S."""
        self.update_pools()
        self.limits.update(self.clock.now())
        self.warm_all()
        gevent.sleep(WARM_INTERVAL_S)

    def has_part(self, target: TargetId) -> bool:
        """Return whether this process may use a part of the target's rate limit."""
        return self.limits.has_part(target, self.clock.now())

    def admit(self, target: TargetId, path: str) -> bool:
        """Return whether the target's rate limit leaves room for a call, and use it.

        Health polls are sent only while nothing of the saved room is used.
        """
        reserve = 1.0 if path == HEALTH_PATH else 0.0
        return self.limits.take(target, self.clock.now(), reserve)

    def warm_all(self) -> None:
        """Open one more connection to each target whose pool is not fully open."""
        incomplete = [pool for pool in self.pools.values() if not pool.is_warm]
        Pool(MAX_CONCURRENT_OPENS).map(TargetPool.warm, incomplete)

    def wait_until_warm(self) -> None:
        """Wait for the end of the hold-down, then until all connections are open.

        The first wait takes at most HOLD_DOWN_S + WARM_UP_TIMEOUT_S and the second
        about WARM_UP_TIMEOUT_S, since a target may be down.
        """
        until = self.clock.now() + HOLD_DOWN_S + WARM_UP_TIMEOUT_S
        while self.is_holding_down() and self.clock.now() < until:
            gevent.sleep(WARM_INTERVAL_S)
        until = self.clock.now() + WARM_UP_TIMEOUT_S
        while self.clock.now() < until:
            if all(pool.is_warm for pool in self.pools.values()):
                return
            self.warm_all()
            gevent.sleep(0)

    def is_holding_down(self) -> bool:
        """Return whether a hold-down delays the connections to any target.

        This is so if this process is a home of the target with a share of its
        connections, but has no pool for it yet.
        """
        self.update_pools()
        targets = self.configuration.targets if self.configuration else {}
        return any(
            target_id not in self.pools
            and self.plan.own_id in self.plan.get_homes(target_id)
            and get_connection_share(
                target.connections, self.plan.homes, self.plan.headroom
            )
            for target_id, target in targets.items()
        )

    def exchange(self, target, path, body, deadline_at, decode, answer_by=None):
        """Send one encoded message and return the decoded answer, or a Failure."""
        pool = self.pools.get(target)
        if pool is None:
            return NO_POOL
        method = "GET" if path == HEALTH_PATH else "POST"
        sent_at = self.clock.now()
        if path in NEW_WORK_PATHS and not self.crash_guard.may_send_any(
            lambda: make_sent_request(path, body)
        ):
            return QUARANTINED

        def decode_and_note(payload: bytes):
            answer = decode(payload)
            if path in LIMIT_PATHS:
                self.note_limit(target, answer, sent_at)
            return answer

        outcome = pool.call(method, path, body, deadline_at, decode_and_note, answer_by)
        self.note_reach(outcome)
        if path in NEW_WORK_PATHS and is_broken_off(outcome):
            return self.check_crash(target, pool, path, body, sent_at, outcome)
        return outcome

    def check_crash(
        self,
        target: TargetId,
        pool: TargetPool,
        path: str,
        body: bytes,
        sent_at: float,
        failure: Failure,
    ) -> Failure:
        """Return the failure of a call, with its reason if the target has crashed."""
        if not is_refusing(pool.address, CRASH_CHECK_TIMEOUT_S):
            return failure
        request = make_sent_request(path, body)
        if not self.crash_guard.note_ended(target, request, sent_at):
            return failure
        return msgspec.structs.replace(failure, reason=FailureReason.CRASHED)

    def note_reach(self, outcome: object) -> None:
        """Record whether the outcome of a call shows that a target can be reached."""
        if not isinstance(outcome, Failure):
            self.reach.note_heard(self.clock.now())
        elif outcome.reason in SILENT_REASONS:
            self.reach.note_suspicion()

    def get_probed_targets(self) -> list[ProbedTarget]:
        """Return the targets of the configuration, for probes."""
        targets = self.configuration.targets if self.configuration else {}
        return [ProbedTarget(name, item.address) for name, item in targets.items()]

    def get_longest_wait_s(self, now: float) -> float:
        """Return for how long a call has been in flight, in seconds."""
        started = [
            at for pool in self.pools.values() for at in pool.started_at.values()
        ]
        return now - min(started, default=now)

    def note_limit(self, target: TargetId, answer: object, sent_at: float) -> None:
        """Record the rate limit in the answer to a call that was sent at a time.

        The answer to a call that is relayed for another entry is still encoded.
        """
        if isinstance(answer, bytes):
            answer = decode_answer(answer, StatedLimit)
        if isinstance(answer, Failure):
            return  # The failure says what is wrong with the answer.
        statement = read_limit(answer.limit_per_s)
        self.limits.note_answer(target, statement, sent_at, self.clock.now())


def make_sent_request(path: str, body: bytes) -> SentRequest:
    """Return what an encoded call shows of its request."""
    try:
        request_id = decode_json(body, RequestIdOnly).request_id
    except MalformedDocumentError:  # The target refuses it.
        request_id = RequestId("")
    return SentRequest(request_id, find_message_fingerprint(path, body))


def is_broken_off(outcome: object) -> bool:
    """Return whether the connection of a call that may have run has ended."""
    if not isinstance(outcome, Failure) or outcome.ran is Ran.NOT_RUN:
        return False
    return outcome.reason in BROKEN_OFF_REASONS


def decode_answer(payload: bytes, answer_type):
    """Return the typed answer, or a Failure if the payload is malformed."""
    try:
        return decode_json(payload, answer_type)
    except MalformedDocumentError as error:
        return Failure(FailureReason.BAD_ANSWER, Ran.UNKNOWN, str(error))


def decode_matching_answer(payload: bytes, answer_type, request_id: RequestId):
    """Return the typed answer to a request.

    Returns a Failure if the payload is malformed or answers another request.
    """
    answer = decode_answer(payload, answer_type)
    if answer and answer.request_id != request_id:
        return Failure(FailureReason.FOREIGN, Ran.UNKNOWN, answer.request_id)
    return answer
