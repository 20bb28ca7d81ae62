"""What one request may cost and when it is due, from its route and its caller."""

import math

from ..ids import ServiceName
from .call_times import CallTimes
from .extra_load import ExtraLoadBudget
from .fanout import FanoutPlan
from .routes import Route

ANSWER_MARGIN_S = 0.006
DEADLINE_MARGIN_S = 0.010
SHARE_TOLERANCE = 1e-9


def make_fanout_plan(
    route: Route,
    shards: tuple[ServiceName, ...],
    *,
    received_at: float,
    transit_s: float,
    wait_s: float | None,
    now: float,
    times: CallTimes,
    budget: ExtraLoadBudget,
) -> FanoutPlan:
    """Return the plan of a request; all times in seconds.

    `transit_s` is the network's part of the request's time, and `wait_s` how
    long its caller waits, None if it did not say.
    """
    longest_s = route.timeout_s if wait_s is None else min(route.timeout_s, wait_s)
    objective_s = route.objective_s - transit_s - ANSWER_MARGIN_S
    fill = budget.get_fill(shards[0], now)
    return FanoutPlan(
        shards=shards,
        required=get_required(route, len(shards)),
        idempotent=route.idempotent,
        max_attempts=route.max_attempts,
        objective_at=received_at + max(0.0, objective_s),
        deadline_at=received_at + max(0.0, longest_s - DEADLINE_MARGIN_S),
        usual_call_s=times.get_usual_call_s(route),
        hedge_after_s=(
            times.get_hedge_delay_s(route, fill) if route.idempotent else None
        ),
    )


def get_required(route: Route, shards: int) -> int:
    """Return the least number of shards that makes an answer."""
    if not route.is_gather:
        return 1
    return max(1, math.ceil(route.min_coverage * shards - SHARE_TOLERANCE))
