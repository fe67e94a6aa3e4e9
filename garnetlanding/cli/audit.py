"""Reports from the audit files of many instances: `audit show`, `merge`, `who`, `lag` and `verify`."""

from __future__ import annotations

from collections.abc import Callable
from functools import wraps
from typing import ParamSpec

import click

from garnetlanding.cli.root import EXIT_USAGE, commands, print_problem

PLACES = click.argument("places", nargs=-1, required=True, type=click.Path(exists=True))
AS_JSON = click.option("--json", "as_json", is_flag=True, help="As one JSON object.")
Parameters = ParamSpec("Parameters")


@commands.group(
    help="Read the audits of many heads: files, or folders of them (`[audit]` of their operators' files)."
)
def audit() -> None:
    """Group the commands that read audits."""


def reading_files(command: Callable[Parameters, int]) -> Callable[Parameters, int]:
    """Make a command print unreadable files and invalid values as an error, and return exit code 2."""

    @wraps(command)
    def run(*args: Parameters.args, **kwargs: Parameters.kwargs) -> int:
        try:
            return command(*args, **kwargs)
        except (OSError, ValueError) as problem:
            return print_problem(EXIT_USAGE, f"audit: {problem}")

    return run


@audit.command("show", help="Show which head acted on what, from when to when.")
@PLACES
@click.option("--chart", metavar="FILE", help="Draw versions by head over time as PNG.")
@AS_JSON
@reading_files
def audit_show(*, places: tuple[str, ...], chart: str | None, as_json: bool) -> int:
    """Show every span of every instance in time order."""
    from garnetlanding.audit import report

    return report.show(places, as_json, chart)


@audit.command("merge", help="Put the audits of many heads into one file: the same for any order of theirs.")
@PLACES
@click.option("--out", metavar="FILE", required=True, help="A span a line, by time.")
@reading_files
def audit_merge(*, places: tuple[str, ...], out: str) -> int:
    """Write every span of every instance to one file."""
    from garnetlanding.audit import report

    return report.merge(places, out)


@audit.command(
    "who",
    help="Ask who acted on what at a time, or on a version. The exit code is 1 where nobody did.",
)
@PLACES
@click.option("--at", "when", metavar="TIME", help="Who acted on what then (2026-12-02T01:30:00Z, or ms).")
@click.option("--version", metavar="COMPONENT=VERSION", help="Who acted on that (settings=5.2, list=41).")
@AS_JSON
@reading_files
def audit_who(*, places: tuple[str, ...], when: str | None, version: str | None, as_json: bool) -> int:
    """Show the spans that cover a time or carry a version; return 1 where there are none."""
    from garnetlanding.audit import report

    if (when is None) == (version is None):
        return print_problem(EXIT_USAGE, "audit: one of --at and --version")
    return report.who(places, when, version, as_json)


@audit.command(
    "lag",
    help="Show how each version spread: who had it first, who left the one before last, and why it was late.",
)
@PLACES
@click.option("--component", default="settings", show_default=True, help="settings, list, bans, heads, code.")
@AS_JSON
@reading_files
def audit_lag(*, places: tuple[str, ...], component: str, as_json: bool) -> int:
    """Show how long each version of a component took to reach every instance."""
    from garnetlanding.audit import report

    return report.lag(places, component, as_json)


@audit.command(
    "verify", help="Check sums, chains and order. The exit code is 1 where something does not fit."
)
@PLACES
@click.option("--head", "heads", metavar="NAME", multiple=True, help="A head that must have files.")
@AS_JSON
@reading_files
def audit_verify(*, places: tuple[str, ...], heads: tuple[str, ...], as_json: bool) -> int:
    """Check every file; return 1 where one is damaged or missing."""
    from garnetlanding.audit import report

    return report.verify(places, heads, as_json)
