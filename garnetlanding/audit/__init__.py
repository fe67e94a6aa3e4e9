"""Which versions each instance acted on, from when to when.

Recorded where a version changes, kept in segment files, and read together over many instances.
"""
