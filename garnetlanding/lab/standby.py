"""A program that is loaded before it is wanted: python -m garnetlanding.lab.standby MODULE [ARGUMENT...].

An interpreter takes seconds to load its modules on a busy machine, and meanwhile an experiment goes on
without the process that it has just started. A standby loads them first and says so on its standard input, a
socket. Told there to start, it runs the module as `python -m` would; at the socket's end it ends without
having run it.
"""

from __future__ import annotations

import importlib
import os
import pkgutil
import runpy
import sys

import garnetlanding

LOADED = b"l"
"""What a standby writes once its modules are loaded."""

START = b"s"
"""What it is told to run its module."""

_STDIN = 0
_COMMAND_MODULE = "garnetlanding.cli.serve"
_NOT_USED_BY_INSTANCES = frozenset({"__main__", "cli", "conform", "emulator", "lab", "wirehost"})


def _load(module: str) -> None:
    """Import what the module will import, which for an instance depends on its configuration."""
    if module != garnetlanding.__name__:
        importlib.import_module(module)
        del sys.modules[module]  # it runs under the name __main__, and its own module is not wanted
        return
    for found in pkgutil.walk_packages(garnetlanding.__path__, f"{module}."):
        if found.name.split(".")[1] not in _NOT_USED_BY_INSTANCES:
            importlib.import_module(found.name)
    importlib.import_module(_COMMAND_MODULE)


def main(arguments: list[str]) -> None:
    """Load the module, wait for the start and run it with the arguments behind its name."""
    module = arguments[0]
    _load(module)
    os.write(_STDIN, LOADED)
    if os.read(_STDIN, len(START)) != START:
        return
    nothing = os.open(os.devnull, os.O_RDONLY)
    os.dup2(nothing, _STDIN)
    os.close(nothing)
    sys.argv[1:] = arguments[1:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main(sys.argv[1:])
