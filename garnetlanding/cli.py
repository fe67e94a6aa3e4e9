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
        click.option("--log-level", default="info", show_default=True,
                     type=click.Choice(["debug", "info", "warning", "error"]), help="Least level logged."),
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
    from garnetlanding.store.store import FileError

    try:
        return Daemon(settings, read_again=read).run()
    except (OSError, FileError) as problem:
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


def _say(code: int, problem: str) -> int:
    click.echo(f"garnetlanding: {problem}", err=True)
    return code


def main(argv: Sequence[str] | None = None) -> int:
    """Runs one command; returns its exit code, also for a call that is wrong (2)."""
    try:
        code = commands.main(list(sys.argv[1:] if argv is None else argv), "garnetlanding",
                             standalone_mode=False)
    except click.ClickException as problem:
        problem.show()
        return problem.exit_code
    except click.Abort:
        return FAILED
    return code if isinstance(code, int) else 0
