"""Buffers of one size from a pool, and byte queues made of them; longer messages span buffers."""

from __future__ import annotations

from collections import deque


class PoolEmpty(Exception):
    """Every buffer is in use: the connection that asks has to go, the daemon stays within its memory."""


class BufferPool:
    def __init__(self, size: int, keep: int, most: int, start: int = 0) -> None:
        """`start` of the most are this process's own, whatever part of the rest it keeps to."""
        self.size, self._keep, self._most, self._start = size, keep, most - start, start
        self._free: list[bytearray] = []
        self.scratch = bytearray(size)  # what is read and handed on in one step needs no buffer of its own
        self.in_use = 0
        self.part = 1.0  # of the most, to be kept to while another process has the rest

    @property
    def used(self) -> float:
        """What part of the most is in use."""
        return max(0, self.in_use - self._start) / self._most

    @property
    def scarce(self) -> bool:
        """More than half of the buffers that may be in use are."""
        return 2 * self.in_use > self._bound

    @property
    def _bound(self) -> float:
        return self._start + self._most * self.part

    def take(self) -> bytearray:
        if self.in_use >= self._bound:
            raise PoolEmpty
        self.in_use += 1
        return self._free.pop() if self._free else bytearray(self.size)

    def give(self, buffer: bytearray) -> None:
        self.in_use -= 1
        if len(self._free) < self._keep:
            self._free.append(buffer)


class Chain:
    """A queue of bytes in pooled buffers; an emptied buffer goes back at once."""

    __slots__ = ("_pool", "_parts", "_start", "_end", "length")

    def __init__(self, pool: BufferPool) -> None:
        self._pool = pool
        self._parts: deque[bytearray] = deque()
        self._start = 0  # first byte used of the first part
        self._end = 0  # first byte free of the last part
        self.length = 0

    def append(self, data: bytes | memoryview) -> None:
        at, left = 0, len(data)
        while left:
            if not self._parts or self._end == self._pool.size:
                self._parts.append(self._pool.take())
                self._end = 0
            n = min(left, self._pool.size - self._end)
            self._parts[-1][self._end : self._end + n] = data[at : at + n]
            self._end += n
            self.length += n
            at, left = at + n, left - n

    def peek(self, n: int) -> bytes:
        n = min(n, self.length)
        out = bytearray()
        start = self._start
        for part in self._parts:
            if len(out) >= n:
                break
            out += part[start : start + n - len(out)]
            start = 0
        return bytes(out)

    def take(self, n: int) -> bytes:
        out = self.peek(n)
        self.skip(len(out))
        return out

    def skip(self, n: int) -> None:
        n = min(n, self.length)
        self.length -= n
        while n:
            room = (self._end if len(self._parts) == 1 else self._pool.size) - self._start
            step = min(n, room)
            self._start += step
            n -= step
            if step == room:
                self._drop_first()

    def _drop_first(self) -> None:
        self._pool.give(self._parts.popleft())
        self._start = 0
        if not self._parts:
            self._end = 0

    def line(self, most: int) -> bytes | None:
        """Up to CRLF, which it takes too; None until that has come. ValueError when longer than `most`."""
        head = self.peek(most + 2)
        at = head.find(b"\r\n")
        if at < 0:
            if len(head) >= most + 2:
                raise ValueError("line too long")
            return None
        self.skip(at + 2)
        return head[:at]

    def clear(self) -> None:
        self.skip(self.length)
        while self._parts:
            self._drop_first()
