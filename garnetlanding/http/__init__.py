"""HTTP/1.1 (RFC 9112) without I/O: state machines that are fed bytes, for responses and for operators' calls.

Like h11, they neither read nor write: the owner of the connection feeds what arrived and acts on the result.
"""
