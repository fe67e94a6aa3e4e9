"""The tree behind emulated file servers: inodes with names, owners, permissions and a bounded size.

Several servers may share one disk, as replicas of shared storage do. What changed the tree is recorded in
`ran`, so that a checker can count how often each operation took effect.
"""

from __future__ import annotations

import stat
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from garnetlanding.ninep import errors
from garnetlanding.ninep.codec import QTAPPEND, QTDIR, QTEXCL, QTSYMLINK, Qid
from garnetlanding.ninep.model import DMAPPEND, DMEXCL, Attr, Time

Tree = dict[str, Any]  # folders are maps, files bytes
ROOT_USER = "root"
BLOCK = 512


class DiskError(Exception):
    def __init__(self, number: int, words: str = "") -> None:
        super().__init__(number, words)
        self.problem = errors.Problem(number, words)


@dataclass(eq=False, slots=True)
class Inode:
    number: int
    mode: int  # as in POSIX
    uid: str
    gid: str
    flags: int = 0  # DMAPPEND, DMEXCL
    data: bytearray = field(default_factory=bytearray)
    names: dict[str, tuple[Inode, int]] = field(default_factory=dict)  # with the cookie of each
    parent: Inode | None = None  # of a directory
    target: str = ""
    rdev: int = 0
    nlink: int = 1
    version: int = 0
    muid: str = ""
    atime: Time = Time(0)
    mtime: Time = Time(0)
    ctime: Time = Time(0)
    cookies: int = 2  # 1 and 2 are `.` and `..`

    @property
    def is_dir(self) -> bool:
        return stat.S_ISDIR(self.mode)

    @property
    def is_link(self) -> bool:
        return stat.S_ISLNK(self.mode)


class Disk:
    def __init__(
        self, tree: Tree | None = None, capacity: int = 1 << 30, clock: Callable[[], int] = lambda: 0
    ) -> None:
        """`clock`: microseconds."""
        self.capacity, self._clock = capacity, clock
        self._numbers = 0
        self.used = 0
        self.ran: list[tuple[Any, ...]] = []
        self.root = self._inode(stat.S_IFDIR | 0o777, ROOT_USER, ROOT_USER)
        self.root.parent = self.root
        self._fill(self.root, tree or {})
        self.ran.clear()

    def _fill(self, at: Inode, tree: Tree) -> None:
        for name, value in tree.items():
            if isinstance(value, dict):
                self._fill(self.make(at, name, stat.S_IFDIR | 0o777, ROOT_USER), value)
            else:
                self.write(self.make(at, name, stat.S_IFREG | 0o666, ROOT_USER), 0, value, ROOT_USER)

    @property
    def now(self) -> Time:
        return Time(self._clock() // 1_000_000, self._clock() % 1_000_000 * 1000)

    def _inode(self, mode: int, uid: str, gid: str) -> Inode:
        self._numbers += 1
        node = Inode(self._numbers, mode, uid, gid, muid=uid)
        node.atime = node.mtime = node.ctime = self.now
        return node

    # Looking

    def child(self, at: Inode, name: str) -> Inode:
        if not at.is_dir:
            raise DiskError(errors.ENOTDIR)
        if name == "..":
            assert at.parent
            return at.parent
        if name not in at.names:
            raise DiskError(errors.ENOENT)
        return at.names[name][0]

    def find(self, *path: str) -> Inode:
        at = self.root
        for name in path:
            at = self.child(at, name)
        return at

    def read(self, *path: str) -> bytes:
        return bytes(self.find(*path).data)

    def qid(self, node: Inode, salt: int = 0) -> Qid:
        kind = (QTDIR if node.is_dir else 0) | (QTSYMLINK if node.is_link else 0)
        kind |= (QTAPPEND if node.flags & DMAPPEND else 0) | (QTEXCL if node.flags & DMEXCL else 0)
        return Qid(kind, node.version & 0xFFFFFFFF, node.number + salt)

    def attr(self, node: Inode, salt: int = 0) -> Attr:
        length = len(node.target.encode()) if node.is_link else len(node.data)
        return Attr(
            self.qid(node, salt),
            node.mode,
            node.flags,
            node.uid,
            node.gid,
            node.muid,
            length,
            node.atime,
            node.mtime,
            node.ctime,
            nlink=node.nlink,
            rdev=node.rdev,
            blocks=-(-length // BLOCK),
        )

    def entries(self, at: Inode) -> Iterator[tuple[str, Inode, int]]:
        """Names in the order they came, each with its cookie."""
        for name, (node, cookie) in at.names.items():
            yield name, node, cookie

    def allows(self, node: Inode, user: str, want: int) -> bool:
        """`want`: of 4 read, 2 write, 1 execute or search."""
        if user == ROOT_USER:
            return True
        shift = 6 if user == node.uid else 3 if user == node.gid else 0
        return node.mode >> shift & want == want

    def need(self, node: Inode, user: str, want: int) -> None:
        if not self.allows(node, user, want):
            raise DiskError(errors.EACCES)

    # Changing

    def touch(self, node: Inode, user: str) -> None:
        node.version += 1
        node.mtime = node.ctime = self.now
        node.muid = user

    def _room(self, more: int) -> None:
        if self.used + more > self.capacity:
            raise DiskError(errors.ENOSPC)

    def make(
        self,
        at: Inode,
        name: str,
        mode: int,
        user: str,
        gid: str = "",
        flags: int = 0,
        target: str = "",
        rdev: int = 0,
    ) -> Inode:
        if name in at.names:
            raise DiskError(errors.EEXIST)
        self._room(BLOCK)
        node = self._inode(mode, user, gid or user)
        node.flags, node.target, node.rdev = flags, target, rdev
        if node.is_dir:
            node.parent, node.nlink = at, 2
            at.nlink += 1
        self._attach(at, name, node, user)
        self.used += BLOCK
        self.ran.append(("make", name, node.number))
        return node

    def _attach(self, at: Inode, name: str, node: Inode, user: str) -> None:
        at.cookies += 1
        at.names[name] = node, at.cookies
        self.touch(at, user)

    def write(self, node: Inode, offset: int, data: bytes, user: str) -> int:
        end = offset + len(data)
        if end >= 1 << 63:
            raise DiskError(errors.EFBIG)
        self._grow(node, end)
        node.data[offset:end] = data
        self.touch(node, user)
        self.ran.append(("write", node.number, offset, bytes(data)))
        return len(data)

    def _grow(self, node: Inode, end: int) -> None:
        more = max(0, end - len(node.data))
        self._room(more)
        node.data.extend(bytes(more))
        self.used += more

    def truncate(self, node: Inode, length: int, user: str) -> None:
        if length > len(node.data):
            self._grow(node, length)
        self.used -= len(node.data) - length
        del node.data[length:]
        self.touch(node, user)
        self.ran.append(("truncate", node.number, length))

    def unlink(self, at: Inode, name: str, user: str) -> None:
        node = self.child(at, name)
        if node.names:
            raise DiskError(errors.ENOTEMPTY)
        self._detach(at, name, node, user)
        self.ran.append(("unlink", name, node.number))

    def _detach(self, at: Inode, name: str, node: Inode, user: str) -> None:
        del at.names[name]
        at.nlink -= node.is_dir
        node.nlink -= 2 if node.is_dir else 1
        node.ctime = self.now
        if node.nlink <= 0:
            self.used -= BLOCK + len(node.data)
        self.touch(at, user)

    def link(self, at: Inode, name: str, node: Inode, user: str) -> None:
        if name in at.names:
            raise DiskError(errors.EEXIST)
        node.nlink += 1
        self._attach(at, name, node, user)
        self.ran.append(("link", name, node.number))

    def rename(self, at: Inode, name: str, to: Inode, new: str, user: str, replace: bool) -> None:
        node = self.child(at, name)
        up: Inode | None = to
        while up and up is not up.parent:
            if up is node:
                raise DiskError(errors.EINVAL)
            up = up.parent
        if new in to.names:
            old = to.names[new][0]
            if old is node:
                return
            if not replace:
                raise DiskError(errors.EEXIST)
            if old.is_dir != node.is_dir:
                raise DiskError(errors.EISDIR if old.is_dir else errors.ENOTDIR)
            if old.names:
                raise DiskError(errors.ENOTEMPTY)
            self._detach(to, new, old, user)
        del at.names[name]
        if node.is_dir:
            at.nlink -= 1
            to.nlink += 1
            node.parent = to
        self.touch(at, user)
        self._attach(to, new, node, user)
        node.ctime = self.now
        self.ran.append(("rename", name, new, node.number))
