"""The in-memory file system of emulated file servers, with permissions and a limited capacity.

Several servers may share one disk, as replicas of shared storage do. Every change is recorded in `changes`,
so that a checker can count how often each operation took effect.
"""

from __future__ import annotations

import stat
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from garnetlanding.ninep import errors
from garnetlanding.ninep.codec import QTAPPEND, QTDIR, QTEXCL, QTSYMLINK, Qid
from garnetlanding.ninep.model import DMAPPEND, DMEXCL, FileAttributes, Timestamp

Tree = dict[str, Any]  # by name: a dict for a directory, bytes for a file
ROOT_USER = "root"
BLOCK = 512  # bytes
READ = 4  # permissions, as in a mode's three bits
WRITE = 2
SEARCH = 1  # or execute


class DiskError(Exception):
    """A failed operation; `problem` has the POSIX error number and the 9P2000 text."""

    def __init__(self, number: int, text: str = "") -> None:
        super().__init__(number, text)
        self.problem = errors.ErrorReply(number, text)


@dataclass(eq=False, slots=True)
class Inode:
    """A file, directory, symbolic link or device: its attributes and contents."""

    number: int
    mode: int  # as in POSIX
    uid: str
    gid: str
    flags: int = 0  # DMAPPEND, DMEXCL
    data: bytearray = field(default_factory=bytearray)
    names: dict[str, tuple[Inode, int]] = field(default_factory=dict)  # of a directory: inode and cookie
    parent: Inode | None = None  # of a directory
    target: str = ""
    rdev: int = 0
    nlink: int = 1
    version: int = 0
    muid: str = ""
    atime: Timestamp = Timestamp(0)
    mtime: Timestamp = Timestamp(0)
    ctime: Timestamp = Timestamp(0)
    last_cookie: int = 2  # of a directory's entries; 1 and 2 are `.` and `..`

    @property
    def is_dir(self) -> bool:
        """Whether this is a directory."""
        return stat.S_ISDIR(self.mode)

    @property
    def is_link(self) -> bool:
        """Whether this is a symbolic link."""
        return stat.S_ISLNK(self.mode)


@dataclass(frozen=True, slots=True)
class InodeExtras:
    """Optional attributes of a new inode: 9P2000 flags, the target of a Tsymlink, the rdev of a Tmknod."""

    gid: str = ""  # empty: the user's
    flags: int = 0  # DMAPPEND, DMEXCL
    target: str = ""
    rdev: int = 0


NO_EXTRAS = InodeExtras()


class Disk:
    """A tree of inodes with a clock and a capacity in bytes; a failed operation raises DiskError."""

    def __init__(
        self, tree: Tree | None = None, capacity: int = 1 << 30, clock: Callable[[], int] = lambda: 0
    ) -> None:
        """`clock` returns microseconds."""
        self.capacity = capacity
        self._clock = clock
        self._last_number = 0
        self.used = 0
        self.changes: list[tuple[Any, ...]] = []
        self.root = self._inode(stat.S_IFDIR | 0o777, ROOT_USER, ROOT_USER)
        self.root.parent = self.root
        self._fill(self.root, tree or {})
        self.changes.clear()

    def _fill(self, directory: Inode, tree: Tree) -> None:
        for name, value in tree.items():
            if isinstance(value, dict):
                self._fill(self.make(directory, name, stat.S_IFDIR | 0o777, ROOT_USER), value)
            else:
                self.write(self.make(directory, name, stat.S_IFREG | 0o666, ROOT_USER), 0, value, ROOT_USER)

    @property
    def now(self) -> Timestamp:
        """The clock's time in the form of file attributes."""
        return Timestamp(self._clock() // 1_000_000, self._clock() % 1_000_000 * 1000)

    def _inode(self, mode: int, uid: str, gid: str) -> Inode:
        self._last_number += 1
        node = Inode(self._last_number, mode, uid, gid, muid=uid)
        node.atime = node.mtime = node.ctime = self.now
        return node

    # Reading

    def child(self, directory: Inode, name: str) -> Inode:
        """Return the inode with this name in a directory, for one step of Twalk."""
        if not directory.is_dir:
            raise DiskError(errors.ENOTDIR)
        if name == "..":
            assert directory.parent
            return directory.parent
        if name not in directory.names:
            raise DiskError(errors.ENOENT)
        return directory.names[name][0]

    def find(self, *path: str) -> Inode:
        """Return the inode at a path from the root, without permission checks."""
        directory = self.root
        for name in path:
            directory = self.child(directory, name)
        return directory

    def read(self, *path: str) -> bytes:
        """Return the contents of the file at a path."""
        return bytes(self.find(*path).data)

    def qid(self, node: Inode, qid_offset: int = 0) -> Qid:
        """Return an inode's qid; `qid_offset` is added to its path."""
        kind = (QTDIR if node.is_dir else 0) | (QTSYMLINK if node.is_link else 0)
        kind |= (QTAPPEND if node.flags & DMAPPEND else 0) | (QTEXCL if node.flags & DMEXCL else 0)
        return Qid(kind, node.version & 0xFFFFFFFF, node.number + qid_offset)

    def attr(self, node: Inode, qid_offset: int = 0) -> FileAttributes:
        """Return an inode's attributes, as Tstat and Tgetattr report them."""
        length = len(node.target.encode()) if node.is_link else len(node.data)
        return FileAttributes(
            self.qid(node, qid_offset),
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

    def entries(self, directory: Inode) -> Iterator[tuple[str, Inode, int]]:
        """Yield name, inode and cookie of each entry, in order of creation."""
        for name, (node, cookie) in directory.names.items():
            yield name, node, cookie

    def allows(self, node: Inode, user: str, permissions: int) -> bool:
        """Return whether the user has all these permissions, a combination of READ, WRITE and SEARCH."""
        if user == ROOT_USER:
            return True
        if user == node.uid:
            shift = 6
        elif user == node.gid:
            shift = 3
        else:
            shift = 0
        return node.mode >> shift & permissions == permissions

    def check_permission(self, node: Inode, user: str, permissions: int) -> None:
        """Raise EACCES unless the user has these permissions."""
        if not self.allows(node, user, permissions):
            raise DiskError(errors.EACCES)

    # Changes

    def touch(self, node: Inode, user: str) -> None:
        """Update version, times and muid of an inode whose contents a user has changed."""
        node.version += 1
        node.mtime = node.ctime = self.now
        node.muid = user

    def _check_capacity(self, added_bytes: int) -> None:
        if self.used + added_bytes > self.capacity:
            raise DiskError(errors.ENOSPC)

    def make(
        self, directory: Inode, name: str, mode: int, user: str, extras: InodeExtras = NO_EXTRAS
    ) -> Inode:
        """Create an inode in a directory, for Tcreate, Tlcreate, Tmkdir, Tmknod and Tsymlink."""
        if name in directory.names:
            raise DiskError(errors.EEXIST)
        self._check_capacity(BLOCK)
        node = self._inode(mode, user, extras.gid or user)
        node.flags = extras.flags
        node.target = extras.target
        node.rdev = extras.rdev
        if node.is_dir:
            node.parent = directory
            node.nlink = 2
            directory.nlink += 1
        self._add_name(directory, name, node, user)
        self.used += BLOCK
        self.changes.append(("make", name, node.number))
        return node

    def _add_name(self, directory: Inode, name: str, node: Inode, user: str) -> None:
        directory.last_cookie += 1
        directory.names[name] = node, directory.last_cookie
        self.touch(directory, user)

    def write(self, node: Inode, offset: int, data: bytes, user: str) -> int:
        """Write bytes at an offset, for Twrite, and return how many; a gap is filled with zeros."""
        end = offset + len(data)
        if end >= 1 << 63:
            raise DiskError(errors.EFBIG)
        self._grow(node, end)
        node.data[offset:end] = data
        self.touch(node, user)
        self.changes.append(("write", node.number, offset, bytes(data)))
        return len(data)

    def _grow(self, node: Inode, end: int) -> None:
        added_bytes = max(0, end - len(node.data))
        self._check_capacity(added_bytes)
        node.data.extend(bytes(added_bytes))
        self.used += added_bytes

    def truncate(self, node: Inode, length: int, user: str) -> None:
        """Set the length of a file in bytes, for Twstat, Tsetattr and opening with truncation."""
        if length > len(node.data):
            self._grow(node, length)
        self.used -= len(node.data) - length
        del node.data[length:]
        self.touch(node, user)
        self.changes.append(("truncate", node.number, length))

    def unlink(self, directory: Inode, name: str, user: str) -> None:
        """Remove a name from a directory, for Tremove and Tunlinkat; a directory must be empty."""
        node = self.child(directory, name)
        if node.names:
            raise DiskError(errors.ENOTEMPTY)
        self._remove_name(directory, name, node, user)
        self.changes.append(("unlink", name, node.number))

    def _remove_name(self, directory: Inode, name: str, node: Inode, user: str) -> None:
        del directory.names[name]
        directory.nlink -= node.is_dir
        node.nlink -= 2 if node.is_dir else 1
        node.ctime = self.now
        if node.nlink <= 0:
            self.used -= BLOCK + len(node.data)
        self.touch(directory, user)

    def link(self, directory: Inode, name: str, node: Inode, user: str) -> None:
        """Add a name to an inode, for Tlink."""
        if name in directory.names:
            raise DiskError(errors.EEXIST)
        node.nlink += 1
        self._add_name(directory, name, node, user)
        self.changes.append(("link", name, node.number))

    def rename(
        self, directory: Inode, name: str, new_directory: Inode, new_name: str, user: str, replace: bool
    ) -> None:
        """Move an entry to another directory or name, for Twstat, Trename and Trenameat.

        With `replace`, a file may replace a file, and a directory an empty directory. A directory cannot be
        moved below itself.
        """
        node = self.child(directory, name)
        self._check_not_below(node, new_directory)
        if new_name in new_directory.names:
            replaced = new_directory.names[new_name][0]
            if replaced is node:
                return
            self._check_replaceable(replaced, node, replace)
            self._remove_name(new_directory, new_name, replaced, user)
        del directory.names[name]
        if node.is_dir:
            directory.nlink -= 1
            new_directory.nlink += 1
            node.parent = new_directory
        self.touch(directory, user)
        self._add_name(new_directory, new_name, node, user)
        node.ctime = self.now
        self.changes.append(("rename", name, new_name, node.number))

    @staticmethod
    def _check_not_below(node: Inode, directory: Inode) -> None:
        ancestor: Inode | None = directory
        while ancestor and ancestor is not ancestor.parent:
            if ancestor is node:
                raise DiskError(errors.EINVAL)
            ancestor = ancestor.parent

    @staticmethod
    def _check_replaceable(old: Inode, node: Inode, replace: bool) -> None:
        if not replace:
            raise DiskError(errors.EEXIST)
        if old.is_dir != node.is_dir:
            raise DiskError(errors.EISDIR if old.is_dir else errors.ENOTDIR)
        if old.names:
            raise DiskError(errors.ENOTEMPTY)
