"""The `[choices]` section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass, replace

from garnetlanding.config.section import Section
from garnetlanding.decision.interface import Settings

SECOND_US = 1_000_000
MAX_COUNT = 10_000  # upper limit of numbers without a unit
MAX_SPAN_S = 3600
MIN_IDLE_S = 0.05
MIN_WINDOW_S = 0.1


@dataclass(frozen=True, slots=True)
class ChoicesSetup:
    """The settings of the section."""

    subset_size: int = 0
    """Number of backends to which connections are kept open while idle; 0: all."""
    idle_timeout_us: int = SECOND_US
    """Idle time after which a connection to a backend outside the subset is closed."""
    retry_budget_ratio: float = 0.0
    """Retries allowed for each first attempt in the window. No budget if this and the floor are both 0."""
    retry_budget_floor: float = 0.0
    """Retries allowed in the window in addition to the ratio."""
    retry_budget_window_us: int = 10 * SECOND_US

    def with_retry_budget(self, settings: Settings) -> Settings:
        """Return the settings with this retry budget if it is configured and they have none."""
        has_budget = self.retry_budget_ratio or self.retry_budget_floor
        if settings.retry_budget_window_us or not has_budget:
            return settings
        return replace(
            settings,
            retry_budget_ratio=self.retry_budget_ratio,
            retry_budget_floor=self.retry_budget_floor,
            retry_budget_window_us=self.retry_budget_window_us,
        )


def read(data: object) -> ChoicesSetup:
    """Read and validate the section. Raises ConfigError, which names the invalid key."""
    section = Section(data, "choices", "subset idle_s resend_share resend_free resend_span_s")
    subset_size = section.number("subset", 0, 0, MAX_COUNT)
    if subset_size != int(subset_size):
        raise section.error("subset", f"expected a whole number, found {subset_size!r:.40}")
    return ChoicesSetup(
        subset_size=int(subset_size),
        idle_timeout_us=int(section.number("idle_s", MIN_IDLE_S, 1, MAX_SPAN_S) * SECOND_US),
        retry_budget_ratio=section.number("resend_share", 0, 0, MAX_COUNT),
        retry_budget_floor=section.number("resend_free", 0, 0, MAX_COUNT),
        retry_budget_window_us=int(section.number("resend_span_s", MIN_WINDOW_S, 10, MAX_SPAN_S) * SECOND_US),
    )
