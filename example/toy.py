"""Toy servers to try the head with, and the stand-ins of its tests: bricks, file servers, discovery.

They run on the head's own runtime. What they hear is recorded, and tests may hold answers back.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from garnetlanding.limits import Limits
from garnetlanding.ninep import codec as p9
from garnetlanding.resp import codec as resp
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.listener import Listener, Write
from garnetlanding.runtime.scheduler import Scheduler

Reply = Callable[[bytes], None]


class Toy:
    """What every toy server's connections share; a subclass says what to do with bytes."""

    def __init__(self, server: Server, write: Write) -> None:
        self.server, self.write = server, write
        self.ended = self.session = False
        self.owed = self.bad = 0
        self.taken = self.asked = 1  # a server whose clients may take their time
        self.midway = False

    def feed(self, data: bytes | memoryview) -> None:
        raise NotImplementedError

    def close(self) -> None:
        self.ended = True
        self.server.lost(self)


class Server:
    """A listener on a free port, with the machine of its protocol."""

    def __init__(self, scheduler: Scheduler, pool: BufferPool, limits: Limits, address: str = "127.0.0.1:0",
                 machine: type[Toy] | None = None) -> None:
        self.pool, self.limits = pool, limits
        self.conns: list[Toy] = []
        self.accepted = 0
        self.listener = Listener(scheduler, address, pool, limits, 256, self._make)
        self.address = self.listener.address

    machine: type[Toy]

    def _make(self, write: Write) -> Toy:
        self.accepted += 1
        self.conns.append(self.machine(self, write))
        return self.conns[-1]

    def lost(self, conn: Toy) -> None:
        self.conns.remove(conn)

    def drop(self) -> None:
        """Ends every connection, as a dying process does."""
        for client in list(self.listener._clients):
            client.stream.close()


# A brick: keeps pieces of data in a map.


class BrickConn(Toy):
    server: Brick

    def __init__(self, server: Brick, write: Write) -> None:
        super().__init__(server, write)
        self._decoder = resp.Decoder(server.pool, server.limits, commands_only=True)

    def feed(self, data: bytes | memoryview) -> None:
        for words in self._decoder.feed(data):
            assert isinstance(words, list)
            self.server.command([w for w in words if isinstance(w, bytes)], self)


class Brick(Server):
    machine = BrickConn

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.data: dict[bytes, bytes] = {}
        self.heard: list[list[bytes]] = []
        self.script: list[bytes | None] = []  # answers to give next; None: hold it back
        self.held: list[tuple[list[bytes], BrickConn]] = []

    def command(self, words: list[bytes], conn: BrickConn) -> None:
        self.heard.append(words)
        answer = self.script.pop(0) if self.script else self.serve(words)
        if answer is None:
            self.held.append((words, conn))
        else:
            conn.write(answer)

    def serve(self, words: list[bytes]) -> bytes:
        if words[0].upper() == b"BLK.WRITE" and len(words) == 5:
            self.data[words[1]] = words[4]
            value = b"OK"
        elif words[0].upper() == b"BLK.READ" and len(words) == 4:
            value = self.data.get(words[1], b"")
        else:
            return b"-SYNTAX\r\n"
        return b"*3\r\n" + resp.bulk(value) + resp.bulk(b"used=50") + b"$-1\r\n"

    def release(self) -> None:
        """Answers what was held back and is still waited for."""
        held, self.held = self.held, []
        for words, conn in held:
            conn.write(self.serve(words))


# A file server: a tree of folders (maps) and files (bytes).

Tree = dict[str, Any]


@dataclass
class ToyFid:
    path: tuple[str, ...]
    node: Any
    open: bool = False
    dir_at: int = 0


class FileConn(Toy):
    server: FileServer

    def __init__(self, server: FileServer, write: Write) -> None:
        super().__init__(server, write)
        self._framer = p9.Framer(server.pool, 1 << 17)
        self.fids: dict[int, ToyFid] = {}

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
                self.fids[fid] = ToyFid((), self.server.tree)
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

    def _walk(self, at: ToyFid, newfid: int, names: tuple[str, ...]) -> p9.Message:
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
            self.fids[newfid] = ToyFid(path, node)
        return p9.Rwalk(tuple(qids))

    def _read(self, at: ToyFid, offset: int, count: int) -> p9.Message:
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
            0 if folder else len(node), name, "toy", "toy", "toy"), strict=True))
        return p9.pack("2", len(body)) + body


# Discovery: a list of instances, and watches on it.


class DiscoveryConn(Toy):
    server: Discovery

    def __init__(self, server: Discovery, write: Write) -> None:
        super().__init__(server, write)
        self._text = b""
        self.following = False

    def feed(self, data: bytes | memoryview) -> None:
        self._text += bytes(data)
        while b"\r\n\r\n" in self._text:
            request, _, self._text = self._text.partition(b"\r\n\r\n")
            self.following = b"follow=1" in request
            self.server.calls.append(request.split(b" ")[1].decode())
            self.server.answer(self)

    def line(self, text: bytes) -> None:
        self.write(b"%x\r\n%b\r\n" % (len(text) + 1, text + b"\n"))


@dataclass
class Box:
    """One instance in the list."""

    name: str
    address: str
    cell: int
    state: str = "SERVING"
    extra: dict[str, Any] = field(default_factory=dict)

    def entry(self) -> dict[str, Any]:
        return {"instanceId": self.name, "hostPort": self.address, "zone": "a", "machineType": "toy",
                "cell": self.cell, "lifecycle": self.state, "weight": 1.0, "startedAtMs": 0, **self.extra}


class Discovery(Server):
    machine = DiscoveryConn

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.version = 1
        self.boxes: list[Box] = []
        self.calls: list[str] = []
        self.down = False

    def listing(self, boxes: list[Box], whole: bool) -> dict[str, Any]:
        return {"generation": self.version, "reset": whole, "instances": [b.entry() for b in boxes]}

    def answer(self, conn: DiscoveryConn) -> None:
        body = json.dumps(self.listing(self.boxes, True)).encode()
        if self.down:
            conn.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif conn.following:
            conn.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            conn.line(body)
        else:
            conn.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def tell(self, *boxes: Box) -> None:
        """Tells every watch of the boxes that changed."""
        self.version += 1
        self._say(json.dumps(self.listing(list(boxes), False)).encode())

    def beat(self) -> None:
        """Nothing has changed: an empty line shows that the watch stands."""
        self._say(b"")

    def _say(self, text: bytes) -> None:
        for conn in self.conns:
            if isinstance(conn, DiscoveryConn) and conn.following:
                conn.line(text)
