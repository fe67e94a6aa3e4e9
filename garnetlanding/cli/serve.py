"""The commands `serve` and `check-config`, which need a configuration, and `version`."""

from __future__ import annotations

import click

from garnetlanding import __version__
from garnetlanding.cli.root import EXIT_FAILURE, EXIT_USAGE, commands, print_error, with_options

config_options = with_options(
    click.option("--config", metavar="FILE", help="JSON file.  [default: $RELAY_CONFIG]"),
    click.option("--operator", metavar="FILE", help="TOML file that turns on 9P and the like."),
    click.option(
        "--log-level",
        default="info",
        show_default=True,
        type=click.Choice(["debug", "info", "warning", "error"]),
        help="Least level logged.",
    ),
)


@commands.command(help="Run the head in the foreground. SIGHUP reloads, SIGTERM ends it in an orderly way.")
@config_options
def serve(config: str | None, operator: str | None, log_level: str) -> int:
    """Run one instance until SIGTERM; return its exit code."""
    from garnetlanding import config as configuration
    from garnetlanding import logs

    logs.set_up(log_level)

    def read() -> configuration.Config:
        return configuration.load(config, operator)

    try:
        settings = read()
    except configuration.ConfigError as error:
        return print_error(EXIT_USAGE, error)
    from garnetlanding.daemon import Daemon
    from garnetlanding.store.errors import StoreFileError

    try:
        return Daemon(settings, load_config=read).run()
    except (OSError, StoreFileError) as error:
        return print_error(EXIT_FAILURE, f"cannot serve: {error}")


@commands.command("check-config", help="Read the configuration, name the key that is wrong with it, and end.")
@config_options
def check_config(config: str | None, operator: str | None, log_level: str) -> int:
    """Check a configuration without serving; return 2 for an invalid one."""
    from garnetlanding import config as configuration
    from garnetlanding import logs

    logs.set_up(log_level)
    try:
        settings = configuration.load(config, operator)
    except configuration.ConfigError as error:
        return print_error(EXIT_USAGE, error)
    click.echo(f"garnetlanding: configuration of {settings.name!r} is sound")
    return 0


@commands.command(help="Print the version.")
def version() -> int:
    """Print the program's version."""
    click.echo(f"garnetlanding {__version__}")
    return 0
