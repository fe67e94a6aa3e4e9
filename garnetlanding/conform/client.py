"""The client that cases use: a session with a server, and file operations in either dialect."""

from __future__ import annotations

import stat
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
LAST_RESERVED_FID = 100  # `new_fid` allocates fids above this one; cases may use lower fids freely
MAX_READ_BYTES = 1 << 20  # longer than any file that a case reads back


class Client(Connection):
    """A connection with a 9P session. `connect` opens another transport to the same server.

    The files of a case are in `scratch_directory` in the root of the tree; paths in arguments are relative
    to it. Methods without a dialect in their name work in both dialects. Methods that send a request fail the
    case if the reply is an error, unless they say otherwise.
    """

    def __init__(self, connect: Callable[[], Transport], options: Options) -> None:
        super().__init__(connect(), options)
        self.connect = connect
        self.msize = 0  # bytes, as negotiated; 0 before negotiation
        self.scratch_directory = ""
        self._last_fid = LAST_RESERVED_FID

    # Sessions

    def negotiate(self) -> None:
        """Negotiate version and msize; the case is unsupported if the server lacks the version."""
        reply = self.call(p9.Rversion, p9.Tversion(self.options.msize, self.options.version), p9.NOTAG)
        if reply.version != self.options.version:
            raise UnsupportedError(f"the server negotiated version {reply.version!r}")
        self.msize = reply.msize

    def attach(self, fid: int = ROOT) -> p9.Qid:
        """Attach the fid to the root of the tree and return its qid."""
        return self.call(p9.Rattach, self.attach_message(fid)).qid

    def attach_message(self, fid: int, afid: int = p9.NOFID) -> p9.Message:
        """Return the dialect's attach message, with the user and tree from the options."""
        options = self.options
        if self.linux:
            return p9l.Tlattach(fid, afid, options.uname, options.aname, options.uid)
        return p9.Tattach(fid, afid, options.uname, options.aname)

    def connect_second_client(self) -> Client:
        """Open a second connection, attached to the same tree with the same scratch directory."""
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
        """Walk to the path, at most MAX_WALK_NAMES names at a time, and return its new fid."""
        fid = self.new_fid()
        source = ROOT
        path = (self.scratch_directory, *names)
        for start in range(0, len(path), p9.MAX_WALK_NAMES):
            step_names = path[start : start + p9.MAX_WALK_NAMES]
            walked = self.call(p9.Rwalk, p9.Twalk(source, fid, step_names))
            check(
                len(walked.qids) == len(step_names),
                f"the walk to {'/'.join(names)} stopped before its last name",
            )
            source = fid
        return fid

    def exists(self, *names: str) -> bool:
        """Return whether the path can be walked to; errors count as absence."""
        fid = self.new_fid()
        reply = self.request(p9.Twalk(ROOT, fid, (self.scratch_directory, *names)))
        found = isinstance(reply, p9.Rwalk) and len(reply.qids) == 1 + len(names)
        if found:
            self.clunk(fid)
        return found

    def clunk(self, fid: int) -> None:
        """Clunk the fid."""
        self.call(p9.Rclunk, p9.Tclunk(fid))

    def remove(self, fid: int) -> None:
        """Remove the file of the fid, which also clunks the fid."""
        self.call(p9.Rremove, p9.Tremove(fid))

    # Files

    def open_message(self, fid: int, access: int = p9.OREAD, truncate: bool = False) -> p9.Message:
        """Return the dialect's open message."""
        if self.linux:
            return p9l.Tlopen(fid, access | (p9l.L_TRUNC if truncate else 0))
        return p9.Topen(fid, access | (p9.OTRUNC if truncate else 0))

    def open(self, fid: int, access: int = p9.OREAD, truncate: bool = False) -> p9.Qid:
        """Open the fid and return the qid in the reply."""
        reply = self.request(self.open_message(fid, access, truncate))
        if self.linux:
            return self.expect(p9l.Rlopen, reply).qid
        return self.expect(p9.Ropen, reply).qid

    def create_message(
        self, fid: int, name: str, permissions: int = 0o644, access: int = p9.ORDWR
    ) -> p9.Message:
        """Return the dialect's message that creates a new file in the directory of the fid."""
        if self.linux:
            flags = access | p9l.L_CREATE | p9l.L_EXCL
            return p9l.Tlcreate(fid, name, flags, permissions, p9l.NOGID)
        return p9.Tcreate(fid, name, permissions, access)

    def expect_created(self, reply: p9.Message) -> p9.Qid:
        """Return the new file's qid; fail the case unless the reply confirms the create."""
        if self.linux:
            return self.expect(p9l.Rlcreate, reply).qid
        return self.expect(p9.Rcreate, reply).qid

    def create_file(
        self, name: str, data: bytes = b"", permissions: int = 0o644, *parent: str, access: int = p9.ORDWR
    ) -> int:
        """Create a file with the content in the directory `parent` and return its open fid."""
        fid = self.walk_to(*parent)
        self.expect_created(self.request(self.create_message(fid, name, permissions, access)))
        if data:
            self.write(fid, data)
        return fid

    def write(self, fid: int, data: bytes, offset: int = 0) -> None:
        """Write all the data, split into messages that fit in msize."""
        max_count = self.msize - p9.IO_HEADER_BYTES
        written = 0
        while written < len(data):
            chunk = data[written : written + max_count]
            count = self.call(p9.Rwrite, p9.Twrite(fid, offset + written, chunk)).count
            check(0 < count <= len(chunk), f"the server reports {count} of {len(chunk)} bytes as written")
            written += count

    def read(self, fid: int, offset: int = 0, limit: int = MAX_READ_BYTES) -> bytes:
        """Return the content of the file from the offset on, at most `limit` bytes."""
        content = b""
        while len(content) < limit:
            count = min(limit - len(content), self.msize - p9.IO_HEADER_BYTES)
            data = self.call(p9.Rread, p9.Tread(fid, offset + len(content), count)).data
            if not data:
                break
            content += data
        return content

    def read_file(self, *names: str) -> bytes:
        """Return the content of the file at the path, read through a new fid."""
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
        except ValueError as error:
            raise CaseFailedError(f"malformed stat: {error}") from error

    def linux_attributes(self, fid: int) -> p9l.Rgetattr:
        """Return the file's basic attributes (9P2000.L)."""
        return self.call(p9l.Rgetattr, p9l.Tgetattr(fid, p9l.GETATTR_BASIC))

    def attributes(self, fid: int) -> FileAttributes:
        """Return the attributes that exist in both dialects."""
        if self.linux:
            linux = self.linux_attributes(fid)
            permissions = stat.S_IMODE(linux.mode)
            return FileAttributes(linux.qid, stat.S_ISDIR(linux.mode), permissions, linux.size, linux.mtime_s)
        plain = self.stat(fid)
        return FileAttributes(
            plain.qid, bool(plain.mode & DMDIR), plain.mode & 0o777, plain.length, plain.mtime
        )

    def set_permissions(self, fid: int, permissions: int) -> None:
        """Change the permissions of the file."""
        if self.linux:
            self.call(p9l.Rsetattr, p9l.Tsetattr(fid, p9l.SETATTR_MODE, permissions, 0, 0, 0, 0, 0, 0, 0))
            return
        directory_bit = DMDIR if self.attributes(fid).is_dir else 0
        self.call(p9.Rwstat, p9.Twstat(fid, StatChange(mode=permissions | directory_bit).encode()))

    # Directories

    def create_directory(self, name: str, *parent: str, permissions: int = 0o755) -> None:
        """Create a directory in the directory `parent`."""
        fid = self.walk_to(*parent)
        if self.linux:
            self.call(p9l.Rmkdir, p9l.Tmkdir(fid, name, permissions, p9l.NOGID))
        else:
            self.call(p9.Rcreate, p9.Tcreate(fid, name, DMDIR | permissions, p9.OREAD))
        self.clunk(fid)

    def list_directory(self, fid: int, count: int = 0) -> list[tuple[str, p9.Qid]]:
        """Return the names and qids in an open directory, without `.` and `..`.

        `count` is the number of bytes requested per read; 0 requests as many as fit in msize.
        """
        entries = self.read_directory(fid, count or self.msize - p9.IO_HEADER_BYTES)
        return [(entry.name, entry.qid) for entry in entries if entry.name not in (".", "..")]

    def read_directory(self, fid: int, count: int) -> list[DirectoryEntry]:
        """Return all entries of an open directory, requesting `count` bytes per read."""
        entries: list[DirectoryEntry] = []
        offset = 0
        while True:
            data = self._read_directory_bytes(fid, offset, count)
            check(len(data) <= count, f"{len(data)} bytes of directory entries received, {count} requested")
            if not data:
                return entries
            received = self.parse_directory(data, offset)
            entries += received
            check(received[-1].cookie != offset, "a read of the directory did not advance the offset")
            offset = received[-1].cookie

    def _read_directory_bytes(self, fid: int, offset: int, count: int) -> bytes:
        if self.linux:
            return self.call(p9l.Rreaddir, p9l.Treaddir(fid, offset, count)).data
        return self.call(p9.Rread, p9.Tread(fid, offset, count)).data

    def parse_directory(self, data: bytes, offset: int) -> list[DirectoryEntry]:
        """Return the entries in the data of one reply to a read at the offset."""
        try:
            return read_entries(data) if self.linux else _parse_stats(data, offset)
        except ValueError as error:
            raise CaseFailedError(f"malformed directory entries: {error}") from error


def _parse_stats(data: bytes, offset: int) -> list[DirectoryEntry]:
    """Return the entries of a 9P2000 directory, a sequence of stats. Raises ValueError if malformed."""
    entries = []
    reader = p9.FieldReader(data)
    while reader.remaining:
        size = reader.read_int(2)
        raw_stat = parse_stat(p9.pack_field("2", size) + reader.read_bytes(size))
        entries.append(DirectoryEntry(raw_stat.name, raw_stat.qid, offset + len(data) - reader.remaining))
    return entries
