"""The cases by name, as the modules of `cases` register them, and their choice by dialect and pattern."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from importlib import import_module

from garnetlanding.conform.client import Client
from garnetlanding.conform.errors import DuplicateCaseError
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l

BOTH_DIALECTS = (p9.VERSION, p9l.VERSION)
PLAIN_ONLY = (p9.VERSION,)
LINUX_ONLY = (p9l.VERSION,)
MODULES = (  # in the order in which their cases run
    "framing",
    "sessions",
    "walks",
    "opens",
    "data",
    "creates",
    "removes",
    "flushes",
    "stats",
    "directories",
    "linux_attributes",
    "linux_names",
    "linux_locks",
)

CaseBody = Callable[[Client], None]


@dataclass(frozen=True, slots=True)
class Case:
    """One case: its name in the results, what it checks, and the function that does so.

    `rule` begins with the manual page or the message whose description is checked. The body raises
    CaseFailedError when the server breaks the rule, and UnsupportedError when it need not keep it. A case
    `without_session` negotiates and attaches itself and has no scratch directory.
    """

    name: str
    rule: str
    versions: tuple[str, ...]
    body: CaseBody
    without_session: bool = False


CASES: dict[str, Case] = {}


def case(
    rule: str, versions: tuple[str, ...] = BOTH_DIALECTS, without_session: bool = False
) -> Callable[[CaseBody], CaseBody]:
    """Return a decorator that registers a function as a case.

    The function's name, with dashes, is the case's name in the results and on the command line: renaming
    the function renames the case for its users. Raises DuplicateCaseError.
    """

    def register(body: CaseBody) -> CaseBody:
        name = body.__name__.strip("_").replace("_", "-")
        if name in CASES:
            raise DuplicateCaseError(name)
        CASES[name] = Case(name, rule, versions, body, without_session)
        return body

    return register


def select_cases(version: str, pattern: str = "") -> list[Case]:
    """Return a dialect's cases whose names match. Raises re.error for an invalid pattern."""
    for module in MODULES:
        import_module(f"garnetlanding.conform.cases.{module}")
    wanted = re.compile(pattern)
    return [case for case in CASES.values() if version in case.versions and wanted.search(case.name)]
