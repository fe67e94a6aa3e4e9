"""Values shared by the tests of the runtime."""

from __future__ import annotations

from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from tests.support.decision_bench import make_settings
from tests.support.simulated_instance import SimulatedInstance

# Connections to bricks


class BrickWorld(SimulatedInstance):
    def __init__(self, **limits: int) -> None:
        super().__init__(make_settings(parallel_attempts=False, max_attempts=4, instances=1), **limits)
        self.brick = self.server(EmulatedBackend)
        self.list(EmulatedEndpoint("b0", self.brick.address, 0))
        self.client = self.peer(self.front().address)

    def outcomes(self) -> list[str]:
        return [a.outcome.value if a.outcome else "out" for a in self.core.starts]
