"""An instance with one backend and one client, for the tests of the runtime."""

from __future__ import annotations

from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from tests.support.decision_bench import make_settings
from tests.support.simulated_instance import SimulatedInstance


class InstanceWithBackend(SimulatedInstance):
    """An instance with one listed backend and one connected client."""

    def __init__(self, **limits: int) -> None:
        super().__init__(make_settings(parallel_attempts=False, max_attempts=4, instances=1), **limits)
        self.backend = self.server(EmulatedBackend)
        self.list_endpoints(EmulatedEndpoint("b0", self.backend.address, 0))
        self.client = self.connect(self.start_resp_listener().address)

    def outcomes(self) -> list[str]:
        """Return the outcomes of all attempts so far, "out" for those in flight."""
        return [attempt.outcome.value if attempt.outcome else "out" for attempt in self.core.started_attempts]
