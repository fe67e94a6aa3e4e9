"""The root of all commands, with what they share: exit codes, error output, groups of options."""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from typing import Any

import click

FAILED = 1  # exit code: it could not be done
WRONG = 2  # exit code: the call or the configuration is wrong

# Which module of this package registers a command. Only the module of the command that runs is imported, so
# that `serve` holds no other command's options in memory.
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
    """A group that imports the module of a command when the command is looked up."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, in the order in which the help shows them."""
        return sorted({*COMMAND_MODULES, *super().list_commands(ctx)})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command by its name; `None` where there is none."""
        if cmd_name in COMMAND_MODULES:
            modules = {COMMAND_MODULES[cmd_name]}
        else:
            modules = set(COMMAND_MODULES.values())  # click suggests the name that was meant
        for module in modules:
            import_module(f"{__package__}.{module}")
        return super().get_command(ctx, cmd_name)


@click.group(
    cls=LazyCommands,
    context_settings={"help_option_names": ["-h", "--help"]},
    help="A head for shared storage nodes: fair queues, exactly one answer a request.",
)
def commands() -> None:
    """Hold every command and group of commands."""


def with_options(*options: Decorator) -> Decorator:
    """Return one decorator in place of several options, listed in the order in which the help shows them."""

    def decorate(command: Callable[..., Any]) -> Callable[..., Any]:
        for option in reversed(options):
            command = option(command)
        return command

    return decorate


def print_problem(code: int, problem: object) -> int:
    """Print a problem on standard error; return the exit code, for the command to end with."""
    click.echo(f"garnetlanding: {problem}", err=True)
    return code
