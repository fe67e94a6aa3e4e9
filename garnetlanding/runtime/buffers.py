"""A bounded pool of fixed-size buffers, and FIFO byte queues that are stored in them."""

from __future__ import annotations

from collections import deque

from garnetlanding.runtime.errors import BufferPoolExhaustedError, LineTooLongError
from garnetlanding.runtime.memory import MemoryAccount, MemoryBudget

LINE_END = b"\r\n"


class BufferPool:
    """A pool of buffers of `buffer_bytes` bytes each.

    Each buffer is charged to an account of `budget`, which has room for `max_in_use` buffers but also counts
    what else connections hold. Up to `max_free` unused buffers are cached. During an upgrade two processes of
    the instance share all but the first `unshared` buffers.
    """

    def __init__(self, buffer_bytes: int, max_free: int, max_in_use: int, unshared: int = 0) -> None:
        self.buffer_bytes = buffer_bytes
        self.scratch = bytearray(buffer_bytes)  # for data that is consumed within the same call
        self.in_use = 0
        self.budget = MemoryBudget(max_in_use * buffer_bytes, unshared * buffer_bytes)
        self._max_free = max_free
        self._free: list[bytearray] = []

    def acquire(self, account: MemoryAccount) -> bytearray:
        """Return a buffer with undefined content.

        Raises `BufferPoolExhaustedError` if the account must not hold it.
        """
        if not account.charge(self.buffer_bytes):
            raise BufferPoolExhaustedError
        self.in_use += 1
        return self._free.pop() if self._free else bytearray(self.buffer_bytes)

    def release(self, buffer: bytearray, account: MemoryAccount) -> None:
        """Return a buffer to the pool."""
        account.release(self.buffer_bytes)
        self.in_use -= 1
        if len(self._free) < self._max_free:
            self._free.append(buffer)


class BufferChain:
    """A FIFO queue of bytes in pooled buffers; each buffer is released once all of it has been read.

    `length` is the number of bytes in the queue. Its buffers are charged to `account`, by default to the
    process.
    """

    __slots__ = ("_account", "_buffers", "_end", "_pool", "_start", "length")

    def __init__(self, pool: BufferPool, account: MemoryAccount | None = None) -> None:
        self._pool = pool
        self._account = account or pool.budget.process_account
        self._buffers: deque[bytearray] = deque()
        self._start = 0  # offset of the first byte in the first buffer
        self._end = 0  # offset after the last byte in the last buffer
        self.length = 0

    def append(self, data: bytes | memoryview) -> None:
        """Append bytes.

        Raises `BufferPoolExhaustedError`, in which case part of the bytes may have been appended.
        """
        offset = 0
        remaining = len(data)
        while remaining:
            if not self._buffers or self._end == self._pool.buffer_bytes:
                self._buffers.append(self._pool.acquire(self._account))
                self._end = 0
            step = min(remaining, self._pool.buffer_bytes - self._end)
            self._buffers[-1][self._end : self._end + step] = data[offset : offset + step]
            self._end += step
            self.length += step
            offset += step
            remaining -= step

    def peek(self, count: int) -> bytes:
        """Return the first `count` bytes, or all if there are fewer, without removing them."""
        count = min(count, self.length)
        result = bytearray()
        start = self._start
        for buffer in self._buffers:
            if len(result) >= count:
                break
            result += buffer[start : start + count - len(result)]
            start = 0
        return bytes(result)

    def take(self, count: int) -> bytes:
        """Remove and return the first `count` bytes, or all if there are fewer."""
        result = self.peek(count)
        self.skip(len(result))
        return result

    def skip(self, count: int) -> None:
        """Remove the first `count` bytes, or all if there are fewer."""
        count = min(count, self.length)
        self.length -= count
        while count:
            filled = (self._end if len(self._buffers) == 1 else self._pool.buffer_bytes) - self._start
            step = min(count, filled)
            self._start += step
            count -= step
            if step == filled:
                self._release_first()

    def take_line(self, max_bytes: int) -> bytes | None:
        """Remove the next line and return it without its CRLF; return `None` if it is incomplete.

        Raises `LineTooLongError` if the line has more than `max_bytes` bytes.
        """
        head = self.peek(max_bytes + len(LINE_END))
        end = head.find(LINE_END)
        if end < 0:
            if len(head) >= max_bytes + len(LINE_END):
                raise LineTooLongError(max_bytes)
            return None
        self.skip(end + len(LINE_END))
        return head[:end]

    def clear(self) -> None:
        """Remove all bytes and release all buffers."""
        self.skip(self.length)
        while self._buffers:
            self._release_first()

    def _release_first(self) -> None:
        self._pool.release(self._buffers.popleft(), self._account)
        self._start = 0
        if not self._buffers:
            self._end = 0
