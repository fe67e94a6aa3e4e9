"""Runs cases against a server, each on a connection and in a scratch directory of its own."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from garnetlanding.conform.client import ROOT, Client
from garnetlanding.conform.connection import Options
from garnetlanding.conform.errors import CaseFailedError, ConformanceError, UnsupportedError
from garnetlanding.conform.registry import Case
from garnetlanding.conform.transport import Transport
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep.model import DMDIR

SCRATCH_PERMISSIONS = 0o755


class Outcome(Enum):
    """What became of a case; the values are those of the JSON report and the table."""

    PASS = "pass"
    FAIL = "fail"
    UNSUPPORTED = "unsupported"  # the server states that it lacks an optional operation
    BROKEN = "broken"  # the case could not be run: no connection, or no scratch directory


@dataclass(frozen=True, slots=True)
class Result:
    """The outcome of one case. `reason` is empty for a pass; `duration_s` covers preparation and cleaning."""

    name: str
    rule: str
    outcome: Outcome
    reason: str = ""
    duration_s: float = 0.0


def run(
    cases: Iterable[Case],
    connect: Callable[[], Transport],
    options: Options,
    label: str = "conform",
    clock: Callable[[], float] = time.monotonic,
) -> Iterator[Result]:
    """Run the cases in order and yield the result of each.

    Each works in a directory named after `label` and its position, which is removed again as far as the
    server lets it. `clock` returns seconds.
    """
    for position, case in enumerate(cases):
        started_at = clock()
        outcome, reason = _run_case(case, connect, options, f"{label}-{position}")
        yield Result(case.name, case.rule, outcome, reason, clock() - started_at)


def _run_case(
    case: Case, connect: Callable[[], Transport], options: Options, scratch_directory: str
) -> tuple[Outcome, str]:
    try:
        client = Client(connect, options)
    except OSError as problem:
        return Outcome.BROKEN, f"cannot connect: {problem}"
    if case.without_session:
        return _run_body(case, client)
    try:
        _prepare(client, scratch_directory)
    except ConformanceError as problem:
        client.close()
        return Outcome.BROKEN, f"no directory to work in: {problem}"
    try:
        return _run_body(case, client)
    finally:
        _remove_scratch_directory(connect, options, scratch_directory)


def _run_body(case: Case, client: Client) -> tuple[Outcome, str]:
    """Run the case's function, which is done with the client then."""
    try:
        case.body(client)
    except CaseFailedError as failure:
        return Outcome.FAIL, str(failure)
    except UnsupportedError as reason:
        return Outcome.UNSUPPORTED, str(reason)
    finally:
        client.close()
    return Outcome.PASS, ""


def _prepare(client: Client, scratch_directory: str) -> None:
    """Begin a session and create the scratch directory at the top of the tree."""
    client.negotiate()
    client.attach()
    client.scratch_directory = scratch_directory
    if client.linux:
        message = p9l.Tmkdir(ROOT, scratch_directory, SCRATCH_PERMISSIONS, p9l.NOGID)
        client.call(p9l.Rmkdir, message)
        return
    fid = client.new_fid()
    client.call(p9.Rwalk, p9.Twalk(ROOT, fid, ()))
    client.call(p9.Rcreate, p9.Tcreate(fid, scratch_directory, DMDIR | SCRATCH_PERMISSIONS, p9.OREAD))
    client.clunk(fid)


def _remove_scratch_directory(
    connect: Callable[[], Transport], options: Options, scratch_directory: str
) -> None:
    """Remove what the case left, as far as possible: leftovers of a failed case harm no other case."""
    try:
        client = Client(connect, options)
    except OSError:
        return
    try:
        client.negotiate()
        client.attach()
        client.scratch_directory = scratch_directory
        _remove_tree(client)
    except (ConformanceError, OSError):
        pass  # what is left stays
    finally:
        client.close()


def _remove_tree(client: Client, *path: str) -> None:
    """Remove the file or directory at the path with everything below; by default the scratch directory."""
    fid = client.walk_to(*path)
    if client.attributes(fid).is_dir:
        client.set_permissions(fid, SCRATCH_PERMISSIONS)
        opened = client.walk_to(*path)
        client.open(opened)
        for name, _ in client.list_directory(opened):
            _remove_tree(client, *path, name)
        client.clunk(opened)
    client.remove(fid)
