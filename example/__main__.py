"""Runs emulated servers: discovery, two bricks and a file server. Start the head beside them; see README."""

from __future__ import annotations

from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import Discovery, EmulatedEndpoint
from garnetlanding.emulator.fileserver import FileServer
from garnetlanding.limits import SECOND, Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.scheduler import Scheduler

DISCOVERY, BRICKS, FILES = "127.0.0.1:7500", ("127.0.0.1:7501", "127.0.0.1:7502"), "127.0.0.1:7564"
TREE = {"sv": {"law.tsv": b"plaintiff\tk\xc3\xa4rande\nverdict\tdom\n"}, "README": b"Reference glossaries\n"}


def main() -> None:
    scheduler, limits = Scheduler(), Limits()
    pool = BufferPool(limits.buffer_bytes, limits.pool_free_max, limits.pool_max)
    discovery = Discovery(scheduler, pool, limits, DISCOVERY)
    for cell, address in enumerate(BRICKS):
        EmulatedBackend(scheduler, pool, limits, address)
        discovery.endpoints.append(EmulatedEndpoint(f"brick-{cell}", address, cell))
    FileServer(scheduler, pool, limits, FILES, tree=TREE)

    def beat() -> None:
        while True:
            scheduler.sleep(2 * SECOND)
            discovery.send_heartbeat()

    scheduler.spawn(beat)
    print(f"discovery {DISCOVERY}, bricks {', '.join(BRICKS)}, files {FILES}; end with Ctrl-C", flush=True)
    try:
        scheduler.run()
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
