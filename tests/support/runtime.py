"""An instance with one backend and one client, for the tests of the runtime."""

from __future__ import annotations

from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from tests.support.decision_bench import make_settings
from tests.support.simulated_instance import SimulatedInstance


class InstanceWithBackend(SimulatedInstance):
    """An instance that knows one backend, with one client connected."""

    def __init__(self, **limits: int) -> None:
        super().__init__(make_settings(parallel_attempts=False, max_attempts=4, instances=1), **limits)
        self.backend = self.server(EmulatedBackend)
        self.list(EmulatedEndpoint("b0", self.backend.address, 0))
        self.client = self.peer(self.front().address)

    def outcomes(self) -> list[str]:
        """The outcomes of all attempts so far, "out" for those in flight."""
        return [a.outcome.value if a.outcome else "out" for a in self.core.starts]
