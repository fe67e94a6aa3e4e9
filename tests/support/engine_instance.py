"""A request engine on a simulated clock, with a backend transport that the test controls."""

from __future__ import annotations

from garnetlanding.core.ports import Answer, AttemptHandle, EndpointListing, RequestSpec
from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import EndpointState, Outcome
from tests.support.clock import SECOND
from tests.support.decision_bench import make_settings
from tests.support.simulated_instance import SimulatedInstance


class ManualTransport:
    """A backend transport whose attempts finish only when a test finishes them."""

    def __init__(self) -> None:
        self.in_flight: list[AttemptHandle] = []
        self.stopped: list[AttemptHandle] = []

    def start(self, attempt: AttemptHandle) -> None:
        self.in_flight.append(attempt)

    def stop(self, attempt: AttemptHandle) -> None:
        self.in_flight.remove(attempt)
        self.stopped.append(attempt)


class EngineInstance(SimulatedInstance):
    """An engine with one listed backend, `n0`, and a manual transport."""

    answers: dict[str, Answer]

    def __init__(self, settings: api.Settings | None = None, **limits: int) -> None:
        super().__init__(settings, **limits)
        self.transport = ManualTransport()
        self.answers = {}
        self.list_endpoint("n0", EndpointState.UP, complete=True)

    def list_endpoint(
        self, backend: str, state: EndpointState, complete: bool = False, started_us: int = 0
    ) -> None:
        entry = api.Endpoint(backend, 0, "z", state, started_us)
        self.core.update_endpoints(EndpointListing((entry,), {backend: "x:1"}, complete, at_start=complete))
        self.settle()

    def submit(
        self,
        name: str,
        timeout_us: int = SECOND,
        request_class: str = "read",
        held_bytes: int = 0,
        volume: str = "v",
        allow_hedging: bool = True,
    ) -> str:
        ticket = self.core.submit(
            RequestSpec(
                request_class,
                "gold",
                volume,
                "k",
                2,
                0,
                timeout_us,
                1,
                name,
                held_bytes=held_bytes,
                allow_hedging=allow_hedging,
            ),
            self.transport,
            lambda answer: self.answers.__setitem__(name, answer),
        )
        self.settle()
        return ticket

    def finish_oldest(self, outcome: Outcome, value: bytes | None = None) -> AttemptHandle:
        attempt = self.transport.in_flight.pop(0)
        attempt.finish(outcome, value)
        self.settle()
        return attempt


class ScriptedModule:
    """A decision module that returns the actions that a test has queued, and records all events."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.queued: list[api.Action] = []
        self.events: list[api.Event] = []

    def handle(self, _now: int, events: list[api.Event]) -> list[api.Action]:
        self.events += events
        actions, self.queued = self.queued, []
        return actions


class ScriptedInstance(EngineInstance):
    """An engine with a scripted decision module and one open request."""

    def __init__(self, request_class: str = "read", **settings: object) -> None:
        module_settings = make_settings(**settings)
        super().__init__(module_settings)
        self.module = self.core.module = ScriptedModule(module_settings)
        self.ticket = self.submit("a", request_class=request_class)

    def perform(self, *actions: api.Action) -> None:
        """Make the decision module return these actions."""
        self.module.queued += actions
        self.core.receive_peer_message(1, b"")  # any event makes the engine call the module
        self.settle()

    def send(self, deadline_us: int | None = None) -> None:
        """Make the decision module send an attempt of the request to n0."""
        if deadline_us is None:
            self.perform(api.Send(self.ticket, "n0"))
        else:
            self.perform(api.Send(self.ticket, "n0", deadline_us))

    def outcomes(self) -> list[Outcome]:
        """Return the outcomes of attempts that were reported to the decision module."""
        return [event.outcome for event in self.module.events if isinstance(event, api.Result)]
