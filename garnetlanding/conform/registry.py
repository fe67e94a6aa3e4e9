"""Registry of the cases that the modules of `cases` define, and their selection by dialect and name."""

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
    """A case: its name in the results, the rule that it checks and the function that checks it.

    `rule` begins with the manual page or message that specifies it. `body` raises CaseFailedError if the
    server breaks the rule, and UnsupportedError if the server lacks the optional operation. A case
    `without_session` starts on a bare connection: it negotiates and attaches itself, and it has no scratch
    directory.
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

    The case is named after the function, with dashes for underscores, in the results and on the command
    line, so renaming the function renames the case for its users. Raises DuplicateCaseError.
    """

    def register(body: CaseBody) -> CaseBody:
        name = body.__name__.strip("_").replace("_", "-")
        if name in CASES:
            raise DuplicateCaseError(name)
        CASES[name] = Case(name, rule, versions, body, without_session)
        return body

    return register


def select_cases(version: str, pattern: str = "") -> list[Case]:
    """Return the cases of the dialect whose names match. Raises re.error for an invalid pattern."""
    for module in MODULES:
        import_module(f"garnetlanding.conform.cases.{module}")
    name_pattern = re.compile(pattern)
    return [case for case in CASES.values() if version in case.versions and name_pattern.search(case.name)]
