"""Every state that a model can reach, breadth first, each once."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Generic, TypeVar

S = TypeVar("S")


class Walk(Generic[S]):
    """Yield the reachable states; count them and the moves that led to them.

    `states` and `moves` are the counts so far; `is_complete` is False once the walk was given up. States with
    equal keys count as one.
    """

    def __init__(
        self,
        start: S,
        key: Callable[[S], object],
        moves: Callable[[S], Iterable[S]],
        max_states: int,
        max_depth: int | None = None,
    ) -> None:
        """`max_states`: it gives up after these. `max_depth`: moves in succession, None: any number."""
        self._start = start
        self._key = key
        self._moves = moves
        self._max_states = max_states
        self._max_depth = max_depth
        self.states = 0
        self.moves = 0
        self.is_complete = True

    def __iter__(self) -> Iterator[S]:
        seen = {hash(self._key(self._start))}
        frontier = [self._start]
        depth = 0
        while frontier:
            following: list[S] = []
            for state in frontier:
                self.states += 1
                yield state
                if self.states >= self._max_states:
                    self.is_complete = False
                    return
                if self._max_depth is not None and depth >= self._max_depth:
                    continue
                for new in self._moves(state):
                    self.moves += 1
                    fingerprint = hash(self._key(new))
                    if fingerprint not in seen:
                        seen.add(fingerprint)
                        following.append(new)
            frontier = following
            depth += 1
