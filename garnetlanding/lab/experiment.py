"""An experiment's file (TOML), read and checked whole before anything is started."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from typing import Any

from garnetlanding.choices import setup as choices_setup
from garnetlanding.config.section import ConfigError, Section
from garnetlanding.lab.limits import LIMITS, SECOND

PROCESS_FAULTS = ("kill", "stop", "term")  # until: started again, gone on, started again
# A head that starts only then; under another head's number; that ends then (SIGTERM) for good.
COMINGS = ("join", "twin", "leave")
CLOCKS = ("clock",)  # a running head's wall clock steps to `wall_s` beside the machine's
UPGRADES = ("upgrade",)  # a second process of the head; until: the first gets the signal that `how` names
# SIGHUP at one time; move: with another discovery in the head's file; settings: with another `weight`.
RELOADS = ("reload", "move", "settings")
LINK_FAULTS = ("cut", "loss", "delay", "double", "reorder", "flood")  # of datagrams from head to head
# Takes work and answers nothing; refuses connections; the same, and comes back cold, as the list then tells.
BRICK_FAULTS = ("silent", "down", "restart")
# Of an operator at one head, at one time; the last two are about another head (`head`).
CALLS = ("disable", "enable", "drain", "resume", "shut-out", "let-in")
STREAM_FAULTS = ("lag", "trickle", "freeze", "reset")  # of connections: late, in drops, held up, torn down
# A head's connections to a brick, to its discovery, from clients, to the store's writer.
LINKS = ("brick", "discovery", "client", "store")
LIES = ("lie",)  # one head's words, as `how` says
LIED = ("dead", "well", "greedy")  # every brick is dead; all is well; it wants all of every limit


@dataclass(frozen=True, slots=True)
class Fault:
    """From `at_us` to `until_us` after the clients begin."""

    kind: str
    at_us: int
    until_us: int
    who: int = -1  # of a process or a brick
    brick: int = -1  # that an operator's call is about; or a head's number
    link: str = ""  # of a fault of connections
    how: str = ""  # the first process of an upgrade ends: term, kill or stop; what a lie is about
    wall_s: int = 0  # a head that starts again has its wall clock wrong by so much
    alias: int = -1  # the number under which a twin starts
    newer: bool = False  # an operator's call goes to the second process of an upgrade
    sender: int = -1  # of a link; -1: every head
    receiver: int = -1
    share: float = 1.0  # of the datagrams that it strikes
    weight: float = 1.0  # of the plan, in other settings
    span_us: int = 0  # a delay, and how far apart the copies of a doubled one are

    def strikes(self, sender: int, receiver: int, now: int) -> bool:
        return (
            self.at_us <= now < self.until_us
            and self.sender in (-1, sender)
            and self.receiver in (-1, receiver)
        )


@dataclass(frozen=True, slots=True)
class Load:
    """What clients ask for: open loop, drawn from the experiment's seed."""

    volumes: int = 4
    rate: float = 60.0  # requests a second, over all volumes
    units: int = 2  # of each request
    hosts: int = 2  # heads that a volume's requests come through
    lead: float = 1.0  # share of them that comes through its busiest head
    shift_us: int = 0  # so often another head becomes the busiest; 0: never
    wait_us: int = 1_500_000  # a client's patience


@dataclass(frozen=True, slots=True)
class Experiment:
    name: str
    seed: int
    heads: int
    bricks: int
    length_us: int
    load: Load
    settings: dict[str, Any] = field(default_factory=dict)  # above those of lab/heads.py, key by key
    faults: tuple[Fault, ...] = ()
    fleet: bool = True  # heads tell each other of servers and of bans
    group: int = 0  # heads find each other from the first so many; 0: each is told all of them
    budgets: bool = False  # what all heads share moves by leases
    server_connections: int = 0  # at one brick, of all heads; 0: each head for itself
    choices: dict[str, Any] = field(default_factory=dict)  # the operator's section
    audit: bool = False  # heads record what they act on; compared with their histories
    current_s: float = 0.0  # a follower of the store that can't show that it is so current does not act
    store: bool = False  # settings come from n0, the writer of a store that the others follow


def _head(section: Section, key: str, heads: int) -> int:
    """A head by its name (`n0`), or every one (`*`)."""
    text = section.text(key, "*")
    if text == "*":
        return -1
    if text[:1] != "n" or not text[1:].isdigit() or int(text[1:]) >= heads:
        raise section.error(key, f"{text!r:.40} is none of n0 to n{heads - 1}, nor *")
    return int(text[1:])


def _fault(section: Section, heads: int, bricks: int, length_us: int) -> Fault:
    kind = section.one_of(
        "kind",
        PROCESS_FAULTS
        + LINK_FAULTS
        + BRICK_FAULTS
        + CALLS
        + LIES
        + UPGRADES
        + RELOADS
        + STREAM_FAULTS
        + COMINGS
        + CLOCKS,
    )
    at_us = int(section.number("at_s", 0, most=length_us / SECOND) * SECOND)
    until_us = int(section.number("until_s", 0, length_us / SECOND) * SECOND)
    if kind in CALLS + RELOADS + COMINGS + CLOCKS and section.has("until_s"):
        raise section.error("until_s", f"{kind} has one time, at_s")
    if until_us <= at_us:
        raise section.error("until_s", "not after at_s")
    who = sender = receiver = brick = -1
    link = ""
    hows = LIED if kind in LIES else PROCESS_FAULTS
    how = section.one_of("how", hows) if section.has("how") else "dead" if kind in LIES else "term"
    wall_s = int(section.number("wall_s", -1e9, 0, 1e9))
    newer = section.raw("newer") or False
    if not isinstance(newer, bool):
        raise section.error("newer", "expected true or false")
    if kind in PROCESS_FAULTS + CALLS + LIES + UPGRADES + RELOADS + COMINGS + CLOCKS:
        who = _head(section, "who", heads)
        if who < 0:
            raise section.error("who", "which head?")
        if kind in ("disable", "enable"):
            brick = int(section.number("brick", 0, most=bricks - 1))
        if kind in ("shut-out", "let-in"):
            brick = _head(section, "head", heads)
    elif kind in STREAM_FAULTS:
        link, who = section.one_of("link", LINKS), _head(section, "who", heads)
        if section.has("brick"):
            brick = int(section.number("brick", 0, most=bricks - 1))
    elif kind in BRICK_FAULTS:
        who = int(section.number("brick", 0, most=bricks - 1))
    else:
        sender, receiver = _head(section, "from", heads), _head(section, "to", heads)
    alias = _head(section, "as", heads) if kind == "twin" else -1
    return Fault(
        kind,
        at_us,
        until_us,
        who,
        brick,
        link,
        how,
        wall_s,
        alias,
        newer,
        sender,
        receiver,
        section.number("share", 0, 1.0, 1.0),
        section.number("weight", 0.01, 1.0, 100.0),
        int(section.number("span_ms", 0, 0, 60_000) * 1000),
    )


def read(data: object) -> Experiment:
    """Raises ConfigError, which names the key."""
    top = Section(
        data,
        "",
        "name seed heads bricks length_s load settings fault fleet group budgets "
        "server_connections store choices audit current_s",
    )
    heads = int(top.number("heads", 1, 3, LIMITS.heads))
    bricks = int(top.number("bricks", 1, 2, 64))
    length_us = int(top.number("length_s", 0.5, 6, 3600) * SECOND)
    given = Section(top.raw("load") or {}, "load", "volumes rate units hosts lead shift_s wait_s")
    load = Load(
        int(given.number("volumes", 1, 4, 200)),
        given.number("rate", 0.1, 60, 2000),
        int(given.number("units", 1, 2, 8)),
        int(given.number("hosts", 1, min(2, heads), heads)),
        given.number("lead", 0, 1, 1),
        int(given.number("shift_s", 0, 0) * SECOND),
        int(given.number("wait_s", 0.05, 1.5, 60) * SECOND),
    )
    listed = top.raw("fault") or []
    if not isinstance(listed, list):
        raise ConfigError("key fault: expected [[fault]] tables")
    known = "kind at_s until_s who as head brick link how wall_s newer from to share weight span_ms"
    faults = tuple(
        _fault(Section(one, f"fault.{i}", known), heads, bricks, length_us) for i, one in enumerate(listed)
    )
    settings = Section(top.raw("settings") or {}, "settings").data
    flags = {"fleet": True, "budgets": False, "store": False, "audit": False}
    flags |= {key: top.raw(key) for key in flags if top.has(key)}
    for key, value in flags.items():
        if not isinstance(value, bool):
            raise ConfigError(f"key {key}: expected true or false")
    group = int(top.number("group", 0, 0, heads))
    if (group or flags["budgets"]) and not flags["fleet"]:
        raise ConfigError(f"key {'group' if group else 'budgets'}: only with fleet = true")
    places = int(top.number("server_connections", 0, 0, LIMITS.backend_conns))
    if places and not flags["budgets"]:
        raise ConfigError("key server_connections: only with budgets = true")
    return Experiment(
        top.text("name"),
        int(top.number("seed", 0, 1)),
        heads,
        bricks,
        length_us,
        load,
        settings,
        faults,
        group=group,
        server_connections=places,
        current_s=_current_s(top),
        choices=_choices(top),
        **flags,
    )


def _choices(top: Section) -> dict[str, Any]:
    """Checked as a head would, before any is started."""
    if not top.has("choices"):
        return {}
    choices_setup.read(top.raw("choices"))
    return Section(top.raw("choices"), "choices").data


def _current_s(top: Section) -> float:
    if top.has("current_s") and not top.raw("store"):
        raise ConfigError("key current_s: only with store = true")
    return top.number("current_s", 0, 0, 60)


def load(path: str) -> Experiment:
    """Raises ConfigError, which names the file and the key."""
    try:
        with open(path, "rb") as file:
            return read(tomllib.load(file))
    except OSError as problem:
        raise ConfigError(f"cannot read {path}: {problem.strerror}") from None
    except (ValueError, UnicodeDecodeError) as problem:
        raise ConfigError(f"{path}: {problem}") from None
