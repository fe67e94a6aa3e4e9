"""The `[telemetry]` section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.config.section import Section
from garnetlanding.limits import SECOND
from garnetlanding.runtime.stream import parse_address


@dataclass(frozen=True, slots=True)
class Collector:
    """Where the figures go, as an operator sets it up."""

    address: str
    path: str = ""  # before /v1/traces and /v1/metrics
    service: str = "garnetlanding"
    every_us: int = 10 * SECOND


def read(data: object) -> Collector:
    """Raises ConfigError."""
    section = Section(data, "telemetry", "endpoint service every_s")
    url = section.text("endpoint")
    scheme, _, rest = url.partition("://")
    host, slash, path = rest.partition("/")
    if scheme != "http":
        raise section.error("endpoint", f"expected http://HOST:PORT, found {url!r:.80}")
    try:
        parse_address(host)
    except ValueError as problem:
        raise section.error("endpoint", problem) from None
    return Collector(
        host,
        (slash + path).rstrip("/"),
        section.text("service", "garnetlanding"),
        int(section.number("every_s", 0.1, 10, 3600) * SECOND),
    )
