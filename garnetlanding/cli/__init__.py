"""The command line. Each command imports what it needs when it runs: `serve` pays for nothing else.

Each module of this package holds the commands of one group; the root imports it when one is called. The
command's help is what operators read, so it keeps the words of their pages.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

import click

from garnetlanding.cli.root import FAILED, commands

__all__ = ["commands", "main"]


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code, also for a call that is wrong (2)."""
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
