"""A load balancer that queues reads and writes fairly in front of shared storage backends."""

__version__ = "0.1.0"
