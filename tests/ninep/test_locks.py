"""Byte-range locks and exclusive use."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.ninep.locks import ExclusiveUse, LockLimitError, LockOwner, LockRange, LockTable


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.sampled_from("rwu"), st.integers(0, 12), st.integers(1, 6)),
        max_size=40,
    )
)
def test_locks_agree_with_a_model_of_single_bytes(steps: list[tuple[int, str, int, int]]) -> None:
    locks = LockTable(1000)
    held = [dict[int, bool]() for _ in range(20)]  # for each byte: owner -> whether it is a write lock
    for session, kind, start, length in steps:
        owner = LockOwner(session, 1, "x")
        span = range(start, start + length)
        if kind == "u":
            locks.release(("e", 1), owner, start, start + length)
            for byte in span:
                held[byte].pop(session, None)
            continue
        write = kind == "w"
        blocked = any(
            other != session and (write or other_writes)
            for byte in span
            for other, other_writes in held[byte].items()
        )
        assert locks.acquire(("e", 1), LockRange(owner, 1, write, start, start + length)) is not blocked
        if not blocked:
            for byte in span:
                held[byte][session] = write
    for session in range(3):
        locks.release_session(session)
    assert locks.count == 0


def test_locks_are_bounded_and_exclusive_use_ends_with_its_fid() -> None:
    locks = LockTable(3)
    for start in (0, 10, 20):
        assert locks.acquire(("e", 1), LockRange(LockOwner(1, 1, "x"), 1, True, start, start + 1))
    with pytest.raises(LockLimitError):
        locks.acquire(("e", 1), LockRange(LockOwner(1, 1, "x"), 1, True, 30, 31))
    exclusive = ExclusiveUse()
    assert exclusive.acquire(("e", 1), 1, 5)
    assert not exclusive.acquire(("e", 1), 1, 6)
    exclusive.release_fid(1, 6)
    assert not exclusive.acquire(("e", 1), 2, 5)
    exclusive.release_fid(1, 5)
    assert exclusive.acquire(("e", 1), 2, 5)
