"""Stand-ins for the systems around an instance, on loopback: backends, file servers, discovery.

They run on the instance's own runtime, so tests move them with a fake clock. No instance imports them.
"""
