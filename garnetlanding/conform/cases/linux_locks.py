"""9P2000.L: byte-range locks."""

from __future__ import annotations

from garnetlanding.conform.client import Client, check
from garnetlanding.conform.suite import case, linux
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors

READ, WRITE, NONE = p9l.LOCK_READ, p9l.LOCK_WRITE, p9l.LOCK_NONE


def lock(c: Client, fid: int, type: int, start: int, length: int, pid: int = 1, who: str = "a") -> int:
    reply = c.supported(c.ask(p9l.Tlock(fid, type, 0, start, length, pid, who)))
    return c.expect(p9l.Rlock, reply).status


def taken(c: Client, *args: int, **more: str) -> None:
    check(lock(c, *args, **more) == p9l.LOCK_DONE, "it was not granted")  # type: ignore[arg-type]


def blocked(c: Client, *args: int, **more: str) -> None:
    check(lock(c, *args, **more) == p9l.LOCK_BLOCKED, "it was granted")  # type: ignore[arg-type]


def two(c: Client) -> tuple[int, Client, int]:
    """One file, open on two connections."""
    fid = c.make("f", b"0123456789")
    other = c.another()
    theirs = other.at("f")
    other.open(theirs, p9.ORDWR)
    return fid, other, theirs


@case("fcntl(2): a write lock keeps others from any lock there", linux)
def lock_excludes(c: Client) -> None:
    fid, other, theirs = two(c)
    taken(c, fid, WRITE, 0, 5)
    blocked(other, theirs, WRITE, 4, 1, who="b")
    blocked(other, theirs, READ, 0, 0, who="b")


@case("fcntl(2): read locks are shared", linux)
def lock_read_shared(c: Client) -> None:
    fid, other, theirs = two(c)
    taken(c, fid, READ, 0, 5)
    taken(other, theirs, READ, 0, 5, who="b")
    blocked(other, theirs, WRITE, 0, 5, who="b")


@case("fcntl(2): ranges that do not overlap do not conflict", linux)
def lock_ranges_apart(c: Client) -> None:
    fid, other, theirs = two(c)
    taken(c, fid, WRITE, 0, 5)
    taken(other, theirs, WRITE, 5, 5, who="b")


@case("fcntl(2): a length of zero reaches to the end", linux)
def lock_to_the_end(c: Client) -> None:
    fid, other, theirs = two(c)
    taken(c, fid, WRITE, 5, 0)
    blocked(other, theirs, WRITE, 1 << 40, 1, who="b")
    taken(other, theirs, WRITE, 0, 5, who="b")


@case("fcntl(2): an owner's own locks do not stand in its way", linux)
def lock_own(c: Client) -> None:
    fid, other, theirs = two(c)
    taken(c, fid, WRITE, 0, 5)
    taken(c, fid, READ, 0, 5)
    taken(other, theirs, READ, 0, 5, who="b")


@case("fcntl(2): unlocking the middle leaves both ends", linux)
def lock_split(c: Client) -> None:
    fid, other, theirs = two(c)
    taken(c, fid, WRITE, 0, 9)
    taken(c, fid, NONE, 3, 3)
    taken(other, theirs, WRITE, 3, 3, who="b")
    blocked(other, theirs, WRITE, 2, 1, who="b")
    blocked(other, theirs, WRITE, 6, 1, who="b")


@case("getlock: nothing in the way", linux)
def getlock_free(c: Client) -> None:
    fid, _, _ = two(c)
    reply = c.expect(p9l.Rgetlock, c.supported(c.ask(p9l.Tgetlock(fid, WRITE, 0, 5, 1, "a"))))
    check(reply.type == NONE, f"{reply}")


@case("getlock: what stands in the way, and whose it is", linux)
def getlock_taken(c: Client) -> None:
    fid, other, theirs = two(c)
    taken(c, fid, WRITE, 2, 5, 77)
    reply = other.must(p9l.Rgetlock, p9l.Tgetlock(theirs, READ, 0, 0, 1, "b"))
    check((reply.type, reply.start, reply.length, reply.proc_id) == (WRITE, 2, 5, 77), f"{reply}")


@case("fcntl(2): a lock ends with its fid", linux)
def lock_ends_with_fid(c: Client) -> None:
    fid, other, theirs = two(c)
    taken(c, fid, WRITE, 0, 5)
    c.clunk(fid)
    taken(other, theirs, WRITE, 0, 5, who="b")


@case("fcntl(2): a lock ends with its connection", linux)
def lock_ends_with_connection(c: Client) -> None:
    fid, other, theirs = two(c)
    taken(other, theirs, WRITE, 0, 5, who="b")
    other.close()
    for _ in range(20):
        c.quiet()
        if lock(c, fid, WRITE, 0, 5) == p9l.LOCK_DONE:
            return
    check(False, "it is still held")


@case("fcntl(2): a write lock needs a file open for writing", linux)
def lock_write_needs_writing(c: Client) -> None:
    c.make("f")
    fid = c.at("f")
    c.open(fid)
    c.is_error(c.supported(c.ask(p9l.Tlock(fid, WRITE, 0, 0, 5, 1, "a"))), errors.EBADF)


@case("fcntl(2): the file must be open", linux)
def lock_unopened(c: Client) -> None:
    c.make("f")
    c.is_error(c.supported(c.ask(p9l.Tlock(c.at("f"), READ, 0, 0, 5, 1, "a"))), errors.EBADF)
