"""Stand-ins for the systems around a head, on loopback: bricks, file servers, discovery.

They run on the head's own runtime, so tests move them with a fake clock. Nothing of the head imports them.
"""
