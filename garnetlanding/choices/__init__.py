"""Choices that each instance makes alone and that add up over the fleet: functions and caches, no I/O."""
