"""Formats and parses wall times."""

from __future__ import annotations

from datetime import UTC, datetime

from garnetlanding.audit.errors import InvalidQueryError
from garnetlanding.audit.limits import MS_PER_SECOND


def format_wall_ms(wall_ms: int) -> str:
    """Return an ISO 8601 time in UTC with milliseconds, such as `2026-12-02T01:30:00.000Z`."""
    time = datetime.fromtimestamp(wall_ms / MS_PER_SECOND, UTC)
    return time.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def parse_wall_ms(text: str) -> int:
    """Parse an ISO 8601 time or a number of milliseconds; return the milliseconds since 1970.

    A time without a time zone is taken as UTC. Raises `InvalidQueryError`.
    """
    if text.isdigit():
        return int(text)
    try:
        time = datetime.fromisoformat(text)
    except ValueError as error:
        raise InvalidQueryError(str(error)) from error
    if time.tzinfo is None:
        time = time.replace(tzinfo=UTC)
    return int(time.timestamp() * MS_PER_SECOND)
