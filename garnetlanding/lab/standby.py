"""Preloads a module and runs it on command: python -m garnetlanding.lab.standby MODULE [ARGUMENT...].

On a busy machine an interpreter takes seconds to import its modules, and an experiment would go on meanwhile
without the process that it has just started. A standby imports them in advance and reports this on its
standard input, a socket. On the start command from there it runs the module as `python -m` would; if the
socket is closed, it exits without running it.
"""

from __future__ import annotations

import importlib
import os
import pkgutil
import runpy
import sys

import garnetlanding

LOADED = b"l"
"""Written by a standby once its modules are loaded."""

START = b"s"
"""The command to run the module."""

_STDIN = 0
_COMMAND_MODULE = "garnetlanding.cli.serve"
_NOT_USED_BY_INSTANCES = frozenset({"__main__", "cli", "conform", "emulator", "lab", "wirehost"})


def _load(module: str) -> None:
    """Import what the module will import; for an instance all that any configuration may need."""
    if module != garnetlanding.__name__:
        importlib.import_module(module)
        del sys.modules[module]  # it will run as __main__, which runpy imports anew
        return
    for found in pkgutil.walk_packages(garnetlanding.__path__, f"{module}."):
        if found.name.split(".")[1] not in _NOT_USED_BY_INSTANCES:
            importlib.import_module(found.name)
    importlib.import_module(_COMMAND_MODULE)


def main(arguments: list[str]) -> None:
    """Load the module, wait for the start command and run the module with the remaining arguments."""
    module = arguments[0]
    _load(module)
    os.write(_STDIN, LOADED)
    if os.read(_STDIN, len(START)) != START:
        return
    null_device = os.open(os.devnull, os.O_RDONLY)
    os.dup2(null_device, _STDIN)
    os.close(null_device)
    sys.argv[1:] = arguments[1:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main(sys.argv[1:])
