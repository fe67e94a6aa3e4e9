"""Emulated backends, file servers and discovery on loopback, and simulations of many instances.

The emulated servers use the runtime of the instances, so tests drive them with a fake clock. Production code
does not import this package.
"""
