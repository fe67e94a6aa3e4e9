"""Case 2: a write of a 9P client that has gone is tried again, over what another client has written since."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack

from garnetlanding.ninep import codec
from review.standins.discovery import Discovery
from review.standins.files import FileClient, FileServer
from review.standins.platform import Head, free_address, kilkenny_settings
from review.standins.record import CannotRunError, Record, trouble
from review.standins.run import main

ROUNDS = 10
LEAVES_AFTER_S = 0.1  # the first client, after it has sent its write
SECOND_AFTER_S = 0.3
RESET_AFTER_S = 0.7
WATCHED_S = 2.5  # the write's deadline and half a second
GONE_S = 0.1  # "begins more than 0.1 s after the close"
SLACK_S = 0.05
OLD, FIRST, SECOND = b"as it was....", b"first client.", b"second client"

OPERATOR = """
[ninep]
listen = "{listen}"
server_port = 0

[[ninep.export]]
name = "drafts"
volume = "00000000000000a1"
plan = "standard"
class = "segment-read"
cell = 0
deadline_ms = 1200
access = "rw"
change_class = "draft-save"
change_deadline_ms = 2000
"""


class ResettingServer(FileServer):
    """A file server that hangs on one write and resets the connection under it; nothing is written by it."""

    resets_write = False
    first_writes: list[float]

    async def may_answer(self, message: codec.Message, writer: asyncio.StreamWriter) -> bool:
        """Hang on the first client's write if that is due."""
        if isinstance(message, codec.Twrite) and message.data == FIRST:
            self.first_writes.append(self.record.now)
            self.record.line("file server gets the write of the first client")
            if self.resets_write:
                self.resets_write = False
                await asyncio.sleep(RESET_AFTER_S)
                self.record.line("file server resets the connection under the write")
                writer.transport.abort()
                return False
        return True


async def play_round(
    number: int, server: ResettingServer, address: tuple[str, int], record: Record
) -> list[str]:
    """Play one round on a file of its own; return the breaches."""
    file = f"draft-{number}"
    server.resets_write = trouble()
    server.first_writes = []
    first = FileClient(f"first-{number}", record)
    second = FileClient(f"second-{number}", record)
    await first.open(address, file)
    await second.open(address, file)
    sent_at = record.now
    first.send(codec.Twrite(1, 0, FIRST))
    await asyncio.sleep(LEAVES_AFTER_S)
    closed_at = None
    if trouble():
        closed_at = record.now
        first.close()
    await asyncio.sleep(sent_at + SECOND_AFTER_S - record.now)
    answer = await second.ask(codec.Twrite(1, 0, SECOND))
    if not isinstance(answer, codec.Rwrite):
        raise CannotRunError(f"the second client's write was answered {answer}")
    if not trouble():
        await first.answer()
    await asyncio.sleep(sent_at + WATCHED_S - record.now)
    holds = server.files[file]
    record.say(
        f"round {number}: the first write came {len(server.first_writes)} times; the file holds {holds!r}"
    )
    second.close()
    if closed_at is None:
        first.close()
        return []
    late = [at - closed_at for at in server.first_writes if at > closed_at + GONE_S + SLACK_S]
    return [
        f"{file}: a write for a client that has gone came {after:.3f} s after its close; it holds {holds!r}"
        for after in late
    ]


async def scenario(record: Record, started: ExitStack) -> list[str]:
    """Play the case."""
    server = ResettingServer("s-0", 0, record, {f"draft-{number}": OLD for number in range(ROUNDS)})
    await server.start()
    discovery = Discovery([server], record)
    await discovery.start()
    listen = free_address()
    operator = OPERATOR.format(listen=listen)
    head = Head(record, discovery.address, kilkenny_settings(1), operator=operator)
    started.callback(head.end)
    await head.start()
    host, port = listen.split(":")
    breaches = []
    for number in range(ROUNDS):
        breaches += await play_round(number, server, (host, int(port)), record)
    return breaches


if __name__ == "__main__":
    main(scenario)
