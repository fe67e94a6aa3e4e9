"""The RESP2 clients of an instance, and the backend connections that their requests are sent on."""

from __future__ import annotations

from collections.abc import Callable

from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.resp.front import ClientMachine, Front
from garnetlanding.runtime.listener import Client, Listener


class RespClients(Subsystem):
    """Owns the listener of the RESP2 clients."""

    name = "RESP2 clients"
    listener: Listener  # from the start on, as what its connections have in common
    _front: Front

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        # Whether new clients are to come here; the admin service says no while the instance is drained.
        self.accepts_clients: Callable[[], bool] = lambda: True

    def start(self) -> None:
        """Listen; with an admin service another process of this instance may listen there too."""
        instance = self._instance
        self._front = Front(
            engine=instance.core,
            backend=instance.backends,
            pool=instance.pool,
            limits=instance.limits,
            accepts_clients=lambda: self.accepts_clients(),
        )
        self.listener = instance.listen(
            "RESP2",
            instance.config.listen,
            instance.limits.client_conns,
            self._make_machine,
            shared=bool(instance.config.ops),
        )
        # Clients and backends share descriptors: what backends do not need takes clients.
        backends = instance.backends
        self.listener.lent = lambda: max(0, backends.count - backends.reserved)
        backends.borrow = self.listener.lend

    def _make_machine(self, client: Client) -> ClientMachine:
        return ClientMachine(self._front, client)
