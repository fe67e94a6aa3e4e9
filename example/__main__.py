"""Run emulated servers: discovery, two backends, files. Start an instance beside them; see README."""

from __future__ import annotations

import contextlib

from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import Discovery, EmulatedEndpoint
from garnetlanding.emulator.fileserver import FileServer
from garnetlanding.limits import SECOND, Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.scheduler import Scheduler

DISCOVERY = "127.0.0.1:7500"
BACKENDS = ("127.0.0.1:7501", "127.0.0.1:7502")
FILES = "127.0.0.1:7564"
HEARTBEAT_US = 2 * SECOND
TREE = {"sv": {"law.tsv": b"plaintiff\tk\xc3\xa4rande\nverdict\tdom\n"}, "README": b"Reference glossaries\n"}


def main() -> None:
    """Serve until interrupted."""
    scheduler = Scheduler()
    limits = Limits()
    pool = BufferPool(limits.buffer_bytes, limits.pool_free_max, limits.pool_max)
    discovery = Discovery(scheduler, pool, limits, DISCOVERY)
    for cell, address in enumerate(BACKENDS):
        EmulatedBackend(scheduler, pool, limits, address)
        discovery.endpoints.append(EmulatedEndpoint(f"brick-{cell}", address, cell))
    FileServer(scheduler, pool, limits, FILES, tree=TREE)

    def send_heartbeats() -> None:
        while True:
            scheduler.sleep(HEARTBEAT_US)
            discovery.send_heartbeat()

    scheduler.spawn(send_heartbeats)
    print(f"discovery {DISCOVERY}, bricks {', '.join(BACKENDS)}, files {FILES}; end with Ctrl-C", flush=True)
    with contextlib.suppress(KeyboardInterrupt):
        scheduler.run()


if __name__ == "__main__":
    main()
