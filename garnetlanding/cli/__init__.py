"""The command line. Each command imports its modules when it runs, so that `serve` loads nothing else.

Each module of this package defines the commands of one group; the root imports the module when one of them is
called. Help texts use the operators' terms: a `head` is an instance, a `brick` is a backend.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

import click

from garnetlanding.cli.root import EXIT_FAILURE, commands

__all__ = ["commands", "main"]


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code, which is 2 for wrong usage."""
    try:
        code = commands.main(
            list(sys.argv[1:] if argv is None else argv), "garnetlanding", standalone_mode=False
        )
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return EXIT_FAILURE
    return code if isinstance(code, int) else 0
