"""The command line. Each command imports what it needs when it runs: `serve` pays for nothing else."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from typing import Any

import click

from garnetlanding import __version__

FAILED, WRONG = 1, 2  # exit codes: it could not be done; the call or the configuration is wrong


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def commands() -> None:
    """A head for shared storage nodes: fair queues, exactly one answer a request."""


def configured(command: Callable[..., Any]) -> Callable[..., Any]:
    """The options of every command that reads the configuration."""
    for option in (
        click.option(
            "--log-level",
            default="info",
            show_default=True,
            type=click.Choice(["debug", "info", "warning", "error"]),
            help="Least level logged.",
        ),
        click.option("--operator", metavar="FILE", help="TOML file that turns on 9P and the like."),
        click.option("--config", metavar="FILE", help="JSON file.  [default: $RELAY_CONFIG]"),
    ):
        command = option(command)
    return command


@commands.command()
@configured
def serve(config: str | None, operator: str | None, log_level: str) -> int:
    """Run the head in the foreground. SIGHUP reloads, SIGTERM ends it in an orderly way."""
    from garnetlanding import config as configuration
    from garnetlanding import logs

    logs.set_up(log_level)

    def read() -> configuration.Config:
        return configuration.load(config, operator)

    try:
        settings = read()
    except configuration.ConfigError as problem:
        return _say(WRONG, str(problem))
    from garnetlanding.daemon import Daemon
    from garnetlanding.store.store import StoreFileError

    try:
        return Daemon(settings, read_again=read).run()
    except (OSError, StoreFileError) as problem:
        return _say(FAILED, f"cannot serve: {problem}")


@commands.command("check-config")
@configured
def check_config(config: str | None, operator: str | None, log_level: str) -> int:
    """Read the configuration, name the key that is wrong with it, and end."""
    from garnetlanding import config as configuration
    from garnetlanding import logs

    logs.set_up(log_level)
    try:
        settings = configuration.load(config, operator)
    except configuration.ConfigError as problem:
        return _say(WRONG, str(problem))
    click.echo(f"garnetlanding: configuration of {settings.name!r} is sound")
    return 0


@commands.command()
def version() -> int:
    """Print the version."""
    click.echo(f"garnetlanding {__version__}")
    return 0


@commands.group()
def conform() -> None:
    """Check a server against its protocol, case by case."""


@conform.command("9p")
@click.option("--address", metavar="HOST:PORT", required=True, help="Where the server listens.")
@click.option(
    "--dialect",
    type=click.Choice(["9P2000", "9P2000.L", "both"]),
    default="both",
    show_default=True,
    help="Which to speak.",
)
@click.option("--aname", default="", metavar="NAME", help="The tree to attach; it must be writable.")
@click.option("--uname", default="conform", show_default=True, help="The user to attach as.")
@click.option(
    "--uid",
    default=1000,
    show_default=True,
    type=click.IntRange(0, 0xFFFFFFFE),
    help="The user's number, for 9P2000.L.",
)
@click.option(
    "--msize",
    default=8192,
    show_default=True,
    type=click.IntRange(1024, 1 << 20),
    help="Bytes of the largest message.",
)
@click.option(
    "--wait",
    "wait_s",
    default=5.0,
    show_default=True,
    type=click.FloatRange(0.01, 600.0),
    help="Seconds that one answer may take.",
)
@click.option(
    "--quiet",
    "quiet_s",
    default=0.1,
    show_default=True,
    type=click.FloatRange(0.001, 60.0),
    help="Seconds without anything after which no more is expected.",
)
@click.option("--only", default="", metavar="REGEX", help="Run the cases whose names match.")
@click.option("--list", "list_only", is_flag=True, help="Show the cases and their rules, and run none.")
@click.option("--json", "json_file", metavar="FILE", help="Write the results there ('-': standard output).")
def conform_9p(
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
    """Run the 9P suite against a server, or against a head before one.

    Each case works in a directory of its own at the top of the tree and removes it again. The exit code is
    0 when none failed, 1 when one did or could not be run, 2 when the call is wrong.
    """
    from garnetlanding.conform import report
    from garnetlanding.conform.client import Options

    versions = ("9P2000", "9P2000.L") if dialect == "both" else (dialect,)
    options = [Options(version, aname, uname, uid, msize, wait_s, quiet_s) for version in versions]
    try:
        if list_only:
            return report.list_cases(options, only)
        return report.run(address, options, only, json_file)
    except report.WrongCall as problem:
        return _say(WRONG, str(problem))


OPS = {
    "ready": "Ask whether the head takes clients.",
    "metrics": "Show the head's figures: requests by class and outcome, attempts, bricks.",
    "disable": "Take a brick out: nothing more is sent to it, whatever the list says, until it is put back.",
    "enable": "Put a brick back, however often it was taken out. It comes back cold.",
    "drain": "Send clients away: PING is answered with an error, and connections are closed within 4 s.",
    "resume": "End a drain.",
}


FLEET = {
    "fleet/limits": "Show who has which part of each limited volume, and until when.",
    "fleet/members": "Show the heads: which life of each was heard last, and how long ago.",
    "fleet/verdicts": "Show what is believed of each server, from which heads, and how old it is.",
    "fleet/bans": "Show the servers that an operator of any head has put out or back.",
    "fleet/forget": "Take a head that has stopped for good out of the group: its part becomes the others'. "
    "Not one that may still run: both would use that part.",
    "fleet/shut-out": "Have a head act no more: it refuses at once, sends nothing, until it is let in.",
    "fleet/let-in": "Let a head act again that was shut out.",
}


@commands.group()
def ops() -> None:
    """Call a head that runs, as an operator. The exit code is 0 on a yes, 1 on a no or without an answer."""


def _ops_command(what: str, help_text: str) -> None:
    def run(address: str, wait_s: float, as_json: bool, brick: str = "") -> int:
        from garnetlanding.ops import admin_client

        try:
            reply = admin_client.call(address, what, brick, wait_s)
            click.echo((admin_client.as_json if as_json else admin_client.as_text)(what, reply))
        except admin_client.InstanceUnreachableError as problem:
            return _say(FAILED, str(problem))
        except ValueError as problem:
            return _say(WRONG, str(problem))
        return 0 if reply.yes else FAILED

    command: Callable[..., Any] = run
    if what in ("disable", "enable"):
        command = click.argument("brick")(command)
    if what in ("fleet/forget", "fleet/shut-out", "fleet/let-in"):
        command = click.argument("brick", metavar="HEAD", type=click.IntRange(0, 65535))(command)
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Answer as one JSON object."),
        click.option(
            "--wait",
            "wait_s",
            default=2.0,
            show_default=True,
            type=click.FloatRange(0.01, 600.0),
            help="Seconds that the answer may take; a head owes it within 1.",
        ),
        click.option(
            "--address",
            metavar="HOST:PORT",
            required=True,
            envvar="RELAY_OPS",
            show_envvar=True,
            help="The head's address for operators (`ops` in its configuration).",
        ),
    ):
        command = option(command)
    group, _, name = what.rpartition("/")
    (fleet if group else ops).command(name, help=help_text)(command)


for _what, _help in OPS.items():
    _ops_command(_what, _help)


@ops.group()
def fleet() -> None:
    """What a head knows of the others, where heads hear each other."""


for _what, _help in FLEET.items():
    _ops_command(_what, _help)


@commands.group()
def lab() -> None:
    """Experiments on many processes of the program, with faults between them."""


@lab.command("run")
@click.argument("experiment", type=click.Path())
@click.option(
    "--out",
    metavar="DIR",
    help="Where histories and result go; new or empty.  [default: " "lab-runs/NAME-SEED-TIME]",
)
@click.option("--seed", type=click.IntRange(0), help="In place of the file's.")
@click.option("--json", "as_json", is_flag=True, help="The result as one JSON object.")
def lab_run(experiment: str, out: str | None, seed: int | None, as_json: bool) -> int:
    """Run EXPERIMENT (TOML). The exit code is 0 when every rule held, 1 when one was broken or the run could
    not be carried through, 2 when the file is wrong."""
    from garnetlanding.config.section import ConfigError
    from garnetlanding.lab import report

    try:
        return report.run(experiment, out, seed, as_json)
    except ConfigError as problem:
        return _say(WRONG, str(problem))
    except (OSError, report.LabError) as problem:
        return _say(FAILED, f"lab: {problem}")


@lab.command("compare")
@click.argument("folders", nargs=-1, required=True, type=click.Path(exists=True))
@click.option("--json", "as_json", is_flag=True, help="As one JSON object.")
def lab_compare(folders: tuple[str, ...], as_json: bool) -> int:
    """Put the results of runs side by side."""
    from garnetlanding.lab import report

    try:
        return report.compare(folders, as_json)
    except (OSError, ValueError, report.LabError) as problem:
        return _say(WRONG, f"lab: {problem}")


@lab.command("report")
@click.argument("folder", type=click.Path(exists=True))
@click.option("--charts", is_flag=True, help="Draw answers, latency and parts as PNG beside the histories.")
@click.option("--json", "as_json", is_flag=True, help="As one JSON object.")
def lab_report(folder: str, charts: bool, as_json: bool) -> int:
    """Show one run second by second, and write it as series.csv beside its histories."""
    from garnetlanding.lab import report

    try:
        return report.report(folder, charts, as_json)
    except (OSError, ValueError, report.LabError) as problem:
        return _say(WRONG, f"lab: {problem}")


@commands.group()
def audit() -> None:
    """Read the audits of many heads: files, or folders of them (`[audit]` of their operators' files)."""


PLACES = click.argument("places", nargs=-1, required=True, type=click.Path(exists=True))
AS_JSON = click.option("--json", "as_json", is_flag=True, help="As one JSON object.")


def _audited(command: str, *words: Any) -> int:
    from garnetlanding.audit import report

    try:
        return int(getattr(report, command)(*words))
    except (OSError, ValueError) as problem:
        return _say(WRONG, f"audit: {problem}")


@audit.command("show")
@PLACES
@click.option("--chart", metavar="FILE", help="Draw versions by head over time as PNG.")
@AS_JSON
def audit_show(places: tuple[str, ...], chart: str | None, as_json: bool) -> int:
    """Show which head acted on what, from when to when."""
    return _audited("show", places, as_json, chart)


@audit.command("merge")
@PLACES
@click.option("--out", metavar="FILE", required=True, help="A span a line, by time.")
def audit_merge(places: tuple[str, ...], out: str) -> int:
    """Put the audits of many heads into one file: the same for any order of theirs."""
    return _audited("merge", places, out)


@audit.command("who")
@PLACES
@click.option("--at", "when", metavar="TIME", help="Who acted on what then (2026-12-02T01:30:00Z, or ms).")
@click.option("--version", metavar="COMPONENT=VERSION", help="Who acted on that (settings=5.2, list=41).")
@AS_JSON
def audit_who(places: tuple[str, ...], when: str | None, version: str | None, as_json: bool) -> int:
    """Ask who acted on what at a time, or on a version. The exit code is 1 where nobody did."""
    if (when is None) == (version is None):
        return _say(WRONG, "audit: one of --at and --version")
    return _audited("who", places, when, version, as_json)


@audit.command("lag")
@PLACES
@click.option("--component", default="settings", show_default=True, help="settings, list, bans, heads, code.")
@AS_JSON
def audit_lag(places: tuple[str, ...], component: str, as_json: bool) -> int:
    """Show how each version spread: who had it first, who left the one before last, and why it was late."""
    return _audited("lag", places, component, as_json)


@audit.command("verify")
@PLACES
@click.option("--head", "heads", metavar="NAME", multiple=True, help="A head that must have files.")
@AS_JSON
def audit_verify(places: tuple[str, ...], heads: tuple[str, ...], as_json: bool) -> int:
    """Check sums, chains and order. The exit code is 1 where something does not fit."""
    return _audited("verify", places, heads, as_json)


def _say(code: int, problem: str) -> int:
    click.echo(f"garnetlanding: {problem}", err=True)
    return code


def main(argv: Sequence[str] | None = None) -> int:
    """Runs one command; returns its exit code, also for a call that is wrong (2)."""
    try:
        code = commands.main(
            list(sys.argv[1:] if argv is None else argv), "garnetlanding", standalone_mode=False
        )
    except click.ClickException as problem:
        problem.show()
        return problem.exit_code
    except click.Abort:
        return FAILED
    return code if isinstance(code, int) else 0
