"""Breadth-first search of the states that a model can reach."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Generic, TypeVar

S = TypeVar("S")


class StateSearch(Generic[S]):
    """Yields each reachable state once. States with equal keys count as one.

    `states` and `transitions` are the counts so far; `is_complete` is False once `max_states` was reached.
    """

    def __init__(
        self,
        start: S,
        key: Callable[[S], object],
        transitions: Callable[[S], Iterable[S]],
        max_states: int,
        max_depth: int | None = None,
    ) -> None:
        """`max_states`: the search stops there. `max_depth`: transitions from the start, None: unlimited."""
        self._start = start
        self._key = key
        self._transitions = transitions
        self._max_states = max_states
        self._max_depth = max_depth
        self.states = 0
        self.transitions = 0
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
                for new in self._transitions(state):
                    self.transitions += 1
                    fingerprint = hash(self._key(new))
                    if fingerprint not in seen:
                        seen.add(fingerprint)
                        following.append(new)
            frontier = following
            depth += 1
