"""Benchmarks: each module is a command that writes a table to `results/` or to standard output."""
