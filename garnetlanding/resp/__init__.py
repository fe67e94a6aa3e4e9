"""RESP2 (the Redis serialization protocol), server and client side, without I/O.

`front` serves clients, `backend_protocol` forwards their commands to backends, and `codec` has the decoder
and the encoders for both.
"""
