"""Delivery of datagrams between instances: decided by the experiment's faults and seed. No I/O."""

from __future__ import annotations

import random
from collections import Counter

from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.faults import NETWORK_FAULTS, ByzantineBehaviour, Fault, FaultKind
from garnetlanding.lab.limits import LIMITS

ARRIVED = "arrived"
"""The key of `counts` for datagrams that were delivered."""


class NetworkFaultModel:
    """Decides whether and when each datagram is delivered.

    The result is deterministic for the datagrams of one link in their order, because each link has a random
    generator of its own. `counts` counts deliveries and applied faults by their names in result.json.
    """

    def __init__(self, experiment: Experiment) -> None:
        self._byzantine = experiment.faults_of(FaultKind.BYZANTINE)
        self._network = experiment.faults_of(*NETWORK_FAULTS)
        self._random = {
            (sender, receiver): random.Random(f"{experiment.seed} {sender} {receiver}")
            for sender in range(experiment.instances)
            for receiver in range(experiment.instances)
        }
        self.counts: Counter[str] = Counter()

    def byzantine_behaviour(self, sender: int, now_us: int) -> ByzantineBehaviour | None:
        """Return how that instance's messages are forged at that time; None if they are not."""
        for fault in self._byzantine:
            if fault.instance == sender and fault.is_active(now_us):
                self.counts[fault.kind.value] += 1
                return fault.behaviour
        return None

    def delays_us(self, sender: int, receiver: int, now_us: int) -> list[int]:
        """Return the delay of each copy of a datagram; an empty list if it is lost."""
        rng = self._random[sender, receiver]
        delays = [0]
        for fault in self._network:
            if not fault.applies_to(sender, receiver, now_us) or rng.random() >= fault.probability:
                continue
            self.counts[fault.kind.value] += 1
            delays = _apply_fault(delays, fault, rng)
            if not delays:
                return []
        self.counts[ARRIVED] += 1
        return delays


def _apply_fault(delays: list[int], fault: Fault, rng: random.Random) -> list[int]:
    """Return the delays of all copies after the fault has been applied."""
    match fault.kind:
        case FaultKind.DELAY:
            return [delay + int(fault.span_us * rng.uniform(0.5, 1.5)) for delay in delays]
        case FaultKind.DUPLICATE:
            return [*delays, delays[-1] + fault.span_us]
        case FaultKind.FLOOD:
            return delays * LIMITS.flood_copies
        case FaultKind.REORDER:
            return [delay + (fault.span_us or LIMITS.reorder_delay_us) for delay in delays]
        case _:  # partition or loss
            return []
