"""9P2000.L: byte-range locks."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.conform.client import Client
from garnetlanding.conform.descriptions import getlock_text
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import LINUX_ONLY, case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors

READ = p9l.LOCK_TYPE_READ
WRITE = p9l.LOCK_TYPE_WRITE
NONE = p9l.LOCK_TYPE_UNLOCK
MAX_CHECKS = 20  # quiet periods within which the server must notice that a connection ended


@dataclass(frozen=True, slots=True)
class LockOwner:
    """Whose a lock is: a process of a client machine."""

    process_id: int
    client_id: str


OWNER_A = LockOwner(1, "a")
OWNER_B = LockOwner(1, "b")


def request_lock(
    client: Client, fid: int, kind: int, start: int, length: int, owner: LockOwner = OWNER_A
) -> int:
    """Ask for a lock without waiting and return the status of the reply."""
    message = p9l.Tlock(fid, kind, 0, start, length, owner.process_id, owner.client_id)
    return client.expect(p9l.Rlock, client.skip_if_unsupported(client.request(message))).status


def expect_granted(
    client: Client, fid: int, kind: int, start: int, length: int, owner: LockOwner = OWNER_A
) -> None:
    """Ask for a lock, which must be granted."""
    status = request_lock(client, fid, kind, start, length, owner)
    check(status == p9l.LOCK_STATUS_SUCCESS, "it was not granted")


def expect_blocked(
    client: Client, fid: int, kind: int, start: int, length: int, owner: LockOwner = OWNER_B
) -> None:
    """Ask for a lock, which must not be granted because another owner's is in the way."""
    status = request_lock(client, fid, kind, start, length, owner)
    check(status == p9l.LOCK_STATUS_BLOCKED, "it was granted")


def open_on_two_connections(client: Client) -> tuple[int, Client, int]:
    """Create a file; return its open fid, a second client, and that one's open fid of the file."""
    fid = client.create_file("f", b"0123456789")
    other = client.connect_second_client()
    other_fid = other.walk_to("f")
    other.open(other_fid, p9.ORDWR)
    return fid, other, other_fid


@case("fcntl(2): a write lock keeps others from any lock there", LINUX_ONLY)
def lock_excludes(client: Client) -> None:
    """Tlock: a write lock keeps other owners from any lock in its range, as by fcntl(2)."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, WRITE, 0, 5)
    expect_blocked(other, other_fid, WRITE, 4, 1)
    expect_blocked(other, other_fid, READ, 0, 0)


@case("fcntl(2): read locks are shared", LINUX_ONLY)
def lock_read_shared(client: Client) -> None:
    """Tlock: several owners may have read locks on a range, which exclude write locks, as by fcntl(2)."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, READ, 0, 5)
    expect_granted(other, other_fid, READ, 0, 5, OWNER_B)
    expect_blocked(other, other_fid, WRITE, 0, 5)


@case("fcntl(2): ranges that do not overlap do not conflict", LINUX_ONLY)
def lock_ranges_apart(client: Client) -> None:
    """Tlock: locks on ranges that do not overlap do not conflict, as by fcntl(2)."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, WRITE, 0, 5)
    expect_granted(other, other_fid, WRITE, 5, 5, OWNER_B)


@case("fcntl(2): a length of zero reaches to the end", LINUX_ONLY)
def lock_to_the_end(client: Client) -> None:
    """Tlock: a length of zero reaches to the end of the file, however far it grows, as by fcntl(2)."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, WRITE, 5, 0)
    expect_blocked(other, other_fid, WRITE, 1 << 40, 1)
    expect_granted(other, other_fid, WRITE, 0, 5, OWNER_B)


@case("fcntl(2): an owner's own locks do not stand in its way", LINUX_ONLY)
def lock_own(client: Client) -> None:
    """Tlock: an owner's new lock replaces its own old one in the range, as by fcntl(2)."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, WRITE, 0, 5)
    expect_granted(client, fid, READ, 0, 5)
    expect_granted(other, other_fid, READ, 0, 5, OWNER_B)


@case("fcntl(2): unlocking the middle leaves both ends", LINUX_ONLY)
def lock_split(client: Client) -> None:
    """Tlock: unlocking the middle of a range leaves locks on both ends, as by fcntl(2)."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, WRITE, 0, 9)
    expect_granted(client, fid, NONE, 3, 3)
    expect_granted(other, other_fid, WRITE, 3, 3, OWNER_B)
    expect_blocked(other, other_fid, WRITE, 2, 1)
    expect_blocked(other, other_fid, WRITE, 6, 1)


@case("getlock: nothing in the way", LINUX_ONLY)
def getlock_free(client: Client) -> None:
    """Tgetlock: when the lock could be had, the type of the reply is LOCK_NONE, as by F_GETLK."""
    fid, _, _ = open_on_two_connections(client)
    reply = client.expect(
        p9l.Rgetlock, client.skip_if_unsupported(client.request(p9l.Tgetlock(fid, WRITE, 0, 5, 1, "a")))
    )
    check(reply.type == NONE, getlock_text(reply))


@case("getlock: what stands in the way, and whose it is", LINUX_ONLY)
def getlock_taken(client: Client) -> None:
    """Rgetlock: when a lock is in the way, the reply has its type, range and process, as by F_GETLK."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, WRITE, 2, 5, LockOwner(77, "a"))
    reply = other.call(p9l.Rgetlock, p9l.Tgetlock(other_fid, READ, 0, 0, 1, "b"))
    check((reply.type, reply.start, reply.length, reply.proc_id) == (WRITE, 2, 5, 77), getlock_text(reply))


@case("fcntl(2): a lock ends with its fid", LINUX_ONLY)
def lock_ends_with_fid(client: Client) -> None:
    """Tclunk: the locks that were taken through a fid end with it, as by close(2)."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, WRITE, 0, 5)
    client.clunk(fid)
    expect_granted(other, other_fid, WRITE, 0, 5, OWNER_B)


@case("fcntl(2): a lock ends with its connection", LINUX_ONLY)
def lock_ends_with_connection(client: Client) -> None:
    """Tlock: the end of a connection clunks its fids, and with them their locks end."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(other, other_fid, WRITE, 0, 5, OWNER_B)
    other.close()
    for _ in range(MAX_CHECKS):
        client.drain_replies()
        if request_lock(client, fid, WRITE, 0, 5) == p9l.LOCK_STATUS_SUCCESS:
            return
    check(False, "it is still held")


@case("fcntl(2): a write lock needs a file open for writing", LINUX_ONLY)
def lock_write_needs_writing(client: Client) -> None:
    """Tlock: a write lock needs a fid open for writing (fcntl(2): EBADF)."""
    client.create_file("f")
    fid = client.walk_to("f")
    client.open(fid)
    client.expect_error(
        client.skip_if_unsupported(client.request(p9l.Tlock(fid, WRITE, 0, 0, 5, 1, "a"))), errors.EBADF
    )


@case("fcntl(2): the file must be open", LINUX_ONLY)
def lock_unopened(client: Client) -> None:
    """Tlock: the fid must be open (fcntl(2): EBADF)."""
    client.create_file("f")
    client.expect_error(
        client.skip_if_unsupported(client.request(p9l.Tlock(client.walk_to("f"), READ, 0, 0, 5, 1, "a"))),
        errors.EBADF,
    )
