"""Conformance: whether a 9P server, or a head before one, does what the protocol says, case by case."""
