"""Cases for byte-range locks in 9P2000.L."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.conform.client import Client
from garnetlanding.conform.descriptions import getlock_text
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import LINUX_ONLY, case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors

READ_LOCK = p9l.LOCK_TYPE_READ
WRITE_LOCK = p9l.LOCK_TYPE_WRITE
UNLOCK = p9l.LOCK_TYPE_UNLOCK
MAX_POLLS = 20  # quiet periods within which the server must notice a closed connection


@dataclass(frozen=True, slots=True)
class LockOwner:
    """The owner of a lock: a process on a client."""

    process_id: int
    client_id: str


OWNER_A = LockOwner(1, "a")
OWNER_B = LockOwner(1, "b")


def request_lock(
    client: Client, fid: int, lock_type: int, start: int, length: int, owner: LockOwner = OWNER_A
) -> int:
    """Request a lock without blocking and return the status in the reply."""
    message = p9l.Tlock(fid, lock_type, 0, start, length, owner.process_id, owner.client_id)
    return client.expect(p9l.Rlock, client.skip_if_unsupported(client.request(message))).status


def expect_granted(
    client: Client, fid: int, lock_type: int, start: int, length: int, owner: LockOwner = OWNER_A
) -> None:
    """Request a lock and fail unless it is granted."""
    status = request_lock(client, fid, lock_type, start, length, owner)
    check(status == p9l.LOCK_STATUS_SUCCESS, "the lock was not granted")


def expect_blocked(
    client: Client, fid: int, lock_type: int, start: int, length: int, owner: LockOwner = OWNER_B
) -> None:
    """Request a lock and fail unless it is refused because of a conflict."""
    status = request_lock(client, fid, lock_type, start, length, owner)
    check(status == p9l.LOCK_STATUS_BLOCKED, "the lock was granted despite a conflict")


def open_on_two_connections(client: Client) -> tuple[int, Client, int]:
    """Create a file; return its open fid, a second client, and the second client's open fid."""
    fid = client.create_file("f", b"0123456789")
    other = client.connect_second_client()
    other_fid = other.walk_to("f")
    other.open(other_fid, p9.ORDWR)
    return fid, other, other_fid


@case("fcntl(2): a write lock excludes all other locks in its range", LINUX_ONLY)
def lock_excludes(client: Client) -> None:
    """Tlock: a write lock excludes all locks of other owners in its range, as by fcntl(2)."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, WRITE_LOCK, 0, 5)
    expect_blocked(other, other_fid, WRITE_LOCK, 4, 1)
    expect_blocked(other, other_fid, READ_LOCK, 0, 0)


@case("fcntl(2): read locks are shared", LINUX_ONLY)
def lock_read_shared(client: Client) -> None:
    """Tlock: several owners may have read locks on a range, which exclude write locks, as by fcntl(2)."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, READ_LOCK, 0, 5)
    expect_granted(other, other_fid, READ_LOCK, 0, 5, OWNER_B)
    expect_blocked(other, other_fid, WRITE_LOCK, 0, 5)


@case("fcntl(2): ranges that do not overlap do not conflict", LINUX_ONLY)
def lock_ranges_apart(client: Client) -> None:
    """Tlock: locks on ranges that do not overlap do not conflict, as by fcntl(2)."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, WRITE_LOCK, 0, 5)
    expect_granted(other, other_fid, WRITE_LOCK, 5, 5, OWNER_B)


@case("fcntl(2): a length of zero extends to the end of the file", LINUX_ONLY)
def lock_to_the_end(client: Client) -> None:
    """Tlock: a length of zero extends to the end of the file, however far it grows, as by fcntl(2)."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, WRITE_LOCK, 5, 0)
    expect_blocked(other, other_fid, WRITE_LOCK, 1 << 40, 1)
    expect_granted(other, other_fid, WRITE_LOCK, 0, 5, OWNER_B)


@case("fcntl(2): locks of the same owner do not conflict", LINUX_ONLY)
def lock_own(client: Client) -> None:
    """Tlock: a new lock replaces the locks of the same owner in its range, as by fcntl(2)."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, WRITE_LOCK, 0, 5)
    expect_granted(client, fid, READ_LOCK, 0, 5)
    expect_granted(other, other_fid, READ_LOCK, 0, 5, OWNER_B)


@case("fcntl(2): unlocking the middle of a range keeps both ends locked", LINUX_ONLY)
def lock_split(client: Client) -> None:
    """Tlock: unlocking the middle of a range keeps both ends locked, as by fcntl(2)."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, WRITE_LOCK, 0, 9)
    expect_granted(client, fid, UNLOCK, 3, 3)
    expect_granted(other, other_fid, WRITE_LOCK, 3, 3, OWNER_B)
    expect_blocked(other, other_fid, WRITE_LOCK, 2, 1)
    expect_blocked(other, other_fid, WRITE_LOCK, 6, 1)


@case("getlock: the reply for a range without conflict has the type unlock", LINUX_ONLY)
def getlock_free(client: Client) -> None:
    """Tgetlock: if no lock conflicts, the type of the reply is LOCK_TYPE_UNLOCK, as by F_GETLK."""
    fid, _, _ = open_on_two_connections(client)
    reply = client.expect(
        p9l.Rgetlock, client.skip_if_unsupported(client.request(p9l.Tgetlock(fid, WRITE_LOCK, 0, 5, 1, "a")))
    )
    check(reply.type == UNLOCK, getlock_text(reply))


@case("getlock: the reply describes the conflicting lock and its owner", LINUX_ONLY)
def getlock_taken(client: Client) -> None:
    """Rgetlock: if a lock conflicts, the reply has its type, range and process, as by F_GETLK."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, WRITE_LOCK, 2, 5, LockOwner(77, "a"))
    reply = other.call(p9l.Rgetlock, p9l.Tgetlock(other_fid, READ_LOCK, 0, 0, 1, "b"))
    check(
        (reply.type, reply.start, reply.length, reply.proc_id) == (WRITE_LOCK, 2, 5, 77), getlock_text(reply)
    )


@case("fcntl(2): a clunk releases the locks of the fid", LINUX_ONLY)
def lock_ends_with_fid(client: Client) -> None:
    """Tclunk: a clunk releases the locks acquired through the fid, as close(2) does."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(client, fid, WRITE_LOCK, 0, 5)
    client.clunk(fid)
    expect_granted(other, other_fid, WRITE_LOCK, 0, 5, OWNER_B)


@case("fcntl(2): closing a connection releases its locks", LINUX_ONLY)
def lock_ends_with_connection(client: Client) -> None:
    """Tlock: closing a connection clunks its fids, which releases their locks."""
    fid, other, other_fid = open_on_two_connections(client)
    expect_granted(other, other_fid, WRITE_LOCK, 0, 5, OWNER_B)
    other.close()
    for _ in range(MAX_POLLS):
        client.drain_replies()
        if request_lock(client, fid, WRITE_LOCK, 0, 5) == p9l.LOCK_STATUS_SUCCESS:
            return
    check(False, "the lock is still held")


@case("fcntl(2): a write lock requires a file open for writing", LINUX_ONLY)
def lock_write_needs_writing(client: Client) -> None:
    """Tlock: a write lock requires a fid open for writing (fcntl(2): EBADF)."""
    client.create_file("f")
    fid = client.walk_to("f")
    client.open(fid)
    client.expect_error(
        client.skip_if_unsupported(client.request(p9l.Tlock(fid, WRITE_LOCK, 0, 0, 5, 1, "a"))), errors.EBADF
    )


@case("fcntl(2): the file must be open", LINUX_ONLY)
def lock_unopened(client: Client) -> None:
    """Tlock: the fid must be open (fcntl(2): EBADF)."""
    client.create_file("f")
    client.expect_error(
        client.skip_if_unsupported(
            client.request(p9l.Tlock(client.walk_to("f"), READ_LOCK, 0, 0, 5, 1, "a"))
        ),
        errors.EBADF,
    )
