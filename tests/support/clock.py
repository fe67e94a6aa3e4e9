"""Spans of the simulated clock, in microseconds, and the time at which it starts."""

from __future__ import annotations

MS = 1000
SECOND = 1_000_000
T0 = 50 * SECOND
