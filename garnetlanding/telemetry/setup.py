"""The `[telemetry]` section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.config.section import Section
from garnetlanding.limits import SECOND
from garnetlanding.runtime.stream import parse_address


@dataclass(frozen=True, slots=True)
class TelemetrySetup:
    """The collector to export to, and how often."""

    address: str
    """HOST:PORT."""
    path: str = ""
    """The prefix of the paths `/v1/traces` and `/v1/metrics`."""
    service: str = "garnetlanding"
    """The resource's `service.name`."""
    interval_us: int = 10 * SECOND


def read(data: object) -> TelemetrySetup:
    """Read the section. Raises `ConfigError` that names the key."""
    section = Section(data, "telemetry", "endpoint service every_s")
    url = section.text("endpoint")
    scheme, _, rest = url.partition("://")
    address, slash, path = rest.partition("/")
    if scheme != "http":
        raise section.error("endpoint", f"expected http://HOST:PORT, found {url!r:.80}")
    try:
        parse_address(address)
    except ValueError as error:
        raise section.error("endpoint", error) from error
    return TelemetrySetup(
        address=address,
        path=(slash + path).rstrip("/"),
        service=section.text("service", "garnetlanding"),
        interval_us=int(section.number("every_s", 0.1, 10, 3600) * SECOND),
    )
