"""The RESP2 clients of an instance, which share its descriptors with the backend connections."""

from __future__ import annotations

from collections.abc import Callable

from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.resp.front import RespClientProtocol, RespListenerContext
from garnetlanding.runtime.client_connection import ClientConnection
from garnetlanding.runtime.listener import Listener


def _always() -> bool:
    return True


class RespClients(Subsystem):
    """Owns the listener of the RESP2 clients."""

    name = "RESP2 clients"
    listener: Listener  # set by `start`
    _listener_context: RespListenerContext  # set by `start`; shared by all connections

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        # Whether the instance reports itself healthy; the admin service replaces this.
        self.accepts_clients: Callable[[], bool] = _always

    def start(self) -> None:
        """Listen; with an admin service, the address is shared with the other process of an upgrade."""
        instance = self._instance
        self._listener_context = RespListenerContext(
            engine=instance.core,
            backend=instance.backends,
            pool=instance.pool,
            limits=instance.limits,
            accepts_clients=lambda: self.accepts_clients(),
        )
        self.listener = instance.listen(
            "RESP2",
            instance.config.listen,
            instance.limits.client_connections,
            self._make_protocol,
            shared=bool(instance.config.admin_address),
        )
        # Clients may use the file descriptors that backend connections do not need, and vice versa.
        backends = instance.backends
        self.listener.capacity_user = backends.capacity
        backends.capacity.owner = self.listener

    def _make_protocol(self, client: ClientConnection) -> RespClientProtocol:
        return RespClientProtocol(self._listener_context, client, client.account)
