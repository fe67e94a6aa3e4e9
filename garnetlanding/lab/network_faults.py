"""What becomes of a datagram between two instances: decided from the experiment's faults and seed, no I/O."""

from __future__ import annotations

import random
from collections import Counter

from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.faults import NETWORK_FAULTS, ByzantineBehaviour, Fault, FaultKind
from garnetlanding.lab.limits import LIMITS

ARRIVED = "arrived"
"""The key of `fates` that counts datagrams that came through."""


class NetworkFaultModel:
    """Decides each datagram's fate.

    The same datagrams in the same order fare the same each time, because each link has a random source of its
    own. `fates` counts what happened, by the words of result.json.
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
        """Return what that instance's messages falsely claim at that time; None when they are true."""
        for fault in self._byzantine:
            if fault.instance == sender and fault.is_active(now_us):
                self.counts[fault.kind.value] += 1
                return fault.behaviour
        return None

    def delays_us(self, sender: int, receiver: int, now_us: int) -> list[int]:
        """Return after how many microseconds each copy of a datagram arrives; empty when it is lost."""
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
    """Return the copies' delays once the fault has struck them all."""
    match fault.kind:
        case FaultKind.DELAY:
            return [delay + int(fault.span_us * rng.uniform(0.5, 1.5)) for delay in delays]
        case FaultKind.DUPLICATE:
            return [*delays, delays[-1] + fault.span_us]
        case FaultKind.FLOOD:
            return delays * LIMITS.flood_copies
        case FaultKind.REORDER:
            return [delay + (fault.span_us or LIMITS.reorder_delay_us) for delay in delays]
        case _:  # a partition or a loss
            return []
