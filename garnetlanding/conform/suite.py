"""Runs cases against a server, each on its own connection and in its own scratch directory."""

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
    """The outcome of a case; the values appear in the JSON report and in the table."""

    PASS = "pass"
    FAIL = "fail"
    UNSUPPORTED = "unsupported"  # the server reports that it lacks an optional operation
    ERROR = "broken"  # the case could not run: no connection, no session or no scratch directory


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one case. `reason` is empty for a pass; `duration_s` includes setup and cleanup."""

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

    Each case uses a directory named after `label` and its position, which is removed afterwards if the
    server allows it. `clock` returns seconds.
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
    except OSError as error:
        return Outcome.ERROR, f"cannot connect: {error}"
    if case.without_session:
        return _run_body(case, client)
    try:
        _set_up(client, scratch_directory)
    except ConformanceError as error:
        client.close()
        return Outcome.ERROR, f"cannot create the scratch directory: {error}"
    try:
        return _run_body(case, client)
    finally:
        _remove_scratch_directory(connect, options, scratch_directory)


def _run_body(case: Case, client: Client) -> tuple[Outcome, str]:
    """Run the function of the case and close the client."""
    try:
        case.body(client)
    except CaseFailedError as failure:
        return Outcome.FAIL, str(failure)
    except UnsupportedError as reason:
        return Outcome.UNSUPPORTED, str(reason)
    finally:
        client.close()
    return Outcome.PASS, ""


def _set_up(client: Client, scratch_directory: str) -> None:
    """Start a session and create the scratch directory in the root of the tree."""
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
    """Remove the scratch directory if possible; files left behind do not affect other cases."""
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
        pass  # the remaining files stay
    finally:
        client.close()


def _remove_tree(client: Client, *path: str) -> None:
    """Remove the file or directory at the path recursively; an empty path is the scratch directory."""
    fid = client.walk_to(*path)
    if client.attributes(fid).is_dir:
        client.set_permissions(fid, SCRATCH_PERMISSIONS)
        open_fid = client.walk_to(*path)
        client.open(open_fid)
        for name, _ in client.list_directory(open_fid):
            _remove_tree(client, *path, name)
        client.clunk(open_fid)
    client.remove(fid)
