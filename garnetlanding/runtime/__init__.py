"""The I/O layer: event loop with greenlets and timers, pooled buffers, streams, listeners, connections."""
