"""Choices that each head makes alone and that add up over the fleet: what is decided, without I/O."""
