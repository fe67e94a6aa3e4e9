"""A brick: keeps pieces of data in a map. Tests may script its answers or hold them back."""

from __future__ import annotations

from typing import Any

from garnetlanding.emulator.base import Conn, Server
from garnetlanding.resp import codec as resp
from garnetlanding.runtime.listener import Write


class BrickConn(Conn):
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
        self.hold = False  # every answer, until released
        self.script: list[bytes | None] = []  # answers to give next; None: hold it back
        self.held: list[tuple[list[bytes], BrickConn]] = []

    def command(self, words: list[bytes], conn: BrickConn) -> None:
        self.heard.append(words)
        answer = self.script.pop(0) if self.script else None if self.hold else self.serve(words)
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
