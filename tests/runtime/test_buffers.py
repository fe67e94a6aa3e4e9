"""Buffer chains, lines and the bounded pool."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.runtime.buffers import BufferChain, BufferPool
from garnetlanding.runtime.errors import BufferPoolExhaustedError


@given(st.lists(st.one_of(st.binary(max_size=30), st.integers(0, 40)), max_size=30))
def test_chain_returns_bytes_in_order_for_any_append_and_take(steps: list[bytes | int]) -> None:
    pool = BufferPool(8, 2, 100)
    chain = BufferChain(pool)
    expected = b""
    for step in steps:
        if isinstance(step, bytes):
            chain.append(step)
            expected += step
        else:
            assert chain.peek(step) == expected[:step]
            assert chain.take(step) == expected[:step]
            expected = expected[step:]
        assert chain.length == len(expected)
        assert pool.in_use <= len(expected) // 8 + 2, "empty buffers are released"
    chain.clear()
    assert pool.in_use == 0


def test_line_ends_at_crlf_and_too_long_a_line_raises() -> None:
    chain = BufferChain(BufferPool(4, 2, 100))
    chain.append(b"abc\r")
    assert chain.take_line(10) is None
    chain.append(b"\nrest")
    assert chain.take_line(10) == b"abc"
    assert chain.length == 4
    with pytest.raises(ValueError, match="line too long"):
        chain.take_line(2)


def test_pool_raises_beyond_its_bound() -> None:
    pool = BufferPool(8, 1, 1)
    account = pool.budget.open_account(lambda: None)
    first = pool.acquire(account)
    with pytest.raises(BufferPoolExhaustedError):
        pool.acquire(account)
    pool.release(first, account)
    assert pool.acquire(account) is first, "released buffers are reused"
