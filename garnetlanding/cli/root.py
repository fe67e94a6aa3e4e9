"""The root command, and what all commands share: exit codes, error output, groups of options."""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from typing import Any

import click

EXIT_FAILURE = 1  # the command failed
EXIT_USAGE = 2  # wrong usage, or an invalid configuration

# The module of this package that defines each command. Only the module of the command that runs is imported,
# so that `serve` does not keep other commands' options in memory.
COMMAND_MODULES = {
    "audit": "audit",
    "check-config": "serve",
    "conform": "conform",
    "lab": "lab",
    "ops": "admin",
    "serve": "serve",
    "version": "serve",
}

Decorator = Callable[[Callable[..., Any]], Callable[..., Any]]


class LazyCommands(click.Group):
    """A group that imports a command's module when the command is looked up."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands in alphabetical order, which the help also uses."""
        return sorted({*COMMAND_MODULES, *super().list_commands(ctx)})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command of this name, or `None` if there is none."""
        if cmd_name in COMMAND_MODULES:
            modules = {COMMAND_MODULES[cmd_name]}
        else:
            modules = set(COMMAND_MODULES.values())  # so that click can suggest similar names
        for module in modules:
            import_module(f"{__package__}.{module}")
        return super().get_command(ctx, cmd_name)


@click.group(
    cls=LazyCommands,
    context_settings={"help_option_names": ["-h", "--help"]},
    help="A head for shared storage nodes: fair queues, exactly one answer a request.",
)
def commands() -> None:
    """Group all commands."""


def with_options(*options: Decorator) -> Decorator:
    """Combine options into one decorator; the help shows them in the order given."""

    def decorate(command: Callable[..., Any]) -> Callable[..., Any]:
        for option in reversed(options):
            command = option(command)
        return command

    return decorate


def print_error(code: int, error: object) -> int:
    """Print an error on standard error and return `code`, for the command to return."""
    click.echo(f"garnetlanding: {error}", err=True)
    return code
