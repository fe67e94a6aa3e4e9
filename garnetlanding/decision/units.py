"""Units of time and the constants for "never". All times are integer microseconds."""

from __future__ import annotations

from typing import Final

SECOND: Final = 1_000_000
"""Microseconds in a second."""

NEVER: Final = 1 << 62
"""A time later than any clock reaches, in microseconds; also an amount that nothing reaches."""

LONG_AGO: Final = -NEVER
"""A time before any event, in microseconds."""
