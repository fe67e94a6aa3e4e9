"""The decision module: which backend, when, whether to retry, what to reject. No clock and no I/O."""
