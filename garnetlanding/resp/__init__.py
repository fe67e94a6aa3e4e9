"""RESP2 (the Redis serialization protocol) without I/O, in both directions.

`front` serves clients, `backend_protocol` forwards their commands to backends; `codec` decodes and encodes
the bytes for both.
"""
