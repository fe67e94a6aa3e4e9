"""Every course that a small group of heads can take within a number of moves, explored breadth first: heads
start, speak, hear what was said (at any later moment, or never), crash, start anew, and end in order. In each
state the even parts of all heads that run are added up.

Time does not pass: whatever waits for it (the beginning of a group) may happen at any moment.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, replace

from garnetlanding.emulator.walk import Walk
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.membership import InstanceRecord, Membership

LIMITS = PeerLimits(bootstrap_us=0)


@dataclass(frozen=True, slots=True)
class Scope:
    heads: int = 3
    seeds: int = 2  # the first so many
    moves: int = 8
    starts: int = 1  # beyond the first of each: heads that start anew, after a crash or an end
    most: int = 300_000  # states, after which exploring is given up


@dataclass(frozen=True, slots=True)
class Word:
    """What one head told another: its table, and whether it had joined."""

    records: tuple[InstanceRecord, ...]
    digest: bytes
    joined: bool


@dataclass(frozen=True, slots=True)
class State:
    heads: tuple[Membership | None, ...]  # None: does not run
    mail: tuple[tuple[int, int, Word], ...]  # from, to: the last on each link
    starts: int


@dataclass(slots=True)
class Explored:
    states: int = 0
    moves: int = 0
    most: float = 0.0
    joined: int = 0  # most heads that had joined at once
    whole: bool = True


def at(head: int) -> str:
    return f"127.0.0.{head + 1}:7946"


def begun(scope: Scope, head: int, life: int) -> Membership:
    return Membership(LIMITS, head, life, at(head), [at(seed) for seed in range(scope.seeds)], 0)


def key(s: State) -> object:
    heads = tuple(
        None
        if m is None
        else (
            tuple(sorted(m.records.values())),
            tuple(sorted(m._confirmed_by)),
            m._sponsored,
            m._joined,
            m._bootstrap_at is None,
        )
        for m in s.heads
    )
    return heads, tuple(sorted((a, b, w.digest, w.joined) for a, b, w in s.mail)), s.starts


def _with(s: State, head: int, new: Membership | None) -> tuple[Membership | None, ...]:
    return (*s.heads[:head], new, *s.heads[head + 1 :])


def moves(s: State, scope: Scope) -> Iterator[State]:
    for me, members in enumerate(s.heads):
        if members is None:
            if s.starts < scope.starts:
                yield replace(s, heads=_with(s, me, begun(scope, me, 10 + s.starts)), starts=s.starts + 1)
            continue
        word = Word(tuple(members.records.values()), members.digest, members.joined)
        for you in range(scope.heads):
            if you != me and (you in members.records or you < scope.seeds):
                rest = tuple(m for m in s.mail if m[:2] != (me, you))
                yield replace(s, mail=(*rest, (me, you, word)))
        yield from _looks(s, me, members)
        others = [m for i, m in enumerate(s.heads) if i != me]
        # As the law asks: not all seeds are down at once.
        if me >= scope.seeds or any(m is not None for m in others[: scope.seeds - 1]):
            yield replace(s, heads=_with(s, me, None))
            yield from _leaves(s, me, members, scope)
    for sender, receiver, word in s.mail:
        if (hearing := s.heads[receiver]) is not None:
            new = copy.deepcopy(hearing)
            new.merge(word.records)
            new.record_contact(sender, word.digest, word.joined, 0)
            rest = tuple(m for m in s.mail if m != (sender, receiver, word))
            yield replace(s, heads=_with(s, receiver, new), mail=rest)


def _looks(s: State, me: int, members: Membership) -> Iterator[State]:
    new = copy.deepcopy(members)
    new.update_joined(0)
    if new.joined != members.joined:
        yield replace(s, heads=_with(s, me, new))


def _leaves(s: State, me: int, members: Membership, scope: Scope) -> Iterator[State]:
    """It has stopped; its last word is on its way to all."""
    last = copy.deepcopy(members)
    last.leave()
    word = Word(tuple(last.records.values()), last.digest, False)
    rest = tuple(m for m in s.mail if m[0] != me)
    told = tuple((me, you, word) for you in range(scope.heads) if you != me and you in members.records)
    yield replace(s, heads=_with(s, me, None), mail=(*rest, *told))


def explore(scope: Scope) -> Explored:
    """Ends at the first state whose even parts add up to more than 1."""
    start = State(tuple(begun(scope, head, 1) for head in range(scope.heads)), (), 0)
    found, walk = Explored(), Walk(start, key, lambda s: moves(s, scope), scope.most, scope.moves)
    for state in walk:
        running = [m for m in state.heads if m is not None]
        found.most = max(found.most, sum(m.even_share for m in running))
        found.joined = max(found.joined, sum(m.joined for m in running))
        if found.most > 1 + 1e-9:
            break
    found.states, found.moves, found.whole = walk.states, walk.moves, walk.whole
    return found
