"""Budgets that bound extra load to a fraction of the ordinary load."""


class TokenBudget:
    """A token bucket that earns a fraction of a token with each ordinary request.

    Each extra request costs one token. The whole process shares one budget, so that
    many slow queries at once cannot each spend a budget of their own. `burst` is
    the maximum number of tokens that can accumulate.
    """

    def __init__(self, fraction: float, burst: float, tokens: float = 0.0) -> None:
        self.fraction = fraction
        self.burst = burst
        self.tokens = tokens
        self.refused = 0

    def set_fraction(self, fraction: float) -> None:
        """Change the fraction and retain the tokens that are already earned."""
        self.fraction = fraction

    def earn(self, requests: int) -> None:
        """Add the tokens earned by ordinary requests, up to `burst`."""
        self.tokens = min(self.burst, self.tokens + requests * self.fraction)

    def take(self, count: int = 1) -> bool:
        """Take all tokens for `count` extra requests, or none and return False."""
        if self.fraction <= 0.0 or self.tokens < count:
            self.refused += 1
            return False
        self.tokens -= count
        return True
