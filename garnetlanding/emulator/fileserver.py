"""A 9P file server on a tree of folders (maps) and files (bytes)."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from garnetlanding.emulator.base import Conn, Server
from garnetlanding.ninep import codec as p9
from garnetlanding.runtime.listener import Write

Tree = dict[str, Any]


@dataclass
class OpenFid:
    path: tuple[str, ...]
    node: Any
    open: bool = False
    dir_at: int = 0


class FileConn(Conn):
    server: FileServer

    def __init__(self, server: FileServer, write: Write) -> None:
        super().__init__(server, write)
        self._framer = p9.Framer(server.pool, 1 << 17)
        self.fids: dict[int, OpenFid] = {}

    def feed(self, data: bytes | memoryview) -> None:
        for tag, message in self._framer.feed(data):
            assert not isinstance(message, p9.Malformed), message
            self.server.heard.append(message)
            if self.server.hold and self.server.hold(message):
                self.server.held.append((tag, message, self))
            else:
                self.answer(tag, message)

    def answer(self, tag: int, message: p9.Message) -> None:
        if not self.ended:
            self.write(p9.encode(tag, self._reply(message)))

    def _reply(self, message: p9.Message) -> p9.Message:
        match message:
            case p9.Tversion(msize):
                return p9.Rversion(min(msize, self.server.msize), p9.VERSION)
            case p9.Tattach(fid):
                self.fids[fid] = OpenFid((), self.server.tree)
                return p9.Rattach(self.server.qid((), self.server.tree))
            case p9.Twalk(fid, newfid, names):
                return self._walk(self.fids[fid], newfid, names)
            case p9.Topen(fid):
                at = self.fids[fid]
                at.open = True
                return p9.Ropen(self.server.qid(at.path, at.node), 0)
            case p9.Tread(fid, offset, count):
                return self._read(self.fids[fid], offset, count)
            case p9.Tstat(fid):
                return p9.Rstat(self.server.stat(self.fids[fid].path, self.fids[fid].node))
            case p9.Tclunk(fid):
                return p9.Rclunk() if self.fids.pop(fid, None) else p9.Rerror("unknown fid")
        return p9.Rerror("not served here")

    def _walk(self, at: OpenFid, newfid: int, names: tuple[str, ...]) -> p9.Message:
        path, node, qids = at.path, at.node, []
        for name in names:
            if name == "..":
                path = path[:-1]
                node = self.server.tree
                for part in path:
                    node = node[part]
            elif isinstance(node, dict) and name in node:
                path, node = (*path, name), node[name]
            else:
                break
            qids.append(self.server.qid(path, node))
        if names and not qids:
            return p9.Rerror("file does not exist")
        if len(qids) == len(names):
            self.fids[newfid] = OpenFid(path, node)
        return p9.Rwalk(tuple(qids))

    def _read(self, at: OpenFid, offset: int, count: int) -> p9.Message:
        if not at.open:
            return p9.Rerror("not open")
        if isinstance(at.node, bytes):
            return p9.Rread(at.node[offset:offset + count])
        if offset != at.dir_at:
            return p9.Rerror("bad offset in directory read")
        out, position = b"", 0
        for name, child in sorted(at.node.items()):
            entry = self.server.stat((*at.path, name), child)
            if position >= offset and len(out) + len(entry) <= count:
                out += entry
            elif position >= offset:
                break
            position += len(entry)
        at.dir_at += len(out)
        return p9.Rread(out)


class FileServer(Server):
    machine = FileConn

    def __init__(self, *args: Any, tree: Tree | None = None, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.tree: Tree = {} if tree is None else tree
        self.msize = 1 << 16
        self.heard: list[p9.Message] = []
        self.hold: Callable[[p9.Message], bool] | None = None
        self.held: list[tuple[int, p9.Message, FileConn]] = []

    def release(self) -> None:
        held, self.held, self.hold = self.held, [], None
        for tag, message, conn in held:
            conn.answer(tag, message)

    @staticmethod
    def qid(path: tuple[str, ...], node: Any) -> p9.Qid:
        # Stable over servers and restarts, as for replicas made from one image.
        number = zlib.crc32("/".join(path).encode())
        return p9.Qid(p9.QTDIR if isinstance(node, dict) else 0, 0, number)

    def stat(self, path: tuple[str, ...], node: Any) -> bytes:
        folder, name = isinstance(node, dict), path[-1] if path else "/"
        body = b"".join(p9.pack(kind, value) for kind, value in zip("24q4448ssss", (
            0, 0, self.qid(path, node), 0x80000000 | 0o555 if folder else 0o444, 0, 0,
            0 if folder else len(node), name, "emulated", "emulated", "emulated"), strict=True))
        return p9.pack("2", len(body)) + body
