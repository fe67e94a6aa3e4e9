"""The command line."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from garnetlanding import __version__, config, logs
from garnetlanding.store.file import FileError


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="garnetlanding", description="A head for shared storage nodes.")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name, text in (("serve", "run the head in the foreground"),
                       ("check-config", "read the configuration, say what is wrong with it, and end")):
        command = commands.add_parser(name, help=text)
        command.add_argument("--config", metavar="FILE", help="JSON file (default: $RELAY_CONFIG)")
        command.add_argument("--operator", metavar="FILE", help="TOML file that sets up 9P and the like")
        command.add_argument("--log-level", default="info", choices=["debug", "info", "warning", "error"])
    commands.add_parser("version", help="print the version")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    args = _parser().parse_args(argv)
    if args.command == "version":
        print(f"garnetlanding {__version__}")
        return 0
    logs.set_up(args.log_level)

    def read() -> config.Config:
        return config.load(args.config, args.operator)

    try:
        settings = read()
    except config.ConfigError as problem:
        print(f"garnetlanding: {problem}", file=sys.stderr)
        return 2
    if args.command == "check-config":
        print(f"garnetlanding: configuration of {settings.name!r} is sound")
        return 0
    from garnetlanding.daemon import Daemon  # not needed, and not paid for, by the other commands

    try:
        return Daemon(settings, read_again=read).run()
    except (OSError, FileError) as problem:
        print(f"garnetlanding: cannot serve: {problem}", file=sys.stderr)
        return 1
