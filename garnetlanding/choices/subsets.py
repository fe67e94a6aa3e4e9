"""Which servers each head keeps connections to: the same at every head that has the same two sets.

Highest random weights with quotas (docs/design/adding-up.md): every head wants the servers with its best
weights, a server takes the heads with the best weights up to its quota, and who is turned away asks its next
best. That is deferred acceptance (Gale and Shapley), whose outcome depends on nothing but the sets, here with
both sides ranking a pair by one number, so that a change touches few pairs.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Collection, Mapping
from functools import lru_cache
from hashlib import blake2b


@lru_cache(maxsize=1 << 17)
def weight(head: int, server: str) -> int:
    """What a head and a server are worth to each other."""
    return int.from_bytes(blake2b(f"{head} {server}".encode(), digest_size=8).digest(), "big")


def shares(head: int, zones: Mapping[str, Collection[str]], k: int) -> dict[str, int]:
    """How many of a head's `k` servers lie in each zone: in proportion to its servers, what does not divide
    going to zones by weights of the head's own, so that over many heads it does."""
    total = sum(map(len, zones.values()))
    k = min(k, total)
    found = {zone: k * len(servers) // total for zone, servers in zones.items()}

    def lot(zone: str) -> float:
        rest = k * len(zones[zone]) / total - found[zone]
        draw = (weight(head, f"zone {zone}") + 1) / (1 << 64)
        return float(draw ** (1 / rest)) if rest else -1.0

    for zone in sorted(zones, key=lambda zone: (-lot(zone), zone))[: k - sum(found.values())]:
        found[zone] += 1
    return found


def match(wanted: Mapping[int, int], quotas: Mapping[str, int]) -> dict[int, set[str]]:
    """Each head its best servers, as many as wanted, each server at most its quota of heads; for a head that
    all have turned away another one moves."""
    servers = list(quotas)
    ranked = {head: sorted(servers, key=lambda s: weight(head, s), reverse=True) for head in wanted}
    at = dict.fromkeys(wanted, 0)
    taken: dict[str, list[tuple[int, int]]] = {server: [] for server in servers}
    asking = [head for head, count in sorted(wanted.items()) for _ in range(count)]
    short: list[int] = []
    while asking:
        head = asking.pop()
        if at[head] == len(ranked[head]):
            short.append(head)
            continue
        server = ranked[head][at[head]]
        at[head] += 1
        heapq.heappush(taken[server], (weight(head, server), head))
        if len(taken[server]) > quotas[server]:
            asking.append(heapq.heappop(taken[server])[1])
    found: dict[int, set[str]] = {head: set() for head in wanted}
    for server, heads in taken.items():
        for _, head in heads:
            found[head].add(server)
    room = {server: quotas[server] - len(taken[server]) for server in servers}
    for head in sorted(short):
        _make_room(head, ranked[head], found, room)
    return found


def _make_room(head: int, ranked: list[str], found: dict[int, set[str]], room: dict[str, int]) -> None:
    """Every server that it lacks is full, and it has those that are not: somebody goes there, and it takes
    that one's place. Where nobody can, it takes its best one over the quota."""
    lacking = [server for server in ranked if server not in found[head]]
    for free in sorted(server for server, left in room.items() if left > 0):
        for server in lacking:
            movers = [other for other, some in found.items() if server in some and free not in some]
            if movers:
                other = min(movers, key=lambda other: (weight(other, server), other))
                found[other] = found[other] - {server} | {free}
                found[head].add(server)
                room[free] -= 1
                return
    found[head].add(lacking[0])


def subsets(
    heads: Collection[int], servers: Mapping[str, str], k: int, slack: int = 0
) -> dict[int, set[str]]:
    """By head, its servers. `servers`: the zone of each; `slack`: heads that a server takes over its share:
    fewer pairs move at a change, and heads are spread less evenly."""
    zones: dict[str, list[str]] = defaultdict(list)
    for server, zone in sorted(servers.items()):
        zones[zone].append(server)
    found: dict[int, set[str]] = {head: set() for head in heads}
    if not servers:
        return found
    wanted = {head: shares(head, zones, k) for head in heads}
    for zone, members in zones.items():
        mine = {head: wanted[head][zone] for head in heads}
        even, more = divmod(sum(mine.values()), len(members))
        # What does not divide goes to the servers with the best weights of their own.
        first = set(sorted(members, key=lambda s: weight(-1, s), reverse=True)[:more])
        quotas = {server: even + (server in first) + slack for server in members}
        for head, some in match(mine, quotas).items():
            found[head] |= some
    return found
