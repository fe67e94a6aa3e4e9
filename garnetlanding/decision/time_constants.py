"""Constants of time. All times are integer microseconds."""

from __future__ import annotations

from typing import Final

SECOND: Final = 1_000_000
"""Microseconds in a second."""

NEVER: Final = 1 << 62
"""A time after any event, in microseconds; also used as an amount without a bound."""

LONG_AGO: Final = -NEVER
"""A time before any event, in microseconds."""
