"""What the 9P cases share: two file servers, a head in front of them, and clients."""

from __future__ import annotations

import asyncio
import subprocess
from typing import Any

from garnetlanding.conform.client import Client
from garnetlanding.conform.connection import Options
from garnetlanding.conform.transport import SocketTransport
from garnetlanding.ninep import codec, codec_linux

from review.standins_3.platform import Case, Head, free_address, small_site
from review.standins_3.servers import Discovery

REPLY_S = 30.0
DEADLINE_MS = 1200
CHANGE_DEADLINE_MS = 2000
EXPORT = """
[[ninep.export]]
name = "tree-{cell}"
volume = "00000000000000a{cell}"
plan = "standard"
class = "segment-read"
cell = {cell}
deadline_ms = 1200
access = "rw"
change_class = "draft-save"
change_deadline_ms = 2000
"""


class FileSite:
    """A head with an export for each of its file servers; `servers` has their processes."""

    def __init__(self, case: Case, servers: int) -> None:
        self._case = case
        self._count = servers
        self.servers: list[Any] = []
        self.address = free_address()

    async def start(self) -> None:
        """Start the file servers, discovery and the head."""
        discovery = await Discovery().start()
        for cell in range(self._count):
            run = f"exec .venv/bin/python -m review.standins_3.fileserver {free_address()}"
            server = self._case.start(run, {}, subprocess.PIPE)
            address = await asyncio.to_thread(server.stdout.readline)
            discovery.add(f"s-{cell}", address.decode().strip(), cell)
            self.servers.append(server)
        operator = self._case.temporary / "operator.toml"
        exports = "".join(EXPORT.format(cell=cell) for cell in range(self._count))
        operator.write_text(f'[ninep]\nlisten = "{self.address}"\n{exports}')
        head = Head(self._case, discovery.address, small_site(self._count), operator=operator)
        await head.start()

    def attach(self, tree: str) -> Client:
        """Connect a client, whose fid 0 is the root of the tree."""
        options = Options(version=codec_linux.VERSION, aname=tree, reply_timeout_s=REPLY_S)
        client = Client(lambda: SocketTransport(self.address, 3), options)
        client.negotiate()
        client.attach()
        return client


def open_part(client: Client, number: int, access: int, root: int = 0) -> int:
    """Open a file of the tree and return its fid."""
    fid = client.new_fid()
    client.call(codec.Rwalk, codec.Twalk(root, fid, ("memory", f"part-{number}")))
    client.open(fid, access)
    return fid
