"""Export of metrics and traces to the operator's collector."""

from __future__ import annotations

from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.telemetry.exporter import Exporter, ServiceInstance
from garnetlanding.telemetry.setup import TelemetrySetup


class TelemetryExport(Subsystem):
    """Owns the exporter, which observes every request."""

    name = "telemetry"
    exporter: Exporter  # set by `start`

    def __init__(self, instance: Instance, setup: TelemetrySetup) -> None:
        self._instance = instance
        self._setup = setup

    def start(self) -> None:
        """Start observing requests and exporting."""
        instance = self._instance
        self.exporter = Exporter(
            instance.scheduler,
            self._setup,
            ServiceInstance(instance.config.name, instance.config.seed),
            instance.pool,
            instance.limits,
        )
        instance.core.observers.append(self.exporter)
        # The keys are metric names, which are part of the interface to collectors.
        self.exporter.gauges = {
            "requests.open": lambda: instance.core.open_requests,
            "clients": lambda: sum(map(len, instance.listeners)),
            "server.connections": lambda: instance.backends.capacity.open_count,
            "buffers.used": lambda: instance.pool.in_use,
            "store.revision": lambda: instance.store.revision,
        }

    def stop(self) -> None:
        """Export what is still queued, for at most `telemetry_flush_us`."""
        self.exporter.finish()
        self._instance.wait_for(lambda: self.exporter.done, self._instance.limits.telemetry_flush_us)
