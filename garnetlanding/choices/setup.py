"""The `[choices]` section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass, replace

from garnetlanding.config.section import Section
from garnetlanding.decision import interface as api

SECOND = 1_000_000
MOST_SERVERS, LONGEST_S = 10_000, 3600


@dataclass(frozen=True, slots=True)
class ChoicesSetup:
    subset_size: int = 0  # servers to which idle connections are kept; 0: to all
    idle_timeout_us: int = SECOND  # one to another server is closed once it has stood idle for so long
    retry_budget_ratio: float = (
        0.0  # further attempts for each first try, over the span; 0 with free 0: no budget
    )
    retry_budget_floor: float = 0.0  # and so many more
    retry_budget_window_us: int = 10 * SECOND

    def with_retry_budget(self, settings: api.Settings) -> api.Settings:
        """With the budget of further attempts, where the settings have none of their own."""
        if settings.retry_budget_window_us or not (self.retry_budget_ratio or self.retry_budget_floor):
            return settings
        return replace(
            settings,
            retry_budget_ratio=self.retry_budget_ratio,
            retry_budget_floor=self.retry_budget_floor,
            retry_budget_window_us=self.retry_budget_window_us,
        )


def read(data: object) -> ChoicesSetup:
    """Raises ConfigError."""
    section = Section(data, "choices", "subset idle_s resend_share resend_free resend_span_s")
    subset = section.number("subset", 0, 0, MOST_SERVERS)
    if subset != int(subset):
        raise section.error("subset", f"expected a whole number, found {subset!r:.40}")
    return ChoicesSetup(
        int(subset),
        int(section.number("idle_s", 0.05, 1, LONGEST_S) * SECOND),
        section.number("resend_share", 0, 0, MOST_SERVERS),
        section.number("resend_free", 0, 0, MOST_SERVERS),
        int(section.number("resend_span_s", 0.1, 10, LONGEST_S) * SECOND),
    )
