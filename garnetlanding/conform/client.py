"""The client that cases are written with: a session with a server, and files in either dialect."""

from __future__ import annotations

import stat as posix
from collections.abc import Callable

from garnetlanding.conform.connection import Connection, Options
from garnetlanding.conform.descriptions import FileAttributes
from garnetlanding.conform.errors import CaseFailedError, UnsupportedError, check
from garnetlanding.conform.stat_change import StatChange
from garnetlanding.conform.transport import Transport
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep.attribute_format import read_entries
from garnetlanding.ninep.model import DMDIR, DirectoryEntry
from garnetlanding.ninep.stat_format import RawStat, parse_stat

ROOT = 0  # the fid of the tree's root
FIRST_FID = 100  # of those that new_fid gives; cases may use the lower ones
READ_ALL = 1 << 20  # bytes; no file that a case reads back is longer


class Client(Connection):
    """A connection with a session on it. `connect` opens another transport to the same server.

    A case's files are in `scratch_directory` at the top of the tree; the paths that methods take are
    relative to it. Methods without a dialect in their name do the same thing by either dialect's messages,
    and fail the case when the server answers otherwise than with success.
    """

    def __init__(self, connect: Callable[[], Transport], options: Options) -> None:
        super().__init__(connect(), options)
        self.connect = connect
        self.msize = 0  # as agreed on; 0 before
        self.scratch_directory = ""
        self._last_fid = FIRST_FID

    # Sessions

    def negotiate(self) -> None:
        """Agree on the version and the msize; a server without this version makes the case unsupported."""
        version = self.call(p9.Rversion, p9.Tversion(self.options.msize, self.options.version), p9.NOTAG)
        if version.version != self.options.version:
            raise UnsupportedError(f"the server speaks {version.version!r}")
        self.msize = version.msize

    def attach(self, fid: int = ROOT) -> p9.Qid:
        """Attach the fid to the tree's root and return the root's qid."""
        return self.call(p9.Rattach, self.attach_message(fid)).qid

    def attach_message(self, fid: int, afid: int = p9.NOFID) -> p9.Message:
        """Return the dialect's Tattach, with the user and the tree of the options."""
        options = self.options
        if self.linux:
            return p9l.Tlattach(fid, afid, options.uname, options.aname, options.uid)
        return p9.Tattach(fid, afid, options.uname, options.aname)

    def connect_again(self) -> Client:
        """Return a second client, attached to the same tree with the same scratch directory."""
        client = Client(self.connect, self.options)
        client.negotiate()
        client.attach()
        client.scratch_directory = self.scratch_directory
        return client

    # Fids

    def new_fid(self) -> int:
        """Return a fid that has not been used on this connection."""
        self._last_fid += 1
        return self._last_fid

    def walk_to(self, *names: str) -> int:
        """Return a new fid for a path, reached in walks of at most sixteen names."""
        fid = self.new_fid()
        source = ROOT
        path = (self.scratch_directory, *names)
        for start in range(0, len(path), p9.MAX_WALK_NAMES):
            step = path[start : start + p9.MAX_WALK_NAMES]
            walked = self.call(p9.Rwalk, p9.Twalk(source, fid, step))
            check(len(walked.qids) == len(step), f"a walk to {'/'.join(names)} came only part of the way")
            source = fid
        return fid

    def exists(self, *names: str) -> bool:
        """Return whether a walk reaches the path."""
        fid = self.new_fid()
        reply = self.request(p9.Twalk(ROOT, fid, (self.scratch_directory, *names)))
        found = isinstance(reply, p9.Rwalk) and len(reply.qids) == 1 + len(names)
        if found:
            self.clunk(fid)
        return found

    def clunk(self, fid: int) -> None:
        """Give up a fid."""
        self.call(p9.Rclunk, p9.Tclunk(fid))

    def remove(self, fid: int) -> None:
        """Remove the fid's file, and the fid with it."""
        self.call(p9.Rremove, p9.Tremove(fid))

    # Files

    def open_message(self, fid: int, access: int = p9.OREAD, truncate: bool = False) -> p9.Message:
        """Return the dialect's message that opens a fid."""
        if self.linux:
            return p9l.Tlopen(fid, access | (p9l.L_TRUNC if truncate else 0))
        return p9.Topen(fid, access | (p9.OTRUNC if truncate else 0))

    def open(self, fid: int, access: int = p9.OREAD, truncate: bool = False) -> p9.Qid:
        """Open a fid and return the qid of the reply."""
        reply = self.request(self.open_message(fid, access, truncate))
        if self.linux:
            return self.expect(p9l.Rlopen, reply).qid
        return self.expect(p9.Ropen, reply).qid

    def create_message(
        self, fid: int, name: str, permissions: int = 0o644, access: int = p9.ORDWR
    ) -> p9.Message:
        """Return the dialect's message that creates a file in the fid's directory; it must not exist."""
        if self.linux:
            flags = access | p9l.L_CREATE | p9l.L_EXCL
            return p9l.Tlcreate(fid, name, flags, permissions, p9l.NOGID)
        return p9.Tcreate(fid, name, permissions, access)

    def expect_created(self, reply: p9.Message) -> p9.Qid:
        """Return the new file's qid from the reply, which must be the dialect's reply to a create."""
        if self.linux:
            return self.expect(p9l.Rlcreate, reply).qid
        return self.expect(p9.Rcreate, reply).qid

    def create_file(
        self, name: str, data: bytes = b"", permissions: int = 0o644, *below: str, access: int = p9.ORDWR
    ) -> int:
        """Create a file with this content in the directory `below` and return its fid, which is open."""
        fid = self.walk_to(*below)
        self.expect_created(self.request(self.create_message(fid, name, permissions, access)))
        if data:
            self.write(fid, data)
        return fid

    def write(self, fid: int, data: bytes, offset: int = 0) -> None:
        """Write all the data, in as many messages as it takes."""
        max_count = self.msize - p9.IO_HEADER_BYTES
        written = 0
        while written < len(data):
            piece = data[written : written + max_count]
            count = self.call(p9.Rwrite, p9.Twrite(fid, offset + written, piece)).count
            check(0 < count <= len(piece), f"{count} bytes written of {len(piece)}")
            written += count

    def read(self, fid: int, offset: int = 0, limit: int = READ_ALL) -> bytes:
        """Return what is in the file from an offset on, up to the limit in bytes."""
        content = b""
        while len(content) < limit:
            count = min(limit - len(content), self.msize - p9.IO_HEADER_BYTES)
            data = self.call(p9.Rread, p9.Tread(fid, offset + len(content), count)).data
            if not data:
                break
            content += data
        return content

    def read_file(self, *names: str) -> bytes:
        """Return the content of the file at the path, read through a fid of its own."""
        fid = self.walk_to(*names)
        self.open(fid)
        data = self.read(fid)
        self.clunk(fid)
        return data

    # Attributes

    def stat(self, fid: int) -> RawStat:
        """Return the file's stat (9P2000)."""
        try:
            return parse_stat(self.call(p9.Rstat, p9.Tstat(fid)).stat)
        except ValueError as problem:
            raise CaseFailedError(f"a stat that cannot be read: {problem}") from problem

    def linux_attributes(self, fid: int) -> p9l.Rgetattr:
        """Return the file's basic attributes (9P2000.L)."""
        return self.call(p9l.Rgetattr, p9l.Tgetattr(fid, p9l.GETATTR_BASIC))

    def attributes(self, fid: int) -> FileAttributes:
        """Return the attributes that both dialects have."""
        if self.linux:
            found = self.linux_attributes(fid)
            permissions = posix.S_IMODE(found.mode)
            return FileAttributes(
                found.qid, posix.S_ISDIR(found.mode), permissions, found.size, found.mtime_s
            )
        stat = self.stat(fid)
        return FileAttributes(stat.qid, bool(stat.mode & DMDIR), stat.mode & 0o777, stat.length, stat.mtime)

    def set_permissions(self, fid: int, permissions: int) -> None:
        """Change the file's permissions and nothing else."""
        if self.linux:
            self.call(p9l.Rsetattr, p9l.Tsetattr(fid, p9l.SETATTR_MODE, permissions, 0, 0, 0, 0, 0, 0, 0))
            return
        directory_bit = DMDIR if self.attributes(fid).is_dir else 0
        self.call(p9.Rwstat, p9.Twstat(fid, StatChange(mode=permissions | directory_bit).encode()))

    # Directories

    def create_directory(self, name: str, *below: str, permissions: int = 0o755) -> None:
        """Create a directory in the directory `below`."""
        fid = self.walk_to(*below)
        if self.linux:
            self.call(p9l.Rmkdir, p9l.Tmkdir(fid, name, permissions, p9l.NOGID))
        else:
            self.call(p9.Rcreate, p9.Tcreate(fid, name, DMDIR | permissions, p9.OREAD))
        self.clunk(fid)

    def list_directory(self, fid: int, count: int = 0) -> list[tuple[str, p9.Qid]]:
        """Return names and qids in an open directory, without `.` and `..`.

        `count` is the number of bytes asked for at a time; 0: as many as a message holds.
        """
        entries = self.read_directory(fid, count or self.msize - p9.IO_HEADER_BYTES)
        return [(entry.name, entry.qid) for entry in entries if entry.name not in (".", "..")]

    def read_directory(self, fid: int, count: int) -> list[DirectoryEntry]:
        """Return all entries of an open directory, read `count` bytes at a time."""
        entries: list[DirectoryEntry] = []
        offset = 0
        while True:
            data = self._read_directory_bytes(fid, offset, count)
            check(len(data) <= count, f"{len(data)} bytes of directory, {count} asked for")
            if not data:
                return entries
            piece = self.parse_directory(data, offset)
            entries += piece
            check(piece[-1].cookie != offset, "the directory does not go on")
            offset = piece[-1].cookie

    def _read_directory_bytes(self, fid: int, offset: int, count: int) -> bytes:
        if self.linux:
            return self.call(p9l.Rreaddir, p9l.Treaddir(fid, offset, count)).data
        return self.call(p9.Rread, p9.Tread(fid, offset, count)).data

    def parse_directory(self, data: bytes, offset: int) -> list[DirectoryEntry]:
        """Return the entries in the data of one reply, which was read at this offset."""
        try:
            return read_entries(data) if self.linux else _parse_stats(data, offset)
        except ValueError as problem:
            raise CaseFailedError(f"directory entries that cannot be read: {problem}") from problem


def _parse_stats(data: bytes, offset: int) -> list[DirectoryEntry]:
    """Return the entries of a 9P2000 directory, stats one after another; ValueError when one is malformed."""
    entries = []
    reader = p9.FieldReader(data)
    while reader.remaining:
        size = reader.read_int(2)
        stat = parse_stat(p9.pack_field("2", size) + reader.read_bytes(size))
        entries.append(DirectoryEntry(stat.name, stat.qid, offset + len(data) - reader.remaining))
    return entries
