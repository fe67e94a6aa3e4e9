"""Pure functions that divide a limit among the instances that share it.

A quota is the fraction of a limit, from 0 to 1, that one instance may use. The even quota of each of `hosts`
instances is 1 / hosts. A grant to a peer is a fraction of the grantor's even quota.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence


def max_min_fair_allocation(supply: float, demands: Sequence[float]) -> list[float]:
    """Allocate the whole supply to the demands by max-min fairness.

    No demand is exceeded while another one is unmet. Any surplus is divided evenly.
    """
    remaining = supply
    amounts = [0.0] * len(demands)
    ascending = sorted(range(len(demands)), key=demands.__getitem__)
    for rank, index in enumerate(ascending):
        amounts[index] = min(demands[index], remaining / (len(ascending) - rank))
        remaining -= amounts[index]
    return [amount + remaining / len(demands) for amount in amounts]


def spare_fraction(wanted: float, requests: Mapping[int, float], hosts: int, peer: int) -> float:
    """Return the fraction of its even quota that an instance can grant to `peer`.

    `wanted` is the quota that the instance needs itself, `requests` the quota that each peer requests. The
    part that the instance does not need is divided among the peers in proportion to their shortfalls, by
    which their fair allocations exceed the even quota.
    """
    idle_hosts = max(0, hosts - 1 - len(requests))
    targets = max_min_fair_allocation(1.0, [wanted, *requests.values(), *[0.0] * idle_hosts])
    shortfalls = {
        requester: max(0.0, target - 1 / hosts)
        for requester, target in zip(requests, targets[1:], strict=False)
    }
    if not shortfalls.get(peer):
        return 0.0
    return max(0.0, 1 - targets[0] * hosts) * shortfalls[peer] / sum(shortfalls.values())


def guaranteed_fractions(
    received: Mapping[int, float], known_hosts: Collection[int], other_peers: Iterable[int], hosts: int
) -> list[float]:
    """Return the received fractions that an instance can safely add to its own quota of a limit.

    Only grants from the limit's other hosts count, and no message announces which instances are its hosts.
    `known_hosts` are known to be. Each of `other_peers` may be one, because a peer that does not know the
    limit grants fractions of its even quota as well. Each unknown host is counted with the smallest remaining
    fraction of the other peers, which is a lower bound of what that host has granted.
    """
    fractions = [received.get(peer, 0.0) for peer in known_hosts]
    others = sorted(received.get(peer, 0.0) for peer in other_peers if peer not in known_hosts)
    unknown_hosts = hosts - 1 - len(known_hosts)
    return fractions + others[:unknown_hosts]


def usable_quota(granted: float, received: Iterable[float], hosts: int) -> float:
    """Return the quota that an instance may use: what remains of its even quota, and the received grants.

    `granted` and `received` are fractions of an even quota.
    """
    return (max(0.0, 1 - granted) + sum(received)) / hosts
