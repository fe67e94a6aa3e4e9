"""One running instance of the load balancer: composed from its configuration, reloaded and shut down."""

from garnetlanding.daemon.daemon import Daemon

__all__ = ["Daemon"]
