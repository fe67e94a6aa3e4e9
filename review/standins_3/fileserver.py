"""A file server process: the project's emulated one, with a small tree. Prints its address."""

from __future__ import annotations

import sys

from garnetlanding.emulator.fileserver import FileServer
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.scheduler import Scheduler

TREE = {"memory": {f"part-{number}": b"x" * 100 for number in range(8)}}

if __name__ == "__main__":
    scheduler = Scheduler()
    limits = Limits()
    pool = BufferPool(limits.buffer_bytes, limits.pool_free_max, limits.pool_max)
    server = FileServer(scheduler, pool, limits, sys.argv[1], tree=TREE)
    print(server.address, flush=True)
    scheduler.run()
