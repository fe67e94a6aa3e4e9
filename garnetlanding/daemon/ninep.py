"""The 9P clients of an instance, where the operator's file exports trees to them."""

from __future__ import annotations

from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.ninep.client import create_upstream
from garnetlanding.ninep.front import NinepClientProtocol
from garnetlanding.ninep.setup import NinepSetup
from garnetlanding.ninep.shared_state import SharedState


class NinepClients(Subsystem):
    """Owns the listener of the 9P clients and the connections to file servers."""

    name = "9P clients"

    def __init__(self, instance: Instance, setup: NinepSetup) -> None:
        self._instance = instance
        self._setup = setup

    def start(self) -> None:
        """Listen for 9P clients."""
        instance = self._instance
        setup = self._setup
        servers = create_upstream(
            instance.scheduler, instance.pool, instance.limits, setup.server_port, setup.server_dialect
        )
        shared = SharedState(
            instance.core, servers, setup.exports, instance.pool, instance.limits, instance.scheduler
        )
        instance.listen(
            "9P",
            setup.listen,
            instance.limits.ninep_client_connections,
            lambda client: NinepClientProtocol(shared, client, client.account),
        )
