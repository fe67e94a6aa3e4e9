"""The arithmetic of quotas: how a limit is divided among the instances that share it. Pure functions.

A quota is the fraction of a limit that one instance may use, 0 to 1. The even quota of each of `hosts`
instances is 1 / hosts. What an instance grants to a peer is a fraction of its own even quota.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence


def max_min_fair_allocation(supply: float, demands: Sequence[float]) -> list[float]:
    """Divide a supply among demands; the amounts add up to it.

    Nobody gets more than it demands while another gets less. What nobody demands is divided evenly.
    """
    remaining = supply
    amounts = [0.0] * len(demands)
    ascending = sorted(range(len(demands)), key=demands.__getitem__)
    for place, index in enumerate(ascending):
        amounts[index] = min(demands[index], remaining / (len(ascending) - place))
        remaining -= amounts[index]
    return [amount + remaining / len(demands) for amount in amounts]


def spare_fraction(wanted: float, requests: Mapping[int, float], hosts: int, peer: int) -> float:
    """Return the fraction of its even quota that an instance can spare for `peer`.

    `wanted` is the quota that the instance needs itself, `requests` the quota that each peer requests. What
    the instance does not need is divided in proportion to what each peer lacks.
    """
    idle_hosts = max(0, hosts - 1 - len(requests))
    targets = max_min_fair_allocation(1.0, [wanted, *requests.values(), *[0.0] * idle_hosts])
    lacking = {
        requester: max(0.0, target - 1 / hosts)
        for requester, target in zip(requests, targets[1:], strict=False)
    }
    if not lacking.get(peer):
        return 0.0
    return max(0.0, 1 - targets[0] * hosts) * lacking[peer] / sum(lacking.values())


def countable_fractions(
    received: Mapping[int, float], known_hosts: Collection[int], other_peers: Iterable[int], hosts: int
) -> list[float]:
    """Return the received fractions that may be added to the own quota of a limit.

    Only a grant by another of the limit's `hosts` instances counts, and which instances these are is not
    announced. `known_hosts` are known to be; `other_peers` may be, since a peer that does not know the limit
    grants of its even quota all the same. For each host that is not known, the smallest of the fractions of
    the other peers counts, which is never more than what the host has granted.
    """
    fractions = [received.get(peer, 0.0) for peer in known_hosts]
    others = sorted(received.get(peer, 0.0) for peer in other_peers if peer not in known_hosts)
    unknown_hosts = hosts - 1 - len(known_hosts)
    return fractions + others[:unknown_hosts]


def usable_quota(granted: float, received: Iterable[float], hosts: int) -> float:
    """Return the quota that is left of the own even quota, together with what peers have granted of theirs.

    `granted` and `received` are fractions of an even quota.
    """
    return (max(0.0, 1 - granted) + sum(received)) / hosts
