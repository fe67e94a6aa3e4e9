"""The root of all commands, with what they share: exit codes, error output, groups of options."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import click

FAILED = 1  # exit code: it could not be done
WRONG = 2  # exit code: the call or the configuration is wrong

Decorator = Callable[[Callable[..., Any]], Callable[..., Any]]


@click.group(
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
