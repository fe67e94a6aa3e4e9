"""Reports from the audit files of many instances: `audit show`, `merge`, `who`, `lag` and `verify`."""

from __future__ import annotations

from collections.abc import Callable
from functools import wraps
from typing import ParamSpec

import click

from garnetlanding.cli.root import EXIT_USAGE, commands, print_error

AUDIT_PATHS_ARGUMENT = click.argument(
    "paths", metavar="PLACES...", nargs=-1, required=True, type=click.Path(exists=True)
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="As one JSON object.")
Parameters = ParamSpec("Parameters")


@commands.group(
    help="Read the audits of many heads: files, or folders of them (`[audit]` of their operators' files)."
)
def audit() -> None:
    """Group the commands that read audits."""


def with_file_errors(command: Callable[Parameters, int]) -> Callable[Parameters, int]:
    """Make a command report an unreadable file or an invalid value on standard error, with exit code 2."""

    @wraps(command)
    def run(*args: Parameters.args, **kwargs: Parameters.kwargs) -> int:
        try:
            return command(*args, **kwargs)
        except (OSError, ValueError) as error:
            return print_error(EXIT_USAGE, f"audit: {error}")

    return run


@audit.command("show", help="Show which head acted on what, from when to when.")
@AUDIT_PATHS_ARGUMENT
@click.option("--chart", metavar="FILE", help="Draw versions by head over time as PNG.")
@JSON_OPTION
@with_file_errors
def audit_show(*, paths: tuple[str, ...], chart: str | None, as_json: bool) -> int:
    """Print every span of every instance in time order."""
    from garnetlanding.audit import report

    return report.show(paths, as_json, chart)


@audit.command("merge", help="Put the audits of many heads into one file: the same for any order of theirs.")
@AUDIT_PATHS_ARGUMENT
@click.option("--out", metavar="FILE", required=True, help="A span a line, by time.")
@with_file_errors
def audit_merge(*, paths: tuple[str, ...], out: str) -> int:
    """Write every span of every instance to one file."""
    from garnetlanding.audit import report

    return report.merge(paths, out)


@audit.command(
    "who",
    help="Ask who acted on what at a time, or on a version. The exit code is 1 where nobody did.",
)
@AUDIT_PATHS_ARGUMENT
@click.option("--at", "when", metavar="TIME", help="Who acted on what then (2026-12-02T01:30:00Z, or ms).")
@click.option("--version", metavar="COMPONENT=VERSION", help="Who acted on that (settings=5.2, list=41).")
@JSON_OPTION
@with_file_errors
def audit_who(*, paths: tuple[str, ...], when: str | None, version: str | None, as_json: bool) -> int:
    """Print the spans that include a time or a version; return 1 if there are none."""
    from garnetlanding.audit import report

    if (when is None) == (version is None):
        return print_error(EXIT_USAGE, "audit: one of --at and --version")
    return report.who(paths, when, version, as_json)


@audit.command(
    "lag",
    help="Show how each version spread: who had it first, who left the one before last, and why it was late.",
)
@AUDIT_PATHS_ARGUMENT
@click.option("--component", default="settings", show_default=True, help="settings, list, bans, heads, code.")
@JSON_OPTION
@with_file_errors
def audit_lag(*, paths: tuple[str, ...], component: str, as_json: bool) -> int:
    """Print how long each version of a component took to reach every instance."""
    from garnetlanding.audit import report

    return report.lag(paths, component, as_json)


@audit.command(
    "verify", help="Check sums, chains and order. The exit code is 1 where something does not fit."
)
@AUDIT_PATHS_ARGUMENT
@click.option("--head", "heads", metavar="NAME", multiple=True, help="A head that must have files.")
@JSON_OPTION
@with_file_errors
def audit_verify(*, paths: tuple[str, ...], heads: tuple[str, ...], as_json: bool) -> int:
    """Check every file; return 1 if one is damaged or missing."""
    from garnetlanding.audit import report

    return report.verify(paths, heads, as_json)
