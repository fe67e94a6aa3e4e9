"""Every state that a model can reach, breadth first, each once."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Generic, TypeVar

S = TypeVar("S")


class Walk(Generic[S]):
    """Yields the states; afterwards tells how many there were, how many moves led to them, and whether
    none was left out. States that have one key count as one."""

    def __init__(
        self,
        start: S,
        key: Callable[[S], object],
        moves: Callable[[S], Iterable[S]],
        most: int,
        waves: int | None = None,
    ) -> None:
        """`most`: states, after which the walk is given up. `waves`: moves one after another, at most."""
        self._start, self._key, self._moves, self._most, self._waves = start, key, moves, most, waves
        self.states = self.moves = 0
        self.whole = True

    def __iter__(self) -> Iterator[S]:
        seen, wave, waves = {hash(self._key(self._start))}, [self._start], 0
        while wave:
            following: list[S] = []
            for state in wave:
                self.states += 1
                yield state
                if self.states >= self._most:
                    self.whole = False
                    return
                for new in self._moves(state) if self._waves is None or waves < self._waves else ():
                    self.moves += 1
                    if (name := hash(self._key(new))) not in seen:
                        seen.add(name)
                        following.append(new)
            wave, waves = following, waves + 1
