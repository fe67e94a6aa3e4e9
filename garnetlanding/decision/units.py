"""Units of time and the constants that stand for "no moment". All times are integer microseconds."""

from __future__ import annotations

from typing import Final

SECOND: Final = 1_000_000
"""Microseconds in a second."""

NEVER: Final = 1 << 62
"""A moment that no clock reaches, in microseconds; also an amount or a level that nothing reaches."""

LONG_AGO: Final = -NEVER
"""A moment before anything happened, in microseconds."""
