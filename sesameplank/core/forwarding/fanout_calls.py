"""The plan of a forwarded request, its calls, and the state of each shard."""

from enum import Enum

import msgspec

from ...ids import AttemptId, ServiceName, TargetId
from ..published.target_table import TargetRecord

RETRY_BACKOFF_S = 0.01
MAX_RETRY_BACKOFF_S = 0.08
NEVER = float("inf")


class CallKind(Enum):
    """The reason for sending a call."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


class FanoutPlan(msgspec.Struct, frozen=True):
    """The limits on the calls and the time of one request.

    `required` is the least number of shards that must answer. The request waits
    for all shards until `objective_at`, and from then on only until `required`
    shards have answered. `usual_call_s` is the expected latency of one call, and
    `hedge_after_s` the delay after which the only call of a single-shard request
    is late, None if calls are not hedged. Times and durations are in seconds.
    """

    shards: tuple[ServiceName, ...]
    required: int
    idempotent: bool
    max_attempts: int
    objective_at: float
    deadline_at: float
    usual_call_s: float
    hedge_after_s: float | None


class Call(msgspec.Struct, frozen=True):
    """One call to one target for one shard."""

    id: AttemptId
    kind: CallKind
    shard: ServiceName
    target: TargetRecord
    sent_at: float


class ShardState:
    """The state of one shard of a request.

    `tried_targets` holds the targets of the calls so far; it is cleared once every
    allowed target is in it. `may_have_run_on` holds the targets at which a failed
    call ran or may have run, and `limited_targets` those at which other VMs found no
    room. `arrived_calls` holds the calls that were transmitted,
    except those that arrived at a target of another service.
    """

    def __init__(self, service: ServiceName) -> None:
        self.service = service
        self.calls: dict[AttemptId, Call] = {}
        self.tried_targets: list[TargetId] = []
        self.may_have_run_on: set[TargetId] = set()
        self.limited_targets: set[TargetId] = set()
        self.arrived_calls: set[AttemptId] = set()
        self.failures = 0
        self.is_answered = False
        self.is_abandoned = False
        self.hedge_at = NEVER
        self.retry_at = NEVER

    @property
    def is_open(self) -> bool:
        """Whether the shard may still be answered."""
        return not self.is_answered and not self.is_abandoned

    @property
    def backoff_s(self) -> float:
        """The delay of the next retry in seconds, if it isn't sent at once."""
        return min(MAX_RETRY_BACKOFF_S, RETRY_BACKOFF_S * 2 ** min(self.failures, 4))
