"""Accounts of the memory that connections make the process hold, under one limit for all of them.

Whatever a peer can make the process hold is charged to the account of its connection: buffered input and
output, arguments of incomplete commands, replies that wait for earlier ones, open requests. When a charge
would exceed the limit, the connection that holds the most is evicted, unless that is the one that is charged:
then the charge is refused. A connection that holds less than others is thus never affected by what they hold.
Among connections that hold about the same, one that makes no progress is evicted first.
"""

from __future__ import annotations

from collections.abc import Callable

COMPARABLE_DIVISOR = 2
"""Accounts that hold more than this part of the largest one, half, are evicted by their progress."""


def _never_stalled() -> bool:
    """Return False: the default for holders that cannot tell whether they make progress."""
    return False


class MemoryAccount:
    """What one holder has been charged, in bytes.

    `is_stalled` tells whether the holder makes no progress, since its peer neither reads nor writes. An
    account without `on_evict` is that of the process itself: it is never evicted, and may evict any other.
    """

    __slots__ = ("_budget", "held_bytes", "is_stalled", "on_evict")

    def __init__(
        self,
        budget: MemoryBudget,
        on_evict: Callable[[], None] | None,
        is_stalled: Callable[[], bool] = _never_stalled,
    ) -> None:
        self._budget = budget
        self.on_evict = on_evict
        self.is_stalled = is_stalled
        self.held_bytes = 0

    def charge(self, count: int) -> bool:
        """Charge `count` bytes; return False, without charging them, if they must not be held."""
        budget = self._budget
        if budget.used_bytes + count > budget.available_bytes and not budget.evict_larger(self, count):
            return False
        self.held_bytes += count
        budget.used_bytes += count
        return True

    def release(self, count: int) -> None:
        """Release `count` bytes that were charged before; also after `close`."""
        self.held_bytes -= count
        self._budget.used_bytes -= count

    def close(self) -> None:
        """Exempt the account from eviction, once its connection has ended.

        What it still holds, such as a request with an attempt in flight, counts until it is released. The
        account does not refer to the connection any more.
        """
        self._budget.discard(self)
        self.is_stalled = _never_stalled
        if self.on_evict:
            self.on_evict = _ignore_eviction


class MemoryBudget:
    """The limit of all accounts together, in bytes.

    During an upgrade two processes of the instance share all but the first `unshared_bytes`, and this process
    may use the fraction `quota` of the shared ones. `process_account` is that of holders that are no
    connections.
    """

    def __init__(self, limit_bytes: int, unshared_bytes: int = 0) -> None:
        self.used_bytes = 0
        self.available_bytes = limit_bytes
        self.evictions = 0
        self._quota = 1.0
        self._shared_bytes = limit_bytes - unshared_bytes
        self._unshared_bytes = unshared_bytes
        self._evictable: set[MemoryAccount] = set()
        self.process_account = MemoryAccount(self, None)

    def open_account(
        self, on_evict: Callable[[], None], is_stalled: Callable[[], bool] = _never_stalled
    ) -> MemoryAccount:
        """Return a new account; `on_evict` must release as much as possible before it returns."""
        account = MemoryAccount(self, on_evict, is_stalled)
        self._evictable.add(account)
        return account

    def discard(self, account: MemoryAccount) -> None:
        """Exempt an account from eviction."""
        self._evictable.discard(account)

    @property
    def quota(self) -> float:
        """The fraction of the shared bytes that this process may use."""
        return self._quota

    @quota.setter
    def quota(self, quota: float) -> None:
        self._quota = quota
        self.available_bytes = self._unshared_bytes + int(self._shared_bytes * quota)

    @property
    def utilization(self) -> float:
        """Fraction of the shared bytes in use, from 0 to 1."""
        return max(0, self.used_bytes - self._unshared_bytes) / self._shared_bytes

    @property
    def is_scarce(self) -> bool:
        """Whether more than half of the bytes available to this process are in use."""
        return 2 * self.used_bytes > self.available_bytes

    def evict_larger(self, account: MemoryAccount, count: int) -> bool:
        """Evict the largest accounts until `count` more bytes fit; return whether they do.

        Only accounts larger than the one to be charged are evicted. One that makes progress is not evicted
        while another that holds more than half as much makes none.
        """
        own_bytes = account.held_bytes + count if account.on_evict else 0
        while self.used_bytes + count > self.available_bytes:
            largest = max(self._evictable, key=_held_bytes, default=None)
            if largest is None or largest is account or largest.held_bytes <= own_bytes:
                return False
            self._evict(self._stalled_instead_of(largest, own_bytes) or largest)
        return True

    def _stalled_instead_of(self, largest: MemoryAccount, own_bytes: int) -> MemoryAccount | None:
        """Return the largest account without progress that holds nearly as much, if there is one."""
        least_bytes = max(own_bytes, largest.held_bytes // COMPARABLE_DIVISOR)
        comparable = [account for account in self._evictable if account.held_bytes > least_bytes]
        comparable.sort(key=_held_bytes, reverse=True)
        return next((account for account in comparable if account.is_stalled()), None)

    def _evict(self, account: MemoryAccount) -> None:
        self.discard(account)
        self.evictions += 1
        if account.on_evict:
            account.on_evict()


def _ignore_eviction() -> None:
    """Do nothing: the eviction of an account whose connection has ended."""


def _held_bytes(account: MemoryAccount) -> int:
    return account.held_bytes
