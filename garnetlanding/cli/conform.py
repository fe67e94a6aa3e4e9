"""The conformance suites: `conform 9p`."""

from __future__ import annotations

import click

from garnetlanding.cli.root import EXIT_USAGE, commands, print_error, with_options

DIALECTS = ("9P2000", "9P2000.L")

CONFORM_9P_HELP = """Run the 9P suite against a server, or against a head before one.

Each case works in a directory of its own at the top of the tree and removes it again. The exit code is
0 when none failed, 1 when one did or could not be run, 2 when the call is wrong.
"""


@commands.group(help="Check a server against its protocol, case by case.")
def conform() -> None:
    """Group the commands that run conformance suites."""


attach_options = with_options(
    click.option("--address", metavar="HOST:PORT", required=True, help="Where the server listens."),
    click.option(
        "--dialect",
        type=click.Choice([*DIALECTS, "both"]),
        default="both",
        show_default=True,
        help="Which to speak.",
    ),
    click.option("--aname", default="", metavar="NAME", help="The tree to attach; it must be writable."),
    click.option("--uname", default="conform", show_default=True, help="The user to attach as."),
    click.option(
        "--uid",
        default=1000,
        show_default=True,
        type=click.IntRange(0, 0xFFFFFFFE),
        help="The user's number, for 9P2000.L.",
    ),
)
timing_options = with_options(
    click.option(
        "--msize",
        default=8192,
        show_default=True,
        type=click.IntRange(1024, 1 << 20),
        help="Bytes of the largest message.",
    ),
    click.option(
        "--wait",
        "wait_s",
        default=5.0,
        show_default=True,
        type=click.FloatRange(0.01, 600.0),
        help="Seconds that one answer may take.",
    ),
    click.option(
        "--quiet",
        "quiet_s",
        default=0.1,
        show_default=True,
        type=click.FloatRange(0.001, 60.0),
        help="Seconds without anything after which no more is expected.",
    ),
)
case_options = with_options(
    click.option("--only", default="", metavar="REGEX", help="Run the cases whose names match."),
    click.option("--list", "list_only", is_flag=True, help="Show the cases and their rules, and run none."),
    click.option(
        "--json", "json_file", metavar="FILE", help="Write the results there ('-': standard output)."
    ),
)


@conform.command("9p", help=CONFORM_9P_HELP)
@attach_options
@timing_options
@case_options
def conform_9p(  # noqa: PLR0913 - one parameter for each command-line option
    *,
    address: str,
    dialect: str,
    aname: str,
    uname: str,
    uid: int,
    msize: int,
    wait_s: float,
    quiet_s: float,
    only: str,
    list_only: bool,
    json_file: str | None,
) -> int:
    """Run or list the cases; return 0 if none failed, 1 if one did, and 2 for wrong usage."""
    from garnetlanding.conform import report
    from garnetlanding.conform.connection import Options
    from garnetlanding.conform.errors import UsageError

    versions = DIALECTS if dialect == "both" else (dialect,)
    options = [Options(version, aname, uname, uid, msize, wait_s, quiet_s) for version in versions]
    try:
        if list_only:
            return report.list_cases(options, only)
        return report.run(address, options, only, json_file)
    except UsageError as error:
        return print_error(EXIT_USAGE, error)
