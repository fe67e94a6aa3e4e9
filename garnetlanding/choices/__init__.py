"""Decisions that instances make alike without exchanging messages: backend subsets, staggered actions."""
