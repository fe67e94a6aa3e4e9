"""Buffers of one size from a pool, and byte queues made of them; longer messages span several buffers."""

from __future__ import annotations

from collections import deque

from garnetlanding.runtime.errors import BufferPoolExhaustedError

LINE_END = b"\r\n"


class BufferPool:
    """A bounded pool of buffers of `size` bytes.

    `keep` buffers at most are kept for reuse, `most` at most are in use. `start` of these are this process's
    own, whatever `part` of the rest it may use while another process of the instance has the other part.
    """

    def __init__(self, size: int, keep: int, most: int, start: int = 0) -> None:
        self.size = size
        self._keep = keep
        self._most = most - start
        self._start = start
        self._free: list[bytearray] = []
        self.scratch = bytearray(size)  # for what is read and consumed in one step
        self.in_use = 0
        self.part = 1.0

    @property
    def used(self) -> float:
        """Return the part of the shared capacity that is in use, from 0 to 1."""
        return max(0, self.in_use - self._start) / self._most

    @property
    def scarce(self) -> bool:
        """Return whether more than half of the buffers that may be in use are."""
        return 2 * self.in_use > self._bound

    @property
    def _bound(self) -> float:
        return self._start + self._most * self.part

    def take(self) -> bytearray:
        """Return a buffer; raises `BufferPoolExhaustedError` where all are in use."""
        if self.in_use >= self._bound:
            raise BufferPoolExhaustedError
        self.in_use += 1
        return self._free.pop() if self._free else bytearray(self.size)

    def give(self, buffer: bytearray) -> None:
        """Take a buffer back."""
        self.in_use -= 1
        if len(self._free) < self._keep:
            self._free.append(buffer)


class Chain:
    """A queue of bytes in pooled buffers; an emptied buffer goes back to the pool at once."""

    __slots__ = ("_pool", "_parts", "_start", "_end", "length")

    def __init__(self, pool: BufferPool) -> None:
        self._pool = pool
        self._parts: deque[bytearray] = deque()
        self._start = 0  # first byte in use of the first buffer
        self._end = 0  # first free byte of the last buffer
        self.length = 0

    def append(self, data: bytes | memoryview) -> None:
        """Add bytes at the end; raises `BufferPoolExhaustedError`, with part of them added."""
        offset = 0
        remaining = len(data)
        while remaining:
            if not self._parts or self._end == self._pool.size:
                self._parts.append(self._pool.take())
                self._end = 0
            step = min(remaining, self._pool.size - self._end)
            self._parts[-1][self._end : self._end + step] = data[offset : offset + step]
            self._end += step
            self.length += step
            offset += step
            remaining -= step

    def peek(self, count: int) -> bytes:
        """Return the first `count` bytes, or all where there are fewer, and leave them in the queue."""
        count = min(count, self.length)
        out = bytearray()
        start = self._start
        for part in self._parts:
            if len(out) >= count:
                break
            out += part[start : start + count - len(out)]
            start = 0
        return bytes(out)

    def take(self, count: int) -> bytes:
        """Return the first `count` bytes, or all where there are fewer, and remove them."""
        out = self.peek(count)
        self.skip(len(out))
        return out

    def skip(self, count: int) -> None:
        """Remove the first `count` bytes, or all where there are fewer."""
        count = min(count, self.length)
        self.length -= count
        while count:
            filled = (self._end if len(self._parts) == 1 else self._pool.size) - self._start
            step = min(count, filled)
            self._start += step
            count -= step
            if step == filled:
                self._drop_first()

    def _drop_first(self) -> None:
        self._pool.give(self._parts.popleft())
        self._start = 0
        if not self._parts:
            self._end = 0

    def line(self, most: int) -> bytes | None:
        """Remove and return a line without its CRLF; `None` until it has arrived whole.

        Raises `ValueError` when it is longer than `most` bytes.
        """
        head = self.peek(most + len(LINE_END))
        end = head.find(LINE_END)
        if end < 0:
            if len(head) >= most + len(LINE_END):
                raise ValueError("line too long")
            return None
        self.skip(end + len(LINE_END))
        return head[:end]

    def clear(self) -> None:
        """Remove everything and give all buffers back."""
        self.skip(self.length)
        while self._parts:
            self._drop_first()
