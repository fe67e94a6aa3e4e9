"""Experiments on many processes of the program under faults. Nothing of the head imports it."""
