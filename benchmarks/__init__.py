"""Measurements: each module is a command, and writes its table to `results/` or to standard output."""
