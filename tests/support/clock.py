"""Time spans in microseconds, and the start of the simulated clock."""

from __future__ import annotations

MS = 1000
SECOND = 1_000_000
T0 = 50 * SECOND
