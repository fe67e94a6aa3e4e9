"""The modules of the package and their import graph, from their source code."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PACKAGE = "garnetlanding"


def module_files() -> dict[str, Path]:
    """Return the source files by dotted module name, relative to the package."""
    root = ROOT / PACKAGE
    files = {}
    for path in sorted(root.rglob("*.py")):
        name = ".".join(path.relative_to(root).with_suffix("").parts)
        files[name.removesuffix(".__init__")] = path
    return files


MODULES = module_files()


def imports(name: str) -> Iterator[str]:
    """Yield every module of the package that this one imports, also within functions."""
    for node in ast.walk(ast.parse(MODULES[name].read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name.removeprefix(PACKAGE + ".") for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and (node.module or "").split(".")[0] == PACKAGE:
            module = (node.module or "").removeprefix(PACKAGE).removeprefix(".")
            for alias in node.names:
                full = f"{module}.{alias.name}".removeprefix(".")
                yield full if full in MODULES else module


GRAPH = {name: {other for other in imports(name) if other in MODULES and other != name} for name in MODULES}


def reachable(start: str) -> set[str]:
    """Return every module that this one imports, directly or through others."""
    seen: set[str] = set()
    pending = [start]
    while pending:
        for other in GRAPH[pending.pop()] - seen:
            seen.add(other)
            pending.append(other)
    return seen
