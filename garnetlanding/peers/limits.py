"""Every size, count and time limit of the link between heads. Apart from the keys that place it: the
simulator's adapter needs these alone."""

from __future__ import annotations

from dataclasses import dataclass

MS, SECOND = 1_000, 1_000_000
LONGEST = 256  # bytes of a datagram; the platform voids the run over a longer one


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """Times are microseconds, sizes bytes."""

    datagram_bytes: int = LONGEST
    say_every_us: int = 250 * MS  # a lead moves every 12 s at the soonest: late by a fiftieth of that
    near: int = 4  # other heads that are told so often, in turn: with more, each has its turn more seldom
    partners: int = 12  # and so many beside them, that ask for the same volumes: a head's cost has a bound
    begin_us: int = 5 * SECOND  # without a word of a group: the seeds begin one together
    roll_pages: int = 3  # datagrams of records to one head in a round, where its table differs
    roll_turn: int = 24  # records that such a round passes, about
    heads: int = 1024  # records kept of them, of those that have gone too
    say_volumes: int = 120  # asked for at once, the busiest first
    lease_us: int = 1100 * MS  # a grant holds for so long: four messages in a row may be lost
    drift: float = 0.01  # of two clocks, the most in each second; real ones stay under a thousandth of that
    stale_us: int = 1200 * MS  # a head's word is believed for so long; not under `lease_us`
    known_us: int = 60 * SECOND  # that a volume comes through a head is remembered for so long
    span_us: int = SECOND  # what a volume asks for is measured over this: a change of its busiest head shows
    headroom: float = 1.25  # asked for, of what was used lately
    steps: int = 250  # of a share, as it is told
    remembered: int = 64  # own messages, whose answers may still come
    list_calls: float = 8.0  # a second, that discovery bears of all heads; as the module paces them
    list_window_us: int = 2 * SECOND  # within which they are counted
    list_least: float = 0.25  # of an even part of them, that a head always has
    volumes: int = 4096  # figures kept of one peer, so that a forged one can't grow without end
    receive_turn: int = 64  # datagrams taken in one turn of the loop
    count_every_us: int = 10 * SECOND  # between lines in the log on what was dropped
    # Verdicts: what is seen of a server, and what others' words of it count for.
    word_us: int = 2 * SECOND  # nothing is believed that was seen longer ago; eight rounds
    refused_row: int = 3  # connects refused in a row: some break by chance
    silent_aims: float = 2.0  # unheard for so many tightest aims, with requests out: pauses are shorter
    silent_out: int = 2  # so many of them: a single one may be a heavy one
    full_row: int = 3  # turned away in a row: one may be turned away for itself
    slow_aims: float = 1.0  # mean answer of so many tightest aims
    slow_answers: int = 4  # that such a mean takes
    answer_gain: float = 0.25  # weight of a new answer in it
    trust: float = 0.75  # added credit of those whose words make a server doubted: one head in good standing
    refuted: float = 0.8  # of a head's credit is left after a word that an answer speaks against
    persist_us: int = SECOND  # a word that is so much later than that answer counts as wrong, not as late
    recover_us: int = 60 * SECOND  # from no credit to all of it
    doubted_share: float = 1 / 3  # of the listed servers at a time; at least one
    life_slack_us: int = 2 * SECOND  # a server's life began at the same time if told within this
    # Bans of operators, for all heads.
    bans: int = 256  # records kept, of servers out and of those put back
    ban_name: int = 180  # bytes of a server's name: a record fits into a datagram
    ban_version: int = 1 << 47  # milliseconds up to the year 6429; the form holds twice that
    ban_ahead: int = 3_600_000  # above it, so far past the highest known: each can still be outbid
    out_share: float = 0.5  # of the heads that operators may shut out at a time
    look_us: int = 250 * MS  # between looks whether other heads have said something
    open_retry_us: int = SECOND  # between tries to have the address, while an older process has it
