"""The daemon: composes an instance of the load balancer from its configuration, reloads and stops it."""

from garnetlanding.daemon.daemon import Daemon

__all__ = ["Daemon"]
