"""Cases, how they are run, and what came of them."""

from __future__ import annotations

import re
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import asdict, dataclass
from importlib import import_module

from garnetlanding.conform.client import ROOT, Client, Failure, Options, Unsupported
from garnetlanding.conform.wire import Wire
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep.model import DMDIR

PASS, FAIL, UNSUPPORTED, BROKEN = "pass", "fail", "unsupported", "broken"
BOTH = (p9.VERSION, p9l.VERSION)
MODULES = (
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


@dataclass(frozen=True, slots=True)
class Case:
    name: str
    rule: str  # what is checked, and where it is written
    versions: tuple[str, ...]
    body: Callable[[Client], None]
    bare: bool = False  # it says hello and attaches itself, and has no directory of its own


@dataclass(frozen=True, slots=True)
class Result:
    name: str
    rule: str
    verdict: str
    why: str = ""
    took_s: float = 0.0


CASES: dict[str, Case] = {}


def case(
    rule: str, versions: tuple[str, ...] = BOTH, bare: bool = False
) -> Callable[[Callable[[Client], None]], Callable[[Client], None]]:
    """Names a case after its function; `rule` begins with the page that says so."""

    def register(body: Callable[[Client], None]) -> Callable[[Client], None]:
        name = body.__name__.strip("_").replace("_", "-")
        if name in CASES:
            raise ValueError(f"two cases are named {name}")
        CASES[name] = Case(name, rule, versions, body, bare)
        return body

    return register


plain = (p9.VERSION,)
linux = (p9l.VERSION,)


def cases(version: str, pattern: str = "") -> list[Case]:
    """Those of a dialect whose names match. Raises re.error for a pattern that is none."""
    for module in MODULES:
        import_module(f"garnetlanding.conform.cases.{module}")
    wanted = re.compile(pattern)
    return [c for c in CASES.values() if version in c.versions and wanted.search(c.name)]


def run(
    chosen: Iterable[Case],
    dial: Callable[[], Wire],
    options: Options,
    label: str = "conform",
    clock: Callable[[], float] = time.monotonic,
) -> Iterator[Result]:
    """Each on a connection and in a directory of its own, which it leaves as it found it if it can."""
    for at, one in enumerate(chosen):
        began = clock()
        verdict, why = _run(one, dial, options, f"{label}-{at}")
        yield Result(one.name, one.rule, verdict, why, clock() - began)


def _run(one: Case, dial: Callable[[], Wire], options: Options, scratch: str) -> tuple[str, str]:
    try:
        client = Client(dial, options)
    except OSError as problem:
        return BROKEN, f"cannot connect: {problem}"
    try:
        if not one.bare:
            _prepare(client, scratch)
    except (Failure, Unsupported) as problem:
        client.close()
        return BROKEN, f"no directory to work in: {problem}"
    try:
        one.body(client)
        return PASS, ""
    except Failure as failure:
        return FAIL, str(failure)
    except Unsupported as reason:
        return UNSUPPORTED, str(reason)
    finally:
        client.close()
        if not one.bare:
            _clean(dial, options, scratch)


def _prepare(client: Client, scratch: str) -> None:
    client.hello()
    client.attach()
    client.scratch = scratch
    if client.linux:
        client.must(p9l.Rmkdir, p9l.Tmkdir(ROOT, scratch, 0o755, p9l.NOGID))
    else:
        fid = client.new_fid()
        client.must(p9.Rwalk, p9.Twalk(ROOT, fid, ()))
        client.must(p9.Rcreate, p9.Tcreate(fid, scratch, DMDIR | 0o755, p9.OREAD))
        client.clunk(fid)


def _clean(dial: Callable[[], Wire], options: Options, scratch: str) -> None:
    """As far as it goes: what is left of a failed case harms no other."""
    try:
        client = Client(dial, options)
        try:
            client.hello()
            client.attach()
            client.scratch = scratch
            _empty(client)
        finally:
            client.close()
    except (Failure, Unsupported, OSError):
        pass


def _empty(client: Client, *below: str) -> None:
    fid = client.at(*below)
    if client.facts(fid).is_dir:
        client.set_perm(fid, 0o755)
        opened = client.at(*below)
        client.open(opened)
        for name, _ in client.listing(opened):
            _empty(client, *below, name)
        client.clunk(opened)
    client.remove(fid)


def as_json(results: list[Result], options: Options, target: str) -> dict[str, object]:
    counts = {
        verdict: sum(r.verdict == verdict for r in results) for verdict in (PASS, FAIL, UNSUPPORTED, BROKEN)
    }
    return {
        "target": target,
        "options": asdict(options),
        "counts": counts,
        "results": [asdict(r) for r in results],
    }
