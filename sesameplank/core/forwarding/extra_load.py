"""Budgets for the extra load (hedges and retries) on each service.

The fleet shares one limit for each service: in any window, the calls beyond the
first one of each request stay below `ratio` times the number of requests plus
`slack`. The processes keep within it without communicating: each applies the ratio
to its own requests and takes its part of the slack, see `slack_share`.
"""

import msgspec

from ...ids import ServiceName

SAFETY_FACTOR = 0.85
DEFAULT_SLACK_SHARE = 0.25
WINDOW_BUCKETS = 20


class ExtraLoadBounds(msgspec.Struct, frozen=True):
    """The fleet's limit on extra load for each service.

    `ratio` is a share of the requests, `slack` a number of calls in addition to it,
    and `window_s` the length in seconds of the windows in which the limit holds.
    """

    ratio: float = 0.1
    slack: float = 20.0
    window_s: float = 10.0


class WindowCount:
    """The number of events in the last window, in buckets of equal length."""

    def __init__(self, window_s: float) -> None:
        self.bucket_s = window_s / WINDOW_BUCKETS
        self.buckets: dict[int, int] = {}

    def add(self, now: float) -> None:
        """Count an event."""
        number = int(now / self.bucket_s)
        self.buckets[number] = self.buckets.get(number, 0) + 1
        if len(self.buckets) > 2 * WINDOW_BUCKETS:
            first = number - WINDOW_BUCKETS
            self.buckets = {
                key: count for key, count in self.buckets.items() if key >= first
            }

    def get(self, now: float, *, with_partial: bool) -> int:
        """Return the number of events, with or without the oldest, partial bucket."""
        first = int(now / self.bucket_s) - WINDOW_BUCKETS + (not with_partial)
        return sum(count for key, count in self.buckets.items() if key >= first)


class ServiceBudget:
    """The token bucket of one service in this process.

    The bucket holds up to half of the process's part of the slack, but at least one
    token. The other half is earned evenly over a window. In any window, the process
    therefore spends at most the whole part in addition to the tokens that requests
    earn. If half of the part is less than one token, the calls of the last window
    are counted too, because many processes could spend a saved token at once.
    """

    def __init__(self, started_at: float, window_s: float) -> None:
        self.tokens = 0.0
        self.updated_at = started_at
        self.requests = WindowCount(window_s)
        self.extra_calls = WindowCount(window_s)


class ExtraLoadBudget:
    """The budgets of all services; times are in seconds.

    Every service earns tokens from `started_at` on, the start of the process, even
    before its first request. It starts without tokens because the process cannot
    know what a predecessor has spent. `slack_share` is this process's part of the
    slack, from 0 to 1, since `share_since`.
    """

    def __init__(
        self,
        bounds: ExtraLoadBounds,
        started_at: float = 0.0,
        slack_share: float = DEFAULT_SLACK_SHARE,
    ) -> None:
        self.bounds = bounds
        self.slack_share = slack_share
        self.share_since = started_at
        self.services: dict[ServiceName, ServiceBudget] = {}
        self.refused = 0
        self.taken = 0

    def set_slack_share(self, share: float, now: float) -> None:
        """Set this process's part of the slack, from 0 to 1, from now on."""
        if share == self.slack_share:
            return
        for service in self.services:
            self.get(service, now)
        self.slack_share = share
        self.share_since = now
        for service in self.services:
            self.get(service, now)

    @property
    def half_slack(self) -> float:
        """Half of this process's part of the slack, in tokens."""
        return SAFETY_FACTOR * self.bounds.slack * self.slack_share / 2.0

    @property
    def capacity(self) -> float:
        """The greatest number of tokens that a service can hold."""
        return max(1.0, self.half_slack)

    def get(self, service: ServiceName, now: float) -> ServiceBudget:
        """Return the budget of a service, including the tokens earned by now."""
        budget = self.services.get(service)
        if budget is None:
            budget = self.services[service] = ServiceBudget(
                self.share_since, self.bounds.window_s
            )
        elapsed_s = max(0.0, now - budget.updated_at)
        earned = self.half_slack * elapsed_s / self.bounds.window_s
        budget.tokens = min(self.capacity, budget.tokens + earned)
        budget.updated_at = now
        return budget

    def note_request(self, service: ServiceName, now: float) -> None:
        """Add the tokens that a caller's request to a service earns."""
        budget = self.get(service, now)
        earned = SAFETY_FACTOR * self.bounds.ratio
        budget.tokens = min(self.capacity, budget.tokens + earned)
        if self.is_part_small:
            budget.requests.add(now)

    @property
    def is_part_small(self) -> bool:
        """Whether half of this process's part of the slack is less than one token."""
        return self.half_slack < 1.0

    def fits_window(self, budget: ServiceBudget, now: float) -> bool:
        """Return whether one more call keeps this process within its part."""
        requests = budget.requests.get(now, with_partial=False)
        extra_calls = budget.extra_calls.get(now, with_partial=True)
        earned = SAFETY_FACTOR * self.bounds.ratio * requests
        return extra_calls + 1 <= earned + 2.0 * self.half_slack

    def get_fill(self, service: ServiceName, now: float) -> float:
        """Return the share of a service's budget that is left, from 0 to 1."""
        return max(0.0, self.get(service, now).tokens / self.capacity)

    def note_misdirected(self, service: ServiceName | None, now: float) -> None:
        """Charge a call that arrived at a service for which it was not meant.

        If the service is None, it is unknown, and the call is charged to every service
        that has a budget. The tokens may fall below 0.
        """
        services = [service] if service is not None else list(self.services)
        for item in services:
            budget = self.get(item, now)
            budget.tokens -= 1.0
            budget.extra_calls.add(now)

    def take(self, service: ServiceName, now: float, reserve: float = 0.0) -> bool:
        """Take a token and return True, or return False if too few are left.

        `reserve` is the share of the capacity beyond one token, from 0 to 1, that
        stays untouched.
        """
        budget = self.get(service, now)
        is_refused = budget.tokens < 1.0 + reserve * (self.capacity - 1.0)
        if self.is_part_small and not is_refused:
            is_refused = not self.fits_window(budget, now)
        if is_refused:
            self.refused += 1
            return False
        budget.tokens -= 1.0
        budget.extra_calls.add(now)
        self.taken += 1
        return True
