"""RESP2 (the Redis serialization protocol) without I/O, in both directions.

`front` serves clients of the platform, `backend_connection` sends their commands on to backends. Both are
state machines that are fed bytes; `codec` holds the protocol's framing.
"""
