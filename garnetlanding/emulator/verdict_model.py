"""Every course that three heads' words about one server can take within a number of steps, explored breadth
first.

In each step each head, in turn, hears any of the messages on their way to it, is answered by the server,
refused by it, or asks nothing, and speaks. What is said arrives in a later step, or never: the next message
on the same link takes its place. In each state, what a head believes is held against what the others have
really seen.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass

from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import Outcome
from garnetlanding.emulator.walk import Walk
from garnetlanding.peers.gossip_message import Evidence
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.local_observations import LocalObservations
from garnetlanding.peers.suspicions import SuspicionTable

STEP, AIM, NODE = 1000, 100, "n0"  # microseconds
LIMITS = PeerLimits(word_us=3 * STEP, persist_us=STEP, recover_us=1000 * STEP)
LISTED = api.EndpointListUpdate((api.Endpoint(NODE, 0, "z", api.EndpointState.UP),), whole=True)


@dataclass(frozen=True, slots=True)
class Scope:
    heads: int = 3
    steps: int = 4
    most: int = 400_000


@dataclass(slots=True)
class Head:
    seen: LocalObservations
    verdicts: SuspicionTable
    heard_at: dict[int, int]  # of each other head, when the message was sent to it that it had heard last
    last_seen: int = -1  # when this head last saw the server refuse, or come back; -1: never
    answered: int = -1


@dataclass(frozen=True, slots=True)
class Word:
    evidence: tuple[Evidence, ...]
    re_sent_at: int  # when the receiver sent what the sender had heard last of it; -1: nothing yet
    sent_at: int


@dataclass(frozen=True, slots=True)
class State:
    now: int
    turn: int
    heads: tuple[Head, ...]
    mail: tuple[tuple[int, int, Word], ...]


@dataclass(slots=True)
class Explored:
    states: int = 0
    moves: int = 0
    doubts: int = 0  # states in which some head doubts the server
    wrong: str = ""  # the first law that did not hold
    whole: bool = True


def begun() -> Head:
    seen = LocalObservations(LIMITS)
    seen.observe_events(0, [LISTED], AIM)
    return Head(seen, SuspicionTable(LIMITS), {})


def _since(at: int | None, now: int) -> int | None:
    return None if at is None else now - at


def key(s: State) -> object:
    def head(h: Head) -> object:
        sight = h.seen.backends[NODE]
        claims = {
            who: (c.kind, s.now - c.latest_at, c.expires_at - s.now, _since(c.refuted_at, s.now))
            for who, c in h.verdicts._claims.get(NODE, {}).items()
        }
        credit = tuple(round(h.verdicts.credit(who, s.now), 2) for who in range(len(s.heads)))
        return (
            _since(sight.responded_at, s.now),
            sight.refused.count,
            s.now - sight.refused.last_at if sight.refused.count else None,
            sight.recovered_at is not None,
            tuple(sorted(claims.items())),
            credit,
            tuple(sorted(h.heard_at.items())),
            h.last_seen,
        )

    return (
        s.now,
        s.turn,
        tuple(map(head, s.heads)),
        tuple(sorted((a, b, w.re_sent_at, w.sent_at, w.evidence) for a, b, w in s.mail)),
    )


def wrong(s: State) -> str:
    """What a head believes that it may not."""
    for me, head in enumerate(s.heads):
        if not copy.deepcopy(head.verdicts).suspected(s.now, head.seen):
            continue
        others = [h.last_seen for you, h in enumerate(s.heads) if you != me and h.last_seen >= 0]
        if not others:
            return f"head {me} doubts what nobody else has seen"
        if max(others) <= s.now - LIMITS.word_us:
            return f"head {me} doubts what was seen {s.now - max(others)} us ago"
        if head.answered >= 0 and head.answered == s.now:
            return f"head {me} doubts what has just answered it"
    return ""


def moves(s: State, scope: Scope) -> Iterator[State]:
    me = s.turn
    last = me + 1 == scope.heads
    # Of a head whose turn was before, also what it has just said: its next word would take the place of that.
    mine = [m for m in s.mail if m[1] == me and (m[2].sent_at < s.now or m[0] < me)]
    for pick in range(1 << len(mine)):
        heard = [m for i, m in enumerate(mine) if pick >> i & 1]
        for what in (None, Outcome.SERVED, Outcome.UNREACHABLE):
            head = copy.deepcopy(s.heads[me])
            for sender, _, word in heard:
                sent_at = None if word.re_sent_at < 0 else word.re_sent_at
                head.verdicts.receive(sender, word.evidence, sent_at, s.now, head.seen)
                head.heard_at[sender] = word.sent_at
            if what is Outcome.SERVED:
                head.answered = s.now
                if head.seen.backends[NODE].refused.count:
                    head.last_seen = s.now  # that it is back, and cold
                head.seen.observe_events(s.now, [api.Result("r", 0, NODE, what, AIM // 2, True)], AIM)
            elif what is not None:
                # As many in a row as make a verdict.
                head.seen.observe_events(
                    s.now, [api.Result("r", 0, NODE, what, 1, False)] * LIMITS.refused_row, AIM
                )
                head.last_seen = s.now
            evidence = tuple(head.seen.evidence(s.now, AIM).values())
            rest = [m for m in s.mail if m not in heard and m[0] != me]
            told = [
                (me, you, Word(evidence, head.heard_at.get(you, -1), s.now))
                for you in range(scope.heads)
                if you != me
            ]
            heads = (*s.heads[:me], head, *s.heads[me + 1 :])
            yield State(s.now + STEP if last else s.now, 0 if last else me + 1, heads, (*rest, *told))


def explore(scope: Scope) -> Explored:
    """Ends at the first state in which a law does not hold."""
    start = State(STEP, 0, tuple(begun() for _ in range(scope.heads)), ())
    found = Explored()
    walk = Walk(start, key, lambda s: moves(s, scope) if s.now <= scope.steps * STEP else (), scope.most)
    for state in walk:
        found.doubts += any(copy.deepcopy(h.verdicts).suspected(state.now, h.seen) for h in state.heads)
        found.wrong = wrong(state)
        if found.wrong:
            break
    found.states, found.moves, found.whole = walk.states, walk.moves, walk.whole and not found.wrong
    return found
