"""Decides which backend gets a request and when, and what is retried or rejected; has no clock and no I/O."""
